//! Membership by a gossip protocol in the manner of SWIM: random probes, indirect probes through
//! other members, and suspicion that a member can refute.
//!
//! Each process probes one member per interval, so its cost does not depend on the size of the
//! fleet.

use crate::id::{Ticket, Vm};
use crate::message::{Card, Message, Standing};
use crate::state::{Lifecycle, Probe};
use crate::timeline::{Kind, Note};
use crate::token::Seat;

use super::Step;

/// Number of members asked to probe one that did not answer.
const INDIRECT_PROBES: usize = 2;
/// Number of times that a descriptor is retransmitted.
const GOSSIP_TRANSMISSIONS: u32 = 6;
/// Largest number of gossiped descriptors in one message.
const GOSSIP_DESCRIPTORS: usize = 8;
/// Number of members to which this process sends its own descriptor when its status changes.
const ANNOUNCE_FANOUT: usize = 16;
/// One in this many probes goes to a member that is down, to detect that it is back.
const DOWN_PROBE_PERIOD: u64 = 4;

impl Step<'_> {
    pub(super) fn local_descriptor(&self) -> Card {
        let state = &self.state;
        let standing = match state.lifecycle {
            Lifecycle::Running if state.not_ready(self.now.up).is_some() => Standing::Joining,
            Lifecycle::Running => Standing::Up,
            _ => Standing::Leaving,
        };
        Card {
            vm: state.seat.vm,
            incarnation: state.seat.incarnation,
            version: state.descriptor_version,
            zone: state.settings.zone.clone(),
            caller_address: state.settings.caller_address,
            peer_address: state.settings.peer_address,
            standing,
        }
    }

    /// Publishes this process's own descriptor because its status has changed.
    pub(super) fn announce(&mut self) {
        self.state.descriptor_version += 1;
        self.state.announced_status = self.local_descriptor().standing;
        for vm in self.pick_members(ANNOUNCE_FANOUT, None) {
            self.send_descriptors(vm);
        }
    }

    pub(super) fn restart_probes(&mut self) {
        self.state.probes.clear();
        let up = self.now.up;
        let vms: Vec<Vm> = self
            .state
            .roster
            .iter()
            .map(|member| member.card.vm)
            .collect();
        for vm in vms {
            if let Some(member) = self.state.roster.get_mut(vm) {
                member.since = up;
            }
        }
    }

    pub(super) fn tick_fleet(&mut self) {
        if self.local_descriptor().standing != self.state.announced_status {
            self.announce();
        }
        if self.now.up >= self.state.next_probe_at {
            self.state.next_probe_at = self.now.up + self.state.settings.probe_interval;
            self.probe_random_member();
        }
        self.check_probes();
        self.check_suspects();
    }

    fn probe_random_member(&mut self) {
        let number = self.state.next_number();
        let probe_down = number % DOWN_PROBE_PERIOD == 0;
        let down: Vec<Vm> = self
            .state
            .roster
            .iter()
            .filter(|member| !member.answers())
            .map(|member| member.card.vm)
            .collect();
        let target = if probe_down && !down.is_empty() {
            Some(down[(number / DOWN_PROBE_PERIOD) as usize % down.len()])
        } else {
            self.pick_members(1, None).first().copied()
        };
        if let Some(target) = target {
            self.send_probe(number, target, None);
        }
    }

    fn send_probe(&mut self, number: u64, target: Vm, requester: Option<(Vm, u64)>) {
        let probe = Probe {
            target,
            sent_at: self.now.up,
            indirect: false,
            requester,
        };
        self.state.probes.insert(number, probe);
        let ticket = self.state.table.newest();
        self.send(target, Message::Probe { number, ticket });
        self.send_descriptors(target);
    }

    /// Sends this process's own descriptor and some of the gossip.
    fn send_descriptors(&mut self, to: Vm) {
        let mut cards = vec![self.local_descriptor()];
        let mut retransmit = Vec::new();
        for _ in 0..self.state.gossip.len().min(GOSSIP_DESCRIPTORS) {
            let Some((vm, remaining)) = self.state.gossip.pop_front() else {
                break;
            };
            if let Some(member) = self.state.roster.get(vm) {
                cards.push(member.card.clone());
            }
            if remaining > 1 {
                retransmit.push((vm, remaining - 1));
            }
        }
        self.state.gossip.extend(retransmit);
        self.send(to, Message::Cards { cards });
    }

    pub(super) fn handle_probe(&mut self, from: Seat, number: u64, ticket: Ticket) {
        self.observe_ticket(ticket);
        let own_ticket = self.state.table.newest();
        self.send(
            from.vm,
            Message::ProbeAck {
                number,
                ticket: own_ticket,
            },
        );
        self.notify_suspected(from);
        self.send_descriptors(from.vm);
    }

    /// Sends a member that is alive the descriptor that calls it suspect or down, so that it can
    /// refute.
    fn notify_suspected(&mut self, from: Seat) {
        let member = self.state.roster.get(from.vm);
        let is_suspected =
            |standing: Standing| matches!(standing, Standing::Suspect | Standing::Down);
        let card = member
            .filter(|member| member.seat() == from && is_suspected(member.card.standing))
            .map(|member| member.card.clone());
        if let Some(card) = card {
            self.send(from.vm, Message::Cards { cards: vec![card] });
        }
    }

    pub(super) fn handle_probe_ack(&mut self, from: Seat, number: u64, ticket: Ticket) {
        self.observe_ticket(ticket);
        self.notify_suspected(from);
        let Some(probe) = self.state.probes.get(&number).copied() else {
            return;
        };
        // The acknowledgement of an indirect probe comes from the member that was asked to probe.
        self.state.probes.remove(&number);
        if let Some((requester, requester_number)) = probe.requester {
            self.send(
                requester,
                Message::ProbeAck {
                    number: requester_number,
                    ticket,
                },
            );
        }
    }

    pub(super) fn handle_indirect_probe(&mut self, from: Seat, number: u64, target: Vm) {
        if target == self.state.seat.vm {
            let ticket = self.state.table.newest();
            self.send(from.vm, Message::ProbeAck { number, ticket });
            return;
        }
        let own_number = self.state.next_number();
        self.send_probe(own_number, target, Some((from.vm, number)));
    }

    fn check_probes(&mut self) {
        let up = self.now.up;
        let timeout = self.state.settings.probe_timeout;
        let overdue: Vec<(u64, Probe)> = self
            .state
            .probes
            .iter()
            .filter(|(_, probe)| up >= probe.sent_at + timeout)
            .map(|(number, probe)| (*number, *probe))
            .collect();
        for (number, probe) in overdue {
            if probe.requester.is_some() {
                self.state.probes.remove(&number);
            } else if !probe.indirect {
                self.request_indirect_probes(number, probe);
            } else if up >= probe.sent_at + 2 * timeout {
                self.state.probes.remove(&number);
                self.mark_suspect(probe.target);
            }
        }
    }

    fn request_indirect_probes(&mut self, number: u64, probe: Probe) {
        self.state.probes.insert(
            number,
            Probe {
                indirect: true,
                ..probe
            },
        );
        for helper in self.pick_members(INDIRECT_PROBES, Some(probe.target)) {
            self.send(
                helper,
                Message::ProbeFor {
                    number,
                    target: probe.target,
                },
            );
        }
    }

    fn mark_suspect(&mut self, vm: Vm) {
        let Some(member) = self.state.roster.get(vm) else {
            return;
        };
        if !matches!(
            member.card.standing,
            Standing::Joining | Standing::Up | Standing::Leaving
        ) {
            return;
        }
        self.set_status(vm, Standing::Suspect);
    }

    fn set_status(&mut self, vm: Vm, standing: Standing) {
        let up = self.now.up;
        if let Some(member) = self.state.roster.get_mut(vm) {
            member.card.standing = standing;
            member.since = up;
            self.state.gossip.push_back((vm, GOSSIP_TRANSMISSIONS));
        }
        if standing == Standing::Down {
            self.record_event(Note::new(Kind::MemberDown).vm(vm));
        }
    }

    fn check_suspects(&mut self) {
        let up = self.now.up;
        let timeout = self.state.settings.suspect_timeout;
        let down: Vec<Vm> = self
            .state
            .roster
            .iter()
            .filter(|member| {
                member.card.standing == Standing::Suspect && up >= member.since + timeout
            })
            .map(|member| member.card.vm)
            .collect();
        for vm in down {
            self.set_status(vm, Standing::Down);
        }
    }

    pub(super) fn handle_descriptors(&mut self, from: Seat, cards: Vec<Card>) {
        for card in cards {
            if card.vm == self.state.seat.vm {
                self.refute(&card);
            } else {
                let heard = card.vm == from.vm && card.incarnation == from.incarnation;
                self.merge_descriptor(card, heard);
            }
        }
    }

    /// Refutes a descriptor that calls this incarnation suspect or down.
    fn refute(&mut self, card: &Card) {
        let is_suspected = matches!(card.standing, Standing::Suspect | Standing::Down);
        if card.incarnation != self.state.seat.incarnation
            || !is_suspected
            || card.version < self.state.descriptor_version
        {
            return;
        }
        self.state.descriptor_version = card.version;
        self.announce();
    }

    fn merge_descriptor(&mut self, card: Card, heard: bool) {
        let vm = card.vm;
        let before = self
            .state
            .roster
            .get(vm)
            .map(|member| (member.card.standing, member.card.incarnation));
        if !self.state.roster.learn(card, self.now.up, heard) {
            return;
        }
        let after = self
            .state
            .roster
            .get(vm)
            .map(|member| (member.card.standing, member.card.incarnation));
        if before == after {
            return;
        }
        self.state.gossip.push_back((vm, GOSSIP_TRANSMISSIONS));
        let kind = match after.map(|(standing, _)| standing) {
            Some(Standing::Up) => Kind::MemberUp,
            Some(Standing::Leaving) => Kind::MemberLeaving,
            Some(Standing::Down) => Kind::MemberDown,
            _ => return,
        };
        self.record_event(Note::new(kind).vm(vm));
    }
}

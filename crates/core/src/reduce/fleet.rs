//! Membership: random probes, help from others, suspicion with a chance to refute.
//!
//! Each process probes one member an interval, whatever the size of the fleet.

use crate::id::{Ticket, Vm};
use crate::message::{Descriptor, Message, Status};
use crate::state::{Lifecycle, Probe};
use crate::timeline::{Draft, Kind};
use crate::token::Instance;

use super::Step;

/// Members asked to probe one that did not answer.
const HELPERS: usize = 2;
/// Times that a statement is passed on.
const GOSSIP_TIMES: u32 = 6;
/// Statements passed on in one message.
const GOSSIP_CARDS: usize = 8;
/// Members told directly when this process's own standing changes.
const ANNOUNCE_FANOUT: usize = 16;
/// One probe in this many goes to a member that counts as down, to find out when it is back.
const DOWN_PROBE_SHARE: u64 = 4;

impl Step<'_> {
    pub(super) fn own_card(&self) -> Descriptor {
        let state = &self.state;
        let status = match state.lifecycle {
            Lifecycle::Running if state.not_ready(self.now.up).is_some() => Status::Joining,
            Lifecycle::Running => Status::Up,
            _ => Status::Leaving,
        };
        Descriptor {
            vm: state.instance.vm,
            incarnation: state.instance.incarnation,
            version: state.version,
            zone: state.settings.zone.clone(),
            caller_address: state.settings.caller_address,
            peer_address: state.settings.peer_address,
            status,
        }
    }

    /// Tells others at once that this process's own standing has changed.
    pub(super) fn announce(&mut self) {
        self.state.version += 1;
        self.state.announced = self.own_card().status;
        for vm in self.random_members(ANNOUNCE_FANOUT, None) {
            self.send_cards(vm);
        }
    }

    pub(super) fn restart_probes(&mut self) {
        self.state.probes.clear();
        let up = self.now.up;
        let vms: Vec<Vm> = self
            .state
            .members
            .iter()
            .map(|member| member.descriptor.vm)
            .collect();
        for vm in vms {
            if let Some(member) = self.state.members.get_mut(vm) {
                member.status_since = up;
            }
        }
    }

    pub(super) fn tick_fleet(&mut self) {
        if self.own_card().status != self.state.announced {
            self.announce();
        }
        if self.now.up >= self.state.probe_at {
            self.state.probe_at = self.now.up + self.state.settings.probe_interval;
            self.probe_someone();
        }
        self.check_probes();
        self.check_suspects();
    }

    fn probe_someone(&mut self) {
        let number = self.state.next_number();
        let want_down = number % DOWN_PROBE_SHARE == 0;
        let down: Vec<Vm> = self
            .state
            .members
            .iter()
            .filter(|member| !member.is_reachable())
            .map(|member| member.descriptor.vm)
            .collect();
        let target = if want_down && !down.is_empty() {
            Some(down[(number / DOWN_PROBE_SHARE) as usize % down.len()])
        } else {
            self.random_members(1, None).first().copied()
        };
        if let Some(target) = target {
            self.send_probe(number, target, None);
        }
    }

    fn send_probe(&mut self, number: u64, target: Vm, helping: Option<(Vm, u64)>) {
        let probe = Probe {
            target,
            sent: self.now.up,
            indirect: false,
            helping,
        };
        self.state.probes.insert(number, probe);
        let ticket = self.state.table.newest();
        self.send(target, Message::Probe { number, ticket });
        self.send_cards(target);
    }

    /// Sends this process's own statement and some of what it has heard.
    fn send_cards(&mut self, to: Vm) {
        let mut descriptors = vec![self.own_card()];
        let mut again = Vec::new();
        for _ in 0..self.state.gossip.len().min(GOSSIP_CARDS) {
            let Some((vm, left)) = self.state.gossip.pop_front() else {
                break;
            };
            if let Some(member) = self.state.members.get(vm) {
                descriptors.push(member.descriptor.clone());
            }
            if left > 1 {
                again.push((vm, left - 1));
            }
        }
        self.state.gossip.extend(again);
        self.send(to, Message::Descriptors { descriptors });
    }

    pub(super) fn probed(&mut self, from: Instance, number: u64, ticket: Ticket) {
        self.hear_ticket(ticket);
        let own = self.state.table.newest();
        self.send(
            from.vm,
            Message::ProbeAck {
                number,
                ticket: own,
            },
        );
        self.contradict(from);
        self.send_cards(from.vm);
    }

    /// Tells a member that answers what is wrongly said of it, so that it refutes.
    fn contradict(&mut self, from: Instance) {
        let member = self.state.members.get(from.vm);
        let doubted = |status: Status| matches!(status, Status::Suspect | Status::Down);
        let descriptor = member
            .filter(|member| member.instance() == from && doubted(member.descriptor.status))
            .map(|member| member.descriptor.clone());
        if let Some(descriptor) = descriptor {
            self.send(
                from.vm,
                Message::Descriptors {
                    descriptors: vec![descriptor],
                },
            );
        }
    }

    pub(super) fn probe_acknowledged(&mut self, from: Instance, number: u64, ticket: Ticket) {
        self.hear_ticket(ticket);
        self.contradict(from);
        let Some(probe) = self.state.probes.get(&number).copied() else {
            return;
        };
        // An answer through a helper comes from the helper; it vouches for the target.
        self.state.probes.remove(&number);
        if let Some((asker, theirs)) = probe.helping {
            self.send(
                asker,
                Message::ProbeAck {
                    number: theirs,
                    ticket,
                },
            );
        }
    }

    pub(super) fn probe_for(&mut self, from: Instance, number: u64, target: Vm) {
        if target == self.state.instance.vm {
            let ticket = self.state.table.newest();
            self.send(from.vm, Message::ProbeAck { number, ticket });
            return;
        }
        let own = self.state.next_number();
        self.send_probe(own, target, Some((from.vm, number)));
    }

    fn check_probes(&mut self) {
        let up = self.now.up;
        let timeout = self.state.settings.probe_timeout;
        let overdue: Vec<(u64, Probe)> = self
            .state
            .probes
            .iter()
            .filter(|(_, probe)| up >= probe.sent + timeout)
            .map(|(number, probe)| (*number, *probe))
            .collect();
        for (number, probe) in overdue {
            if probe.helping.is_some() {
                self.state.probes.remove(&number);
            } else if !probe.indirect {
                self.ask_helpers(number, probe);
            } else if up >= probe.sent + 2 * timeout {
                self.state.probes.remove(&number);
                self.suspect(probe.target);
            }
        }
    }

    fn ask_helpers(&mut self, number: u64, probe: Probe) {
        self.state.probes.insert(
            number,
            Probe {
                indirect: true,
                ..probe
            },
        );
        for helper in self.random_members(HELPERS, Some(probe.target)) {
            self.send(
                helper,
                Message::IndirectProbe {
                    number,
                    target: probe.target,
                },
            );
        }
    }

    fn suspect(&mut self, vm: Vm) {
        let Some(member) = self.state.members.get(vm) else {
            return;
        };
        if !matches!(
            member.descriptor.status,
            Status::Joining | Status::Up | Status::Leaving
        ) {
            return;
        }
        self.set_standing(vm, Status::Suspect);
    }

    fn set_standing(&mut self, vm: Vm, status: Status) {
        let up = self.now.up;
        if let Some(member) = self.state.members.get_mut(vm) {
            member.descriptor.status = status;
            member.status_since = up;
            self.state.gossip.push_back((vm, GOSSIP_TIMES));
        }
        if status == Status::Down {
            self.note(Draft::new(Kind::MemberDown).vm(vm));
        }
    }

    fn check_suspects(&mut self) {
        let up = self.now.up;
        let timeout = self.state.settings.suspect_timeout;
        let lost: Vec<Vm> = self
            .state
            .members
            .iter()
            .filter(|member| {
                member.descriptor.status == Status::Suspect && up >= member.status_since + timeout
            })
            .map(|member| member.descriptor.vm)
            .collect();
        for vm in lost {
            self.set_standing(vm, Status::Down);
        }
    }

    pub(super) fn learn_cards(&mut self, from: Instance, descriptors: Vec<Descriptor>) {
        for descriptor in descriptors {
            if descriptor.vm == self.state.instance.vm {
                self.refute(&descriptor);
            } else {
                let contacted =
                    descriptor.vm == from.vm && descriptor.incarnation == from.incarnation;
                self.learn_card(descriptor, contacted);
            }
        }
    }

    /// Answers a statement that this process, in this boot, does not answer.
    fn refute(&mut self, descriptor: &Descriptor) {
        let doubted = matches!(descriptor.status, Status::Suspect | Status::Down);
        if descriptor.incarnation != self.state.instance.incarnation
            || !doubted
            || descriptor.version < self.state.version
        {
            return;
        }
        self.state.version = descriptor.version;
        self.announce();
    }

    fn learn_card(&mut self, descriptor: Descriptor, contacted: bool) {
        let vm = descriptor.vm;
        let before = self
            .state
            .members
            .get(vm)
            .map(|member| (member.descriptor.status, member.descriptor.incarnation));
        if !self.state.members.merge(descriptor, self.now.up, contacted) {
            return;
        }
        let after = self
            .state
            .members
            .get(vm)
            .map(|member| (member.descriptor.status, member.descriptor.incarnation));
        if before == after {
            return;
        }
        self.state.gossip.push_back((vm, GOSSIP_TIMES));
        let kind = match after.map(|(status, _)| status) {
            Some(Status::Up) => Kind::MemberUp,
            Some(Status::Leaving) => Kind::MemberLeaving,
            Some(Status::Down) => Kind::MemberDown,
            _ => return,
        };
        self.note(Draft::new(kind).vm(vm));
    }
}

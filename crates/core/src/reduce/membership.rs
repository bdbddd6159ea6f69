//! Membership by a gossip protocol in the manner of SWIM: random probes, indirect probes through
//! other members, and suspicion that a member can refute.
//!
//! Each process probes one member per interval, so its cost does not depend on the size of the
//! fleet.

use crate::id::{Ticket, Vm};
use crate::message::{Descriptor, Message, Status};
use crate::state::{Lifecycle, Probe};
use crate::timeline::{Draft, Kind};
use crate::token::Instance;

use super::Reducer;

/// Number of members asked to probe one that did not acknowledge a probe.
const INDIRECT_PROBES: usize = 2;
/// Number of messages in which a changed descriptor is passed on.
const GOSSIP_TRANSMISSIONS: u32 = 6;
/// Maximum number of gossiped descriptors in one message.
const GOSSIP_DESCRIPTORS_MAX: usize = 8;
/// Number of members to which this process sends its own descriptor when its status changes or it
/// refutes a suspicion.
const ANNOUNCE_FANOUT: usize = 16;
/// One in this many probes goes to a member that is down, to detect that it is back.
const DOWN_PROBE_PERIOD: u64 = 4;

impl Reducer<'_> {
    pub(super) fn local_descriptor(&self) -> Descriptor {
        let state = &self.state;
        let status = match state.lifecycle {
            Lifecycle::Running if state.unready_reason(self.now.up).is_some() => Status::Joining,
            Lifecycle::Running => Status::Up,
            _ => Status::Leaving,
        };
        Descriptor {
            vm: state.instance.vm,
            incarnation: state.instance.incarnation,
            version: state.descriptor_version,
            zone: state.settings.zone.clone(),
            caller_address: state.settings.caller_address,
            peer_address: state.settings.peer_address,
            status,
        }
    }

    /// Publishes this process's own descriptor under a new version, because its status has changed
    /// or to refute a suspicion.
    pub(super) fn announce(&mut self) {
        self.state.descriptor_version += 1;
        self.state.announced_status = self.local_descriptor().status;
        for vm in self.pick_members(ANNOUNCE_FANOUT, None) {
            self.send_descriptors(vm);
        }
    }

    /// Discards the probes in flight and restarts the suspicion timeout of every member.
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

    pub(super) fn tick_membership(&mut self) {
        if self.local_descriptor().status != self.state.announced_status {
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
            .members
            .iter()
            .filter(|member| !member.is_reachable())
            .map(|member| member.descriptor.vm)
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
        let mut descriptors = vec![self.local_descriptor()];
        let mut retransmit = Vec::new();
        for _ in 0..self.state.gossip.len().min(GOSSIP_DESCRIPTORS_MAX) {
            let Some((vm, remaining)) = self.state.gossip.pop_front() else {
                break;
            };
            if let Some(member) = self.state.members.get(vm) {
                descriptors.push(member.descriptor.clone());
            }
            if remaining > 1 {
                retransmit.push((vm, remaining - 1));
            }
        }
        self.state.gossip.extend(retransmit);
        self.send(to, Message::Descriptors { descriptors });
    }

    pub(super) fn handle_probe(&mut self, from: Instance, number: u64, ticket: Ticket) {
        self.observe_peer_ticket(ticket);
        let local_ticket = self.state.table.newest();
        self.send(
            from.vm,
            Message::ProbeAck {
                number,
                ticket: local_ticket,
            },
        );
        self.notify_suspected(from);
        self.send_descriptors(from.vm);
    }

    /// Sends a member that is alive the descriptor that calls it suspect or down, so that it can
    /// refute.
    fn notify_suspected(&mut self, from: Instance) {
        let member = self.state.members.get(from.vm);
        let is_suspected = |status: Status| matches!(status, Status::Suspect | Status::Down);
        let descriptor = member
            .filter(|member| member.instance() == from && is_suspected(member.descriptor.status))
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

    pub(super) fn handle_probe_ack(&mut self, from: Instance, number: u64, ticket: Ticket) {
        self.observe_peer_ticket(ticket);
        self.notify_suspected(from);
        let Some(probe) = self.state.probes.get(&number).copied() else {
            return;
        };
        // The acknowledgement of an indirect probe comes from the member that was asked to probe and
        // is accepted on behalf of the target, so the sender is not compared with the target.
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

    pub(super) fn handle_indirect_probe(&mut self, from: Instance, number: u64, target: Vm) {
        if target == self.state.instance.vm {
            let ticket = self.state.table.newest();
            self.send(from.vm, Message::ProbeAck { number, ticket });
            return;
        }
        let local_number = self.state.next_number();
        self.send_probe(local_number, target, Some((from.vm, number)));
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
                Message::IndirectProbe {
                    number,
                    target: probe.target,
                },
            );
        }
    }

    fn mark_suspect(&mut self, vm: Vm) {
        let Some(member) = self.state.members.get(vm) else {
            return;
        };
        if !matches!(
            member.descriptor.status,
            Status::Joining | Status::Up | Status::Leaving
        ) {
            return;
        }
        self.set_status(vm, Status::Suspect);
    }

    fn set_status(&mut self, vm: Vm, status: Status) {
        let up = self.now.up;
        if let Some(member) = self.state.members.get_mut(vm) {
            member.descriptor.status = status;
            member.status_since = up;
            self.state.gossip.push_back((vm, GOSSIP_TRANSMISSIONS));
        }
        if status == Status::Down {
            self.record_event(Draft::new(Kind::MemberDown).vm(vm));
        }
    }

    fn check_suspects(&mut self) {
        let up = self.now.up;
        let timeout = self.state.settings.suspect_timeout;
        let down: Vec<Vm> = self
            .state
            .members
            .iter()
            .filter(|member| {
                member.descriptor.status == Status::Suspect && up >= member.status_since + timeout
            })
            .map(|member| member.descriptor.vm)
            .collect();
        for vm in down {
            self.set_status(vm, Status::Down);
        }
    }

    pub(super) fn handle_descriptors(&mut self, from: Instance, descriptors: Vec<Descriptor>) {
        for descriptor in descriptors {
            if descriptor.vm == self.state.instance.vm {
                self.refute(&descriptor);
            } else {
                let from_member =
                    descriptor.vm == from.vm && descriptor.incarnation == from.incarnation;
                self.merge_descriptor(descriptor, from_member);
            }
        }
    }

    /// Refutes a descriptor that calls this incarnation suspect or down.
    fn refute(&mut self, descriptor: &Descriptor) {
        let is_suspected = matches!(descriptor.status, Status::Suspect | Status::Down);
        if descriptor.incarnation != self.state.instance.incarnation
            || !is_suspected
            || descriptor.version < self.state.descriptor_version
        {
            return;
        }
        self.state.descriptor_version = descriptor.version;
        self.announce();
    }

    fn merge_descriptor(&mut self, descriptor: Descriptor, from_member: bool) {
        let vm = descriptor.vm;
        let before = self
            .state
            .members
            .get(vm)
            .map(|member| (member.descriptor.status, member.descriptor.incarnation));
        if !self
            .state
            .members
            .merge(descriptor, self.now.up, from_member)
        {
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
        self.state.gossip.push_back((vm, GOSSIP_TRANSMISSIONS));
        let kind = match after.map(|(status, _)| status) {
            Some(Status::Up) => Kind::MemberUp,
            Some(Status::Leaving) => Kind::MemberLeaving,
            Some(Status::Down) => Kind::MemberDown,
            _ => return,
        };
        self.record_event(Draft::new(kind).vm(vm));
    }
}

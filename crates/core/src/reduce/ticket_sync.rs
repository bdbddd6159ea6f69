//! Replication of tickets between peers: a few processes watch the platform, the others learn from
//! each other.
//!
//! A new ticket is pushed to a fixed number of random members. A member that was missed sees the
//! higher number in a probe and pulls. The cost per process does not grow with the fleet.

use std::time::Duration;

use crate::id::{Ticket, Vm};
use crate::message::{Message, Status};
use crate::state::PartialSnapshot;
use crate::ticket::Version;
use crate::token::Instance;

use super::Reducer;

/// Number of members to which a new ticket is pushed.
const PUSH_FANOUT: usize = 4;
/// Interval at which a process that is behind pulls tickets.
const PULL_INTERVAL: Duration = Duration::from_millis(250);
/// Size limit of one part of a snapshot, in bytes of its items.
const SNAPSHOT_PART_BYTES: usize = 48 << 10;

impl Reducer<'_> {
    /// Returns whether this process watches the platform for its zone: it is among the first of the
    /// zone's live VMs in the order of a hash. If the views of processes differ, there are briefly
    /// more or fewer watchers.
    pub(super) fn is_watcher(&mut self) -> bool {
        let own_rank = watcher_rank(self.state.instance.vm);
        let zone = &self.state.settings.zone;
        let ahead = self.state.members.iter().filter(|member| {
            let is_live = matches!(member.descriptor.status, Status::Up | Status::Suspect);
            is_live
                && member.descriptor.zone == *zone
                && watcher_rank(member.descriptor.vm) < own_rank
        });
        ahead.count() < self.state.settings.watchers_per_zone
    }

    /// Pushes the tickets after a number to random members.
    pub(super) fn push_tickets(&mut self, after: Ticket) {
        let Some(texts) = self.state.table.tickets_after(after) else {
            return;
        };
        for vm in self.pick_members(PUSH_FANOUT, None) {
            self.send(
                vm,
                Message::Tickets {
                    texts: texts.clone(),
                },
            );
        }
    }

    /// Pulls tickets from a random member if this process is behind, at a bounded rate.
    pub(super) fn pull_if_behind(&mut self) {
        let behind = self.state.table.newest() < self.state.newest_known_ticket;
        if !behind || self.now.up < self.state.reads.next_pull_at {
            return;
        }
        self.state.reads.next_pull_at = self.now.up + PULL_INTERVAL;
        let after = self.state.table.newest();
        for vm in self.pick_members(1, None) {
            self.send(vm, Message::TicketQuery { after });
        }
    }

    pub(super) fn handle_ticket_query(&mut self, from: Instance, after: Ticket) {
        if self.state.table.newest() <= after {
            return;
        }
        match self.state.table.tickets_after(after) {
            Some(texts) => self.send(from.vm, Message::Tickets { texts }),
            None => self.send_snapshot(from.vm),
        }
    }

    fn send_snapshot(&mut self, to: Vm) {
        let newest = self.state.table.newest();
        let parts = split_snapshot(self.state.table.snapshot());
        let count = parts.len() as u32;
        for (part, versions) in (0..).zip(parts) {
            self.send(
                to,
                Message::Snapshot {
                    newest,
                    part,
                    parts: count,
                    versions,
                },
            );
        }
    }

    /// Collects the parts of a snapshot and applies it once it is complete, so that no ticket is
    /// ever in force in part.
    pub(super) fn handle_snapshot_part(
        &mut self,
        from: Instance,
        newest: Ticket,
        part: u32,
        parts: u32,
        versions: Vec<Version>,
    ) {
        if newest <= self.state.table.newest() {
            return;
        }
        let pending = &mut self.state.reads.partial_snapshot;
        let is_same = pending
            .as_ref()
            .is_some_and(|partial| partial.from == from && partial.newest == newest);
        if !is_same {
            *pending = Some(PartialSnapshot {
                from,
                newest,
                parts: Default::default(),
            });
        }
        let Some(partial) = pending else {
            return;
        };
        partial.parts.insert(part, versions);
        if partial.parts.len() < parts as usize {
            return;
        }
        let versions: Vec<Version> = std::mem::take(&mut partial.parts)
            .into_values()
            .flatten()
            .collect();
        *pending = None;
        match self.state.table.merge_snapshot(newest, &versions) {
            Ok(true) => {
                self.observe_ticket(newest);
                self.clear_behind_if_current();
            }
            Ok(false) => {}
            Err(faults) => self.record_refused_ticket(newest, &faults),
        }
    }
}

/// Hash that orders the VMs as watchers, independent of how VM numbers are assigned.
fn watcher_rank(vm: Vm) -> u64 {
    let mixed = (u64::from(vm) + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed ^ (mixed >> 29)
}

/// Splits items into parts of bounded size.
fn split_snapshot(versions: Vec<Version>) -> Vec<Vec<Version>> {
    let mut parts = vec![Vec::new()];
    let mut bytes = 0;
    for version in versions {
        let size = version.name.len() + version.text.len();
        if bytes + size > SNAPSHOT_PART_BYTES && bytes > 0 {
            parts.push(Vec::new());
            bytes = 0;
        }
        bytes += size;
        if let Some(last) = parts.last_mut() {
            last.push(version);
        }
    }
    parts
}

//! Reads of the platform's configuration service: tickets and the list of VMs.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use crate::event::{Effect, Listing, Read};
use crate::id;
use crate::message::{Descriptor, Status};
use crate::state::Reads;
use crate::ticket::{Applied, Fault, Ticket};
use crate::timeline::{Detail, Draft, Kind};

use super::Reducer;

/// Time after which a read without a response is considered lost and is started again. It exceeds
/// the longest wait of a read.
const READ_TIMEOUT: Duration = Duration::from_secs(15);
/// Number of consecutive failed reads after which a starting process relies on its peers alone.
const FAILURES_BEFORE_PEERS: u32 = 3;

impl Reducer<'_> {
    pub(super) fn restart_reads(&mut self) {
        let list_known = self.state.reads.list_known;
        self.state.reads = Reads {
            list_known,
            ..Reads::default()
        };
    }

    pub(super) fn tick_reads(&mut self) {
        let up = self.now.up;
        self.state
            .reads
            .in_flight
            .retain(|_, started_at| up < *started_at + READ_TIMEOUT);
        self.update_tickets_known();
        if up >= self.state.reads.next_tickets_read_at {
            let wait = self.tickets_wait();
            let after = self.state.table.newest();
            self.begin_read(Read::Tickets {
                after,
                wait_ms: wait.as_millis() as u64,
            });
        }
        if up >= self.state.reads.next_list_read_at {
            self.begin_read(Read::List);
        }
        self.pull_if_behind();
    }

    /// Returns how long a read of the tickets waits at the platform for the next one. Only watchers
    /// wait, and only once they have caught up; other reads return immediately.
    fn tickets_wait(&mut self) -> Duration {
        if self.state.reads.platform_caught_up && self.is_watcher() {
            self.state.settings.watch_timeout
        } else {
            Duration::ZERO
        }
    }

    /// Marks the tickets as known once this process has caught up with the platform and with the
    /// newest ticket that any peer has reported. The platform's answer may be stale, so a peer must
    /// have reported its newest ticket, unless there is none or none responds. While the platform is
    /// unavailable, the peers' tickets are enough.
    fn update_tickets_known(&mut self) {
        let reads = &self.state.reads;
        if reads.tickets_known {
            return;
        }
        let any_seen = self.state.members.iter().any(|member| member.seen_directly);
        let peers_only = reads.consecutive_failures >= FAILURES_BEFORE_PEERS
            && any_seen
            && self.state.table.newest() > 0;
        let up_to_date = self.state.table.newest() >= self.state.newest_known_ticket;
        let peers_asked = reads.peer_ticket_heard || self.state.has_no_peer(self.now.up);
        if up_to_date && peers_asked && (reads.platform_caught_up || peers_only) {
            self.state.reads.tickets_known = true;
        }
    }

    fn begin_read(&mut self, read: Read) {
        let slot = Reads::slot(read);
        if self.state.reads.in_flight.contains_key(&slot) {
            return;
        }
        self.state.reads.in_flight.insert(slot, self.now.up);
        self.emit(Effect::Read(read));
    }

    pub(super) fn handle_read_failure(&mut self, read: Read) {
        self.state.reads.in_flight.remove(&Reads::slot(read));
        self.state.reads.consecutive_failures =
            self.state.reads.consecutive_failures.saturating_add(1);
        let retry_at = self.now.up + self.state.settings.read_retry_delay;
        match read {
            Read::Tickets { .. } => self.state.reads.next_tickets_read_at = retry_at,
            Read::List => self.state.reads.next_list_read_at = retry_at,
        }
    }

    pub(super) fn handle_tickets(&mut self, tickets: &[Arc<str>], newest: id::Ticket) {
        self.state.reads.in_flight.remove(&0);
        self.state.reads.consecutive_failures = 0;
        self.apply_tickets(tickets);
        self.observe_ticket(newest);
        // A platform that is behind the tickets in force here counts as caught up with too;
        // `update_tickets_known` also asks the peers.
        self.state.reads.platform_caught_up |= self.state.table.newest() >= newest;
        let delay = if self.is_watcher() {
            Duration::ZERO
        } else {
            self.jittered_poll_interval()
        };
        self.state.reads.next_tickets_read_at = self.now.up + delay;
        self.update_tickets_known();
    }

    /// Returns a random duration around the poll interval, to spread the reads of the processes.
    fn jittered_poll_interval(&mut self) -> Duration {
        let factor = self.state.rng.random_range(0.5..1.5);
        self.state.settings.poll_interval.mul_f64(factor)
    }

    /// Applies tickets in order and pushes the new ones to peers.
    pub(super) fn apply_tickets(&mut self, texts: &[Arc<str>]) {
        let previous = self.state.table.newest();
        for text in texts {
            match Ticket::parse(text) {
                Ok(ticket) => self.apply_ticket(&ticket),
                Err(faults) => self.skip_ticket(text, &faults),
            }
        }
        if self.state.table.newest() > previous {
            self.observe_ticket(self.state.table.newest());
            self.push_tickets(previous);
        }
        self.clear_behind_if_current();
    }

    /// Clears `behind_since` once this process has caught up with the newest known ticket.
    pub(super) fn clear_behind_if_current(&mut self) {
        if self.state.table.newest() >= self.state.newest_known_ticket {
            self.state.reads.behind_since = None;
        }
    }

    fn apply_ticket(&mut self, ticket: &Ticket) {
        if self.state.table.apply(ticket) == Applied::New {
            self.record_event(Draft::new(Kind::TicketApplied).ticket(ticket.number));
        }
    }

    fn skip_ticket(&mut self, text: &Arc<str>, faults: &[Fault]) {
        let Some(number) = Ticket::number_of(text) else {
            return;
        };
        if self.state.table.skip(number, text.clone()) == Applied::New {
            self.record_refused_ticket(number, faults);
        }
    }

    /// Records the faults for which a ticket, or a snapshot up to that ticket, is not applied.
    pub(super) fn record_refused_ticket(&mut self, number: id::Ticket, faults: &[Fault]) {
        self.state.counters.tickets_refused += 1;
        let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
        let detail = Detail::Faults(lines.join("; ").into());
        self.record_event(
            Draft::new(Kind::TicketRefused)
                .ticket(number)
                .detail(detail),
        );
    }

    /// Records the newest ticket number of a peer.
    pub(super) fn observe_peer_ticket(&mut self, number: id::Ticket) {
        self.state.reads.peer_ticket_heard = true;
        self.observe_ticket(number);
    }

    /// Records a ticket number that the platform or a peer has.
    pub(super) fn observe_ticket(&mut self, number: id::Ticket) {
        self.state.newest_known_ticket = self.state.newest_known_ticket.max(number);
        let behind = self.state.table.newest() < self.state.newest_known_ticket;
        if behind && self.state.reads.behind_since.is_none() {
            self.state.reads.behind_since = Some(self.now.up);
        }
    }

    /// Adds members from the platform's list. A VM that is missing from the list is removed only if
    /// it is down too, since the list lags behind.
    pub(super) fn handle_list(&mut self, vms: Vec<Listing>) {
        self.state.reads.in_flight.remove(&1);
        self.state.reads.list_known = true;
        let watcher = self.is_watcher();
        let delay = if watcher {
            self.state.settings.list_interval
        } else {
            self.jittered_poll_interval()
        };
        self.state.reads.next_list_read_at = self.now.up + delay;
        let listed: std::collections::BTreeSet<id::Vm> = vms.iter().map(|vm| vm.vm).collect();
        for vm in vms {
            self.merge_listed(vm);
        }
        let removed: Vec<id::Vm> = self
            .state
            .members
            .iter()
            .filter(|member| {
                member.descriptor.status == Status::Down && !listed.contains(&member.descriptor.vm)
            })
            .map(|member| member.descriptor.vm)
            .collect();
        removed
            .into_iter()
            .for_each(|vm| self.state.members.remove(vm));
    }

    fn merge_listed(&mut self, listed: Listing) {
        if listed.vm == self.state.instance.vm {
            if listed.leaving {
                self.start_leaving();
            }
            return;
        }
        if self.state.members.get(listed.vm).is_none() {
            let descriptor = Descriptor {
                vm: listed.vm,
                incarnation: 0,
                version: 0,
                zone: listed.zone,
                caller_address: listed.caller_address,
                peer_address: listed.peer_address,
                status: Status::Joining,
            };
            self.state.members.merge(descriptor, self.now.up, false);
        }
        if let Some(member) = self.state.members.get_mut(listed.vm) {
            member.listed_leaving = listed.leaving;
        }
    }
}

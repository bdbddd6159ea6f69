//! Reads of the platform: tickets and the list of VMs.

use std::time::Duration;

use crate::event::{Effect, Listed, Read};
use crate::id;
use crate::message::{Card, Standing};
use crate::state::Reads;
use crate::ticket::{Applied, Ticket};
use crate::timeline::{Kind, Note};

use super::Step;

/// A read that has had no answer for this long beyond its own wait is begun again.
const READ_LOST_AFTER: Duration = Duration::from_secs(15);

impl Step<'_> {
    pub(super) fn restart_reads(&mut self) {
        let list_read = self.state.reads.list_read;
        self.state.reads = Reads {
            list_read,
            ..Reads::default()
        };
    }

    pub(super) fn tick_reads(&mut self) {
        let up = self.now.up;
        self.state
            .reads
            .under_way
            .retain(|_, since| up < *since + READ_LOST_AFTER);
        // The first read does not wait, so that a starting process learns at once where it stands.
        let wait = if self.state.reads.tickets_known {
            self.state.settings.watch_wait
        } else {
            Duration::ZERO
        };
        let tickets = Read::Tickets {
            after: self.state.table.newest(),
            wait_ms: wait.as_millis() as u64,
        };
        if up >= self.state.reads.tickets_at {
            self.begin_read(tickets);
        }
        if up >= self.state.reads.list_at {
            self.begin_read(Read::List);
        }
    }

    fn begin_read(&mut self, read: Read) {
        let slot = Reads::slot(read);
        if self.state.reads.under_way.contains_key(&slot) {
            return;
        }
        self.state.reads.under_way.insert(slot, self.now.up);
        self.emit(Effect::Read(read));
    }

    pub(super) fn read_failed(&mut self, read: Read) {
        self.state.reads.under_way.remove(&Reads::slot(read));
        let again = self.now.up + self.state.settings.read_retry;
        match read {
            Read::Tickets { .. } => self.state.reads.tickets_at = again,
            Read::List => self.state.reads.list_at = again,
        }
    }

    pub(super) fn tickets_read(
        &mut self,
        tickets: Vec<Result<Ticket, id::Ticket>>,
        newest: id::Ticket,
    ) {
        self.state.reads.under_way.remove(&0);
        self.state.reads.tickets_at = self.now.up;
        for ticket in tickets {
            match ticket {
                Ok(ticket) => self.apply_ticket(&ticket),
                Err(number) => self.skip_ticket(number),
            }
        }
        self.hear_ticket(newest);
        // A stale service may lag behind what peers know; then this process keeps asking.
        if self.state.table.newest() >= self.state.ticket_heard {
            self.state.reads.behind_since = None;
            self.state.reads.tickets_known = true;
        } else {
            self.state.reads.tickets_at = self.now.up + self.state.settings.read_retry;
        }
    }

    fn apply_ticket(&mut self, ticket: &Ticket) {
        if self.state.table.apply(ticket) == Applied::New {
            self.note(Note::new(Kind::TicketApplied).ticket(ticket.number));
        }
    }

    fn skip_ticket(&mut self, number: id::Ticket) {
        if self.state.table.skip(number) == Applied::New {
            self.state.counters.tickets_refused += 1;
            self.note(Note::new(Kind::TicketRefused).ticket(number));
        }
    }

    /// Takes note of a ticket number that somebody knows.
    pub(super) fn hear_ticket(&mut self, number: id::Ticket) {
        self.state.ticket_heard = self.state.ticket_heard.max(number);
        let behind = self.state.table.newest() < self.state.ticket_heard;
        if behind && self.state.reads.behind_since.is_none() {
            self.state.reads.behind_since = Some(self.now.up);
        }
    }

    /// Takes candidates from the list. A VM that is off the list goes only when it is down too,
    /// since the list lags.
    pub(super) fn list_read(&mut self, vms: Vec<Listed>) {
        self.state.reads.under_way.remove(&1);
        self.state.reads.list_read = true;
        self.state.reads.list_at = self.now.up + self.state.settings.list_interval;
        let listed: std::collections::BTreeSet<id::Vm> = vms.iter().map(|vm| vm.vm).collect();
        for vm in vms {
            self.learn_listed(vm);
        }
        let gone: Vec<id::Vm> = self
            .state
            .roster
            .iter()
            .filter(|member| {
                member.card.standing == Standing::Down && !listed.contains(&member.card.vm)
            })
            .map(|member| member.card.vm)
            .collect();
        gone.into_iter().for_each(|vm| self.state.roster.remove(vm));
    }

    fn learn_listed(&mut self, listed: Listed) {
        if listed.vm == self.state.seat.vm {
            if listed.leaving {
                self.leave();
            }
            return;
        }
        if self.state.roster.get(listed.vm).is_none() {
            let card = Card {
                vm: listed.vm,
                incarnation: 0,
                version: 0,
                zone: listed.zone,
                caller_address: listed.caller_address,
                peer_address: listed.peer_address,
                standing: Standing::Joining,
            };
            self.state.roster.learn(card, self.now.up, false);
        }
        if let Some(member) = self.state.roster.get_mut(listed.vm) {
            member.listed_leaving = listed.leaving;
        }
    }
}

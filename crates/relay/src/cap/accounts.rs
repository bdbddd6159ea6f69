//! The accounts of a VM, its asks, and what it knows of granters.

use std::collections::HashMap;
use std::time::Duration;

use crate::id;

use super::{Account, Number, Reach};

/// How long a VM that did not answer is passed over. A VM that has stopped is found to be down within about this time.
const SILENCE_TIME: Duration = Duration::from_secs(2);
/// How long a VM of a release without caps is passed over.
const UNSUPPORTED_TIME: Duration = Duration::from_secs(30);
/// Shortest time between two checks whether a granter responds.
const CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// How long a VM counts as alive that has taken an ask, whatever is told of it.
const ALIVE_TIME: Duration = Duration::from_secs(1);
/// How long an account is kept that is not used.
const ACCOUNT_RETENTION: Duration = Duration::from_secs(60);

/// Why an ask was not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Failure {
    /// The VM did not respond in time, or was not reached.
    Silent,
    /// The VM is of a release that knows no caps.
    Unsupported,
}

/// What a VM keeps of caps that other VMs grant.
#[derive(Debug, Clone, Default)]
pub struct Accounts {
    accounts: HashMap<id::Organisation, Account>,
    /// The calls whose asks are not answered.
    pending: HashMap<Number, id::Call>,
    /// Until when VMs are passed over as granters.
    silent_until: HashMap<id::Vm, Duration>,
    /// When VMs last took an ask.
    alive_at: HashMap<id::Vm, Duration>,
    /// When granters were last checked.
    checked_at: HashMap<id::Vm, Duration>,
    /// When VMs that are taken to be down, and are not, were last told so.
    recalled_at: HashMap<id::Vm, Duration>,
    /// When the next reports are due.
    pub next_report_at: Duration,
    /// When the granters are looked up next.
    pub next_sweep_at: Duration,
    /// What the last look-up was based on.
    pub swept: u64,
    /// What part of the fleet this VM reaches, if it is a granter.
    pub reach: Reach,
    /// Whether this VM hears of so few others that it may be cut off from the fleet.
    pub is_isolated: bool,
}

impl Accounts {
    /// The account of an organisation, created if there is none.
    pub fn entry(
        &mut self,
        organisation: &id::Organisation,
        create: impl FnOnce() -> Account,
    ) -> &mut Account {
        let entry = self.accounts.entry(organisation.clone());
        entry.or_insert_with(create)
    }

    /// The accounts.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&id::Organisation, &mut Account)> {
        self.accounts.iter_mut()
    }

    /// Number of accounts.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Whether there is no account.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Forgets the accounts that do not pass the filter, and those that are not used.
    pub fn retain(&mut self, now: Duration, is_kept: impl Fn(&id::Organisation) -> bool) {
        self.accounts.retain(|organisation, account| {
            is_kept(organisation) && !account.is_idle(ACCOUNT_RETENTION, now)
        });
        self.silent_until.retain(|_, until| *until > now);
        self.alive_at.retain(|_, at| *at + ALIVE_TIME > now);
        self.checked_at.retain(|_, at| *at + CHECK_INTERVAL > now);
        self.recalled_at.retain(|_, at| *at + CHECK_INTERVAL > now);
    }

    /// Records that an answer for a call is awaited.
    pub fn await_answer(&mut self, number: Number, call: id::Call) {
        self.pending.insert(number, call);
    }

    /// Ends the wait for an answer; returns the call, if one waited.
    pub fn end_wait(&mut self, number: Number) -> Option<id::Call> {
        self.pending.remove(&number)
    }

    /// Number of answers that are awaited.
    pub fn awaited(&self) -> usize {
        self.pending.len()
    }

    /// Passes over a VM for a while.
    pub fn mark_silent(&mut self, vm: &id::Vm, failure: Failure, now: Duration) {
        let time = match failure {
            Failure::Silent => SILENCE_TIME,
            Failure::Unsupported => UNSUPPORTED_TIME,
        };
        let until = self.silent_until.entry(vm.clone()).or_default();
        *until = (*until).max(now + time);
    }

    /// Whether a VM is passed over.
    pub fn is_silent(&self, vm: &id::Vm, now: Duration) -> bool {
        let until = self.silent_until.get(vm);
        until.is_some_and(|until| *until > now)
    }

    /// Number of VMs that are passed over.
    pub fn silent(&self, now: Duration) -> usize {
        let until = self.silent_until.values();
        until.filter(|until| **until > now).count()
    }

    /// Records that a VM has taken an ask.
    pub fn mark_alive(&mut self, vm: &id::Vm, now: Duration) {
        self.alive_at.insert(vm.clone(), now);
    }

    /// Whether a VM has taken an ask a moment ago.
    pub fn is_alive(&self, vm: &id::Vm, now: Duration) -> bool {
        let alive_at = self.alive_at.get(vm);
        alive_at.is_some_and(|at| *at + ALIVE_TIME > now)
    }

    /// Whether to check now that a VM responds; the check is recorded.
    pub fn start_check(&mut self, vm: &id::Vm, now: Duration) -> bool {
        start(&mut self.checked_at, vm, now)
    }

    /// Whether to tell a VM now that it is taken to be down; the message is recorded.
    pub fn start_recall(&mut self, vm: &id::Vm, now: Duration) -> bool {
        start(&mut self.recalled_at, vm, now)
    }
}

/// Whether the last time is long enough ago; if so, the present one takes its place.
fn start(last: &mut HashMap<id::Vm, Duration>, vm: &id::Vm, now: Duration) -> bool {
    let at = last.get(vm);
    if at.is_some_and(|at| *at + CHECK_INTERVAL > now) {
        return false;
    }
    last.insert(vm.clone(), now);
    true
}

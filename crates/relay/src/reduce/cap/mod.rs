//! Usage caps of organisations: what calls cost, and how they are admitted. See [`crate::cap`].

mod charge;
mod granter;

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng as _;

use crate::backlog;
use crate::call::Phase;
use crate::cap::{
    self, Account, Answer, Ask, Charge, Entrance, Failure, Part, Pending, Quota, Verdict, Want,
};
use crate::decision_log::{Entry, Kind};
use crate::duration::Scale as _;
use crate::event::{Effect, Ending};
use crate::id;
use crate::member::Status;
use crate::organisation::Cap;
use crate::refusal::{Reason, Refusal};
use crate::state::CapCounter;

use granter::Source;

use super::Reducer;

/// How long a call waits for the answer of a granter.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(120);
/// Maximum number of VMs that are asked for one call. A second one is asked only if the first can't be reached, which
/// shows at once.
const ASKS_MAX: u32 = 4;
/// A request is small if it costs at most this part of the burst.
const SMALL_PART: f64 = 0.02;
/// Highest cost that is counted; a caller may name any number.
const COST_MAX: u64 = 1 << 32;
/// Interval at which refusals of one organisation are logged.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Random factor of the delay after which a refused call is to come back.
const RETURN_JITTER: std::ops::Range<f64> = 1.0..1.4;
/// Shortest such delay.
const RETURN_AFTER_MIN: Duration = Duration::from_millis(50);

impl Reducer<'_> {
    /// Charges a call to its organisation, or has it wait for an answer, or refuses it.
    pub(super) fn admit_by_cap(&mut self, number: id::Call, cost: u64, entrance: Entrance) {
        let Some((organisation, cap)) = self.cap_of(number) else {
            return self.enter(number, &entrance);
        };
        let cost = cost.min(COST_MAX);
        let now = self.now;
        let part = self.part(&cap);
        let account = self.account(&organisation, part);
        if let Some(return_after) = account.held_return_after(cost, now) {
            return self.refuse_over_cap(number, return_after);
        }
        let is_small = cost as f64 <= cap.burst * SMALL_PART;
        if is_small && account.try_spend_small(cost, part, now) {
            self.count(&organisation).small += 1;
            self.set_charge(number, Charge::Held(cost));
            return self.enter(number, &entrance);
        }
        let account = self.account(&organisation, part);
        if !account.try_pace(cost, cap.rate, now) {
            let return_after = account.paced_return_after(now);
            return self.refuse_over_cap(number, return_after.max(refill_time(cost, &cap)));
        }
        let number_of_ask = self.state.rng.random();
        let pending = Pending {
            want: Want {
                number: number_of_ask,
                cost,
            },
            granter: self.state.local.vm.clone(),
            asks: 0,
            entrance,
        };
        let until = now + ANSWER_TIMEOUT;
        if let Some(call) = self.state.calls.get_mut(&number) {
            call.phase = Phase::Admission { until };
        }
        self.ask_for_credit(number, &organisation, &cap, pending);
    }

    /// Asks the granter for the cost of a call, or decides if this VM is the granter or there is none.
    fn ask_for_credit(
        &mut self,
        number: id::Call,
        organisation: &id::Organisation,
        cap: &Cap,
        mut pending: Pending,
    ) {
        let now = self.now;
        pending.asks += 1;
        let want = pending.want;
        let source = match pending.asks <= ASKS_MAX {
            true => self.granter_of(organisation),
            false => Source::Nobody,
        };
        match source {
            Source::Local => {
                let quota = self.quota(organisation, cap);
                let granter = &mut self.state.granter;
                let (verdict, is_scarce) = granter.ask(organisation, quota, want.cost, now);
                self.set_charge(number, Charge::Pending(pending));
                self.note_answer(organisation, cap, want, verdict, is_scarce);
                self.settle(number, organisation, verdict);
            }
            Source::Peer(vm, address) => {
                pending.granter = vm;
                self.set_charge(number, Charge::Pending(pending));
                self.state.accounts.await_answer(want.number, number);
                let part = self.part(cap);
                let entry = cap::Entry {
                    organisation: organisation.clone(),
                    want: Some(want),
                    spent: self.account(organisation, part).take_report(),
                };
                self.send_ask(address, vec![entry]);
            }
            Source::Nobody => {
                self.set_charge(number, Charge::Pending(pending));
                self.decide_alone(number);
            }
        }
    }

    fn send_ask(&mut self, address: SocketAddr, entries: Vec<cap::Entry>) {
        let ask = Ask {
            address: self.state.local.peer_address,
            entries,
        };
        self.emit(Effect::AskCredit { address, ask });
    }

    /// Goes on with a call by the decision of a granter, or refuses it.
    fn settle(&mut self, number: id::Call, organisation: &id::Organisation, verdict: Verdict) {
        match verdict {
            Verdict::Granted => {
                self.count(organisation).granted += 1;
                self.enter_charged(number);
            }
            Verdict::Refused { return_after, .. } => self.refuse_over_cap(number, return_after),
            Verdict::Unknown => self.decide_alone(number),
        }
    }

    /// Lets a call in whose cost is charged.
    fn enter_charged(&mut self, number: id::Call) {
        let Some(call) = self.state.calls.get_mut(&number) else {
            return;
        };
        let Charge::Pending(pending) = &call.charge else {
            return;
        };
        let entrance = pending.entrance.clone();
        call.charge = Charge::Held(pending.want.cost);
        call.phase = Phase::Waiting {
            retry_at: call.arrived_at,
        };
        self.enter(number, &entrance);
    }

    /// Decides on a call without a granter.
    fn decide_alone(&mut self, number: id::Call) {
        let Some((organisation, cap)) = self.cap_of(number) else {
            return;
        };
        let call = self.state.calls.get(&number);
        let Some(Charge::Pending(pending)) = call.map(|call| &call.charge) else {
            return;
        };
        let (cost, part, now) = (pending.want.cost, self.part(&cap), self.now);
        let lot = self.state.rng.random();
        let account = self.account(&organisation, part);
        if account.try_spend_alone(cost, part, lot, now) {
            self.count(&organisation).alone += 1;
            return self.enter_charged(number);
        }
        self.refuse_over_cap(number, refill_time(cost, &cap));
    }

    /// When a call that another VM refused for its organisation's cap is to come back.
    pub(super) fn cap_return_after(&mut self, number: id::Call) -> Duration {
        let call = self.state.calls.get(&number);
        let cost = match call.map(|call| &call.charge) {
            Some(Charge::Held(cost) | Charge::Used(cost) | Charge::Returned(cost)) => *cost,
            _ => 0,
        };
        let time = self.cap_of(number).map(|(_, cap)| refill_time(cost, &cap));
        let jitter = self.state.rng.random_range(RETURN_JITTER);
        time.unwrap_or_default().scale(jitter).max(RETURN_AFTER_MIN)
    }

    /// Handles a call whose granter does not answer in time.
    pub(super) fn time_out_ask(&mut self, number: id::Call) {
        let call = self.state.calls.get(&number);
        let Some(Charge::Pending(pending)) = call.map(|call| &call.charge) else {
            return;
        };
        let (granter, asked) = (pending.granter.clone(), pending.want.number);
        self.state.accounts.end_wait(asked);
        self.mark_silent(&granter, Failure::Silent);
        self.decide_alone(number);
    }

    /// Answers of a granter.
    pub(super) fn handle_credit(&mut self, answers: Vec<Answer>) {
        for answer in answers {
            self.handle_answer_for_credit(&answer);
        }
    }

    fn handle_answer_for_credit(&mut self, answer: &Answer) {
        let Answer {
            organisation,
            want,
            verdict,
            is_scarce,
        } = answer;
        let call = self.state.accounts.end_wait(want.number);
        if let Some(cap) = self.cap_named(organisation) {
            self.note_answer(organisation, &cap, *want, *verdict, *is_scarce);
            if call.is_none() && *verdict == Verdict::Granted {
                // The call has ended, or was decided without the answer.
                self.give_back(organisation, &cap, want.cost);
            }
        }
        if let Some(number) = call {
            self.settle(number, organisation, *verdict);
        }
    }

    /// Takes note of how full the bucket of an organisation is.
    fn note_answer(
        &mut self,
        organisation: &id::Organisation,
        cap: &Cap,
        want: Want,
        verdict: Verdict,
        is_scarce: bool,
    ) {
        let (now, part) = (self.now, self.part(cap));
        let account = self.account(organisation, part);
        if verdict != Verdict::Unknown {
            account.record_answer(verdict == Verdict::Granted, is_scarce, now);
        }
        if let Verdict::Refused { wait, return_after } = verdict {
            account.hold(want.cost, wait, return_after, now);
        }
    }

    /// Takes note that a VM responds or asks. After a partition, VMs take each other to be down until they hear more; by
    /// then several would take themselves to be the granter of one organisation.
    fn note_contact(&mut self, address: SocketAddr) {
        let now = self.now;
        let Some(member) = self.state.members.find_by_address_mut(address) else {
            return;
        };
        let (vm, status) = (member.descriptor.vm.clone(), member.descriptor.status);
        let accounts = &mut self.state.accounts;
        accounts.mark_alive(&vm, now);
        if status == Status::Down && accounts.start_recall(&vm, now) {
            self.publish_to_down(&vm);
        }
    }

    /// Decides on what a VM asks, and counts what it reports.
    pub(super) fn handle_credit_ask(&mut self, ask: Ask) {
        let now = self.now;
        self.state.granter.mark_running(now);
        self.note_contact(ask.address);
        let mut answers = Vec::new();
        for entry in ask.entries {
            let Some(cap) = self.cap_named(&entry.organisation) else {
                answers.extend(entry.want.map(|want| Answer {
                    verdict: self.verdict_without_cap(&entry.organisation),
                    organisation: entry.organisation,
                    want,
                    is_scarce: false,
                }));
                continue;
            };
            let quota = self.quota(&entry.organisation, &cap);
            self.count_report(&entry.organisation, quota, entry.spent);
            let Some(want) = entry.want else {
                continue;
            };
            let granter = &mut self.state.granter;
            let (verdict, is_scarce) = granter.ask(&entry.organisation, quota, want.cost, now);
            answers.push(Answer {
                organisation: entry.organisation,
                want,
                verdict,
                is_scarce,
            });
        }
        if !answers.is_empty() {
            let address = ask.address;
            self.emit(Effect::SendCredit { address, answers });
        }
    }

    /// The decision for an organisation that has no cap here: it has none in this VM's manifest, which may be newer, or
    /// it is not known here yet.
    fn verdict_without_cap(&self, organisation: &id::Organisation) -> Verdict {
        let manifest = self.state.manifest.as_ref();
        let table = manifest.and_then(|manifest| manifest.organisations.as_ref());
        match table.and_then(|table| table.get(organisation)) {
            Some(_) => Verdict::Granted,
            None => Verdict::Unknown,
        }
    }

    fn count_report(&mut self, organisation: &id::Organisation, quota: Quota, spent: i64) {
        if spent != 0 {
            let granter = &mut self.state.granter;
            granter.record(organisation, quota, spent, self.now);
        }
    }

    /// A granter has what was reported to it.
    pub(super) fn handle_taken_ask(&mut self, address: SocketAddr, ask: &Ask) {
        self.state.accounts.reach.record(address);
        self.note_contact(address);
        for entry in &ask.entries {
            self.settle_report(&entry.organisation, entry.spent);
        }
    }

    fn settle_report(&mut self, organisation: &id::Organisation, spent: i64) {
        let Some(cap) = self.cap_named(organisation).filter(|_| spent != 0) else {
            return;
        };
        let (now, part) = (self.now, self.part(&cap));
        self.account(organisation, part)
            .settle_report(spent, part, now);
    }

    /// Keeps what was to be reported, and asks another VM for the calls that still wait.
    pub(super) fn handle_failed_ask(&mut self, address: SocketAddr, ask: &Ask, failure: Failure) {
        let member = self.state.members.find_by_address_mut(address);
        if let Some(vm) = member.map(|member| member.descriptor.vm.clone()) {
            self.mark_silent(&vm, failure);
        }
        match failure {
            Failure::Unsupported => self.state.accounts.reach.record(address),
            Failure::Silent => self.verify_reach_of_fleet(),
        }
        for entry in &ask.entries {
            let Some(cap) = self.cap_named(&entry.organisation) else {
                continue;
            };
            let part = self.part(&cap);
            let account = self.account(&entry.organisation, part);
            account.restore_report(entry.spent);
            let call = entry
                .want
                .and_then(|want| self.state.accounts.end_wait(want.number));
            if let Some(number) = call {
                self.ask_again(number, &entry.organisation, &cap);
            }
        }
    }

    fn ask_again(&mut self, number: id::Call, organisation: &id::Organisation, cap: &Cap) {
        let new = self.state.rng.random();
        let call = self.state.calls.get(&number);
        let Some(Charge::Pending(pending)) = call.map(|call| &call.charge) else {
            return;
        };
        let mut pending = pending.clone();
        pending.want.number = new;
        self.ask_for_credit(number, organisation, cap, pending);
    }

    fn mark_silent(&mut self, vm: &id::Vm, failure: Failure) {
        let was_silent = self.state.accounts.is_silent(vm, self.now);
        self.state.accounts.mark_silent(vm, failure, self.now);
        if !was_silent {
            self.log(Entry::new(Kind::GranterSilent).outcome(format!("{vm} {failure}")));
        }
    }

    /// Refuses a call that its organisation's cap does not allow. It costs no log line of its own.
    fn refuse_over_cap(&mut self, number: id::Call, return_after: Duration) {
        let Some((organisation, cap)) = self.cap_of(number) else {
            return;
        };
        let (now, part) = (self.now, self.part(&cap));
        let account = self.account(&organisation, part);
        let logged = account.count_refusal(LOG_INTERVAL, now);
        self.count(&organisation).refused += 1;
        let jitter = self.state.rng.random_range(RETURN_JITTER);
        let retry_after = return_after.scale(jitter).max(RETURN_AFTER_MIN);
        let refusal = Refusal::not_run(Reason::OverCap, retry_after);
        self.count_refusal(refusal);
        if let Some(count) = logged {
            let call = self.state.calls.get(&number);
            let mut entry = Entry::new(Kind::OverCap).organisation(&organisation);
            entry.request = call.map(|call| call.id.clone());
            self.log(entry.outcome(format!("{count} refused")).age(retry_after));
        }
        self.set_charge(number, Charge::None);
        self.record_duration(number, Ending::NotRun);
        self.emit(Effect::Refuse {
            call: number,
            refusal,
        });
        self.end_call(number);
    }

    /// The organisation of a call and its cap.
    fn cap_of(&self, number: id::Call) -> Option<(id::Organisation, Cap)> {
        let call = self.state.calls.get(&number)?;
        let organisation = call.identity.organisation()?;
        Some((organisation.name.clone(), organisation.cap?))
    }

    /// The cap of an organisation by the manifest in force.
    fn cap_named(&self, organisation: &id::Organisation) -> Option<Cap> {
        let manifest = self.state.manifest.as_ref()?;
        manifest.organisations.as_ref()?.get(organisation)?.cap
    }

    /// This VM's part of a cap. A VM that has met nobody yet takes the fleet to be as large as its list of seeds.
    fn part(&self, cap: &Cap) -> Part {
        let vms = self.state.members.peak_size.max(self.state.seeds.len());
        Part::new(cap, &self.state.settings, vms)
    }

    fn account(&mut self, organisation: &id::Organisation, part: Part) -> &mut Account {
        let (now, rng) = (self.now, &mut self.state.rng);
        let create = || Account::new(part, rng.random(), now);
        self.state.accounts.entry(organisation, create)
    }

    fn count(&mut self, organisation: &id::Organisation) -> &mut CapCounter {
        let caps = &mut self.state.counters.caps;
        if !caps.contains_key(organisation) {
            caps.insert(organisation.clone(), CapCounter::default());
        }
        caps.entry(organisation.clone()).or_default()
    }
}

/// Time in which a cost accrues.
fn refill_time(cost: u64, cap: &Cap) -> Duration {
    backlog::time(cost as f64, cap.rate)
}

//! Plain endpoints that get more requests than their runners can do. See [`crate::overload`].

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng as _;

use crate::call::Call;
use crate::decision_log::{Entry, Kind};
use crate::event::{Decline, Effect, Outcome};
use crate::id;
use crate::member::{Member, Status};
use crate::origin;
use crate::overload::{report_interval, Admission, Change, Class, Report, Sight};
use crate::placement::{self, Purpose};
use crate::pool::{self, Runner};
use crate::refusal::Reason;

use super::outcome::EndedAttempt;
use super::Reducer;

/// How long a VM that took no report is passed over as a monitor.
const SILENCE_TIME: Duration = Duration::from_secs(3);
/// Age from which the load that a runner reported does not show that it has a free slot.
const REPORT_AGE_MAX: Duration = Duration::from_millis(300);
/// Target latency assumed for an endpoint without a route.
const TARGET_DEFAULT: Duration = Duration::from_millis(300);
/// Least fraction of requests that Retry-After reckons with.
const FRACTION_MIN: f64 = 0.02;

impl Reducer<'_> {
    /// Counts a request at its plain endpoint, and refuses it if that is overloaded and other requests go first;
    /// returns whether it was refused. A delegated request was admitted where it came from.
    pub(super) fn refuse_overload(&mut self, number: id::Call) -> bool {
        let Some(call) = self.state.calls.get(&number) else {
            return false;
        };
        if !self.state.settings.overload_control
            || call.prompt.is_some()
            || call.delegated_by.is_some()
        {
            return false;
        }
        let (endpoint, class, now) = (call.endpoint.clone(), class(call), self.now);
        let observers = &mut self.state.overload.observers;
        let observer = observers.entry(endpoint).or_default();
        observer.record_arrival(class, now);
        let admission = observer.admission(now);
        let Some(fraction) = admission.map(|admission| admission.fraction(class)) else {
            return false;
        };
        // Chance alone decides among requests of a class, so none of its routes, zones and VMs is always the last.
        if self.state.rng.random::<f64>() < fraction {
            return false;
        }
        self.fail_call(number, Reason::Overloaded);
        true
    }

    /// Counts the refusal of a call because of overload.
    pub(super) fn count_overload(&mut self, number: id::Call) {
        let Some(call) = self.state.calls.get(&number) else {
            return;
        };
        let key = (call.endpoint.clone(), call.priority());
        *self.state.counters.overloaded.entry(key).or_default() += 1;
    }

    /// What is to be admitted at an endpoint, if it is overloaded.
    fn admission(&self, endpoint: &id::Endpoint) -> Option<&Admission> {
        let observer = self.state.overload.observers.get(endpoint)?;
        observer.admission(self.now)
    }

    /// Whether a call is one to an overloaded plain endpoint.
    pub(super) fn is_overloaded(&self, number: id::Call) -> bool {
        let call = self.state.calls.get(&number);
        let call = call.filter(|call| call.prompt.is_none());
        call.is_some_and(|call| self.admission(&call.endpoint).is_some())
    }

    /// Whether a call that has been at a runner may go to another one, as far as load is concerned: at an overloaded
    /// endpoint only to one that is known to have a free slot.
    pub(super) fn has_room_elsewhere(&self, number: id::Call, from: Option<&id::Runner>) -> bool {
        if !self.is_overloaded(number) {
            return true;
        }
        let Some(call) = self.state.calls.get(&number) else {
            return true;
        };
        let mut runners = self.ready_runners(&call.endpoint, Purpose::Plain);
        runners.any(|runner| {
            let name = &runner.descriptor.runner;
            Some(name) != from && !call.tried.contains(name) && self.has_free_slot(runner)
        })
    }

    fn has_free_slot(&self, runner: &Runner) -> bool {
        let is_fresh = |at: Duration| at + REPORT_AGE_MAX > self.now;
        let reported = runner.reported.filter(|(_, at)| is_fresh(*at));
        reported.is_some_and(|(reported, _)| {
            let is_free = reported.waiting == 0 && reported.running < reported.slots;
            is_free && !placement::is_cooling_down(runner, Purpose::Plain, self.now)
        })
    }

    /// Refuses a call that has been at a runner, if the others of its overloaded endpoint are not known to have a free
    /// slot; returns whether it was refused.
    pub(super) fn refuse_repeat(&mut self, number: id::Call) -> bool {
        let call = self.state.calls.get(&number);
        let is_repeat = call.is_some_and(|call| call.arrivals.has_arrived());
        if !is_repeat || self.has_room_elsewhere(number, None) {
            return false;
        }
        self.fall_back(number, Reason::Overloaded);
        true
    }

    /// When a call that is refused because of overload is to come back: after as many others of its class as were
    /// refused before it have been admitted.
    pub(super) fn overload_return_after(&mut self, number: id::Call) -> Duration {
        let Some(call) = self.state.calls.get(&number) else {
            return Duration::ZERO;
        };
        let (endpoint, class) = (call.endpoint.clone(), class(call));
        let rate = self.admission(&endpoint).map_or(0.0, |admission| {
            admission.rate * admission.fraction(class).max(FRACTION_MIN)
        });
        self.take_turn(endpoint, rate)
    }

    /// Records what the end of an attempt shows of the load of its runner.
    pub(super) fn record_sight(
        &mut self,
        ended: &EndedAttempt,
        outcome: &Outcome,
        reported: Option<pool::Report>,
    ) {
        if !self.state.settings.overload_control || ended.in_flight.is_delegated {
            return;
        }
        let call = self.state.calls.get(&ended.number);
        let Some(call) = call.filter(|call| call.prompt.is_none()) else {
            return;
        };
        let endpoint = call.endpoint.clone();
        let sight = Sight {
            reported,
            is_declined: *outcome == Outcome::Declined(Decline::Full),
            took: matches!(outcome, Outcome::Answered { .. }).then_some(ended.took),
        };
        let (target, now) = (self.target_of(&endpoint), self.now);
        let observers = &mut self.state.overload.observers;
        let observer = observers.entry(endpoint.clone()).or_default();
        observer.record_sight(&ended.runner, sight, target, now);
        self.report_load(&endpoint);
    }

    /// The least target latency of the routes to an endpoint.
    fn target_of(&self, endpoint: &id::Endpoint) -> Duration {
        let manifest = self.state.manifest.as_ref();
        let target = manifest.and_then(|manifest| manifest.target_latency(endpoint));
        target.unwrap_or(TARGET_DEFAULT)
    }

    fn report_interval(&self) -> Duration {
        report_interval(self.serving_vms())
    }

    /// Sends the monitor of an endpoint what this VM sees, if that is due.
    fn report_load(&mut self, endpoint: &id::Endpoint) {
        let (now, interval) = (self.now, self.report_interval());
        let vm = self.state.local.vm.clone();
        let observer = self.state.overload.observers.get_mut(endpoint);
        let due = observer.filter(|observer| observer.is_report_due(interval, now));
        let Some(report) = due.map(|observer| observer.report(&vm, endpoint, now)) else {
            return;
        };
        match self.monitor_of(endpoint) {
            Some(address) => {
                self.state.counters.overload_reports += 1;
                self.emit(Effect::ReportLoad { address, report });
            }
            None => {
                self.handle_load_report(report);
                let admission = self.state.overload.admission(endpoint).cloned();
                self.handle_admission(endpoint, admission);
            }
        }
    }

    /// The address of the monitor of an endpoint, by this VM's view of the fleet; none if this VM is it.
    fn monitor_of(&self, endpoint: &id::Endpoint) -> Option<SocketAddr> {
        let silent_until = &self.state.overload.silent_until;
        let is_candidate = |member: &Member| {
            let until = silent_until.get(&member.descriptor.vm);
            member.is_serving() && until.is_none_or(|until| *until <= self.now)
        };
        let key = origin::name_key(endpoint);
        let monitor = self.highest_ranked(key, is_candidate, self.state.is_ready())?;
        (monitor.vm != self.state.local.vm).then_some(monitor.peer_address)
    }

    /// Takes what another VM sees of an endpoint, as its monitor. The answer is what to admit.
    pub(super) fn handle_load_report(&mut self, report: Report) {
        if !self.state.settings.overload_control {
            return;
        }
        let endpoint = report.endpoint.clone();
        let monitors = &mut self.state.overload.monitors;
        let monitor = monitors.entry(endpoint.clone()).or_default();
        monitor.record(report, self.now);
        self.decide_admission(&endpoint);
    }

    /// Decides, as the monitor of an endpoint, what to admit.
    fn decide_admission(&mut self, endpoint: &id::Endpoint) {
        let (target, interval) = (self.target_of(endpoint), self.report_interval());
        let monitor = self.state.overload.monitors.get_mut(endpoint);
        let changed = monitor.and_then(|monitor| monitor.decide(target, interval, self.now));
        if let Some(change) = changed {
            self.log_monitored(endpoint, &change);
        }
        let (now, vms) = (self.now, self.serving_vms());
        let monitor = self.state.overload.monitors.get_mut(endpoint);
        if monitor.is_some_and(|monitor| monitor.is_tell_due(vms, now)) {
            self.tell_admission(endpoint);
        }
    }

    fn log_monitored(&mut self, endpoint: &id::Endpoint, change: &Change) {
        let entry = Entry::new(Kind::Overload).endpoint(endpoint);
        self.log(entry.outcome(change));
    }

    /// Tells all VMs what to admit: that an endpoint has become overloaded, as they may not have seen it yet, and from
    /// then on what they would learn too late from the answers to their reports.
    fn tell_admission(&mut self, endpoint: &id::Endpoint) {
        let admission = self.state.overload.admission(endpoint).cloned();
        self.handle_admission(endpoint, admission.clone());
        let serving = self.state.members.iter().filter(|it| it.is_serving());
        let addresses: Vec<SocketAddr> = serving
            .map(|member| member.descriptor.peer_address)
            .collect();
        for address in addresses {
            self.emit(Effect::TellAdmission {
                address,
                endpoint: endpoint.clone(),
                admission: admission.clone(),
            });
        }
    }

    /// Takes what a monitor says of an endpoint: what to admit, or that it is not overloaded.
    pub(super) fn handle_admission(
        &mut self,
        endpoint: &id::Endpoint,
        admission: Option<Admission>,
    ) {
        if !self.state.settings.overload_control {
            return;
        }
        let observers = &mut self.state.overload.observers;
        let observer = observers.entry(endpoint.clone()).or_default();
        let rate = admission.as_ref().map(|admission| admission.rate);
        if observer.record_admission(admission, self.now) {
            self.log_admission(
                endpoint,
                rate.map_or("ends".into(), |it| format!("{it:.0} a second")),
            );
        }
    }

    /// Takes what a monitor says without having been asked. From then on this VM reports, in its turn.
    pub(super) fn handle_told_admission(
        &mut self,
        endpoint: &id::Endpoint,
        admission: Option<Admission>,
    ) {
        let is_new = self.admission(endpoint).is_none();
        self.handle_admission(endpoint, admission);
        let (interval, now) = (self.report_interval(), self.now);
        let phase = self.state.rng.random();
        let observer = self.state.overload.observers.get_mut(endpoint);
        if let Some(observer) = observer.filter(|_| is_new) {
            observer.delay_report(interval, phase, now);
        }
    }

    fn log_admission(&mut self, endpoint: &id::Endpoint, outcome: String) {
        let entry = Entry::new(Kind::Admission).endpoint(endpoint);
        self.log(entry.outcome(outcome));
    }

    /// Passes over a monitor that did not take a report, and reports to the next one.
    pub(super) fn handle_unresponsive_monitor(
        &mut self,
        address: SocketAddr,
        endpoint: &id::Endpoint,
    ) {
        let until = self.now + SILENCE_TIME;
        let Some(member) = self.state.members.find_by_address_mut(address) else {
            return;
        };
        let vm = member.descriptor.vm.clone();
        self.state.overload.silent_until.insert(vm, until);
        self.report_load(endpoint);
    }

    /// Reports what is due, and decides as a monitor.
    pub(super) fn tick_overload(&mut self) {
        if !self.state.settings.overload_control {
            return;
        }
        let now = self.now;
        let overload = &mut self.state.overload;
        overload.silent_until.retain(|_, until| *until > now);
        if let Some(manifest) = &self.state.manifest {
            let endpoints = &manifest.endpoints;
            overload
                .observers
                .retain(|it, _| endpoints.contains_key(it));
        }
        overload.monitors.retain(|_, monitor| !monitor.is_idle());
        let endpoints: Vec<id::Endpoint> = overload.observers.keys().cloned().collect();
        let monitored: Vec<id::Endpoint> = overload.monitors.keys().cloned().collect();
        for endpoint in endpoints {
            self.expire_admission(&endpoint);
            self.report_load(&endpoint);
        }
        for endpoint in monitored {
            self.decide_admission(&endpoint);
        }
    }

    fn expire_admission(&mut self, endpoint: &id::Endpoint) {
        let now = self.now;
        let observer = self.state.overload.observers.get_mut(endpoint);
        if observer.is_some_and(|observer| observer.expire(now)) {
            self.log_admission(endpoint, "expires".into());
        }
    }

    /// Number of VMs that accept callers, this one included.
    pub(super) fn serving_vms(&self) -> usize {
        let vms = self.state.members.iter();
        let serving = vms.filter(|member| member.descriptor.status == Status::Ready);
        serving.count() + 1
    }
}

/// The class of a call.
fn class(call: &Call) -> Class {
    let organisation = call.identity.organisation();
    Class::new(
        call.priority(),
        organisation.map(|organisation| &*organisation.name),
    )
}

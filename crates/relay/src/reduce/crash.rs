//! Crashes of runners: what was lost with them, and what other VMs know. See [`crate::crash`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::crash::{
    Circumstance, Count, Crash, Feature, Loss, Record, Report, Suspect, Suspects, ABANDONED_TIME,
    CRASHES_PER_CALL_MAX,
};
use crate::decision_log::{Entry, Kind};
use crate::event::{Effect, Presence};
use crate::id;
use crate::pool::{Instance, Status};
use crate::state::{InFlight, Untold};

use super::outcome::EndedAttempt;
use super::Reducer;

/// Maximum number of suspects of a crash whose crashes are logged.
const SUSPECTS_SHOWN_MAX: usize = 8;

/// Verdicts within this time count whatever the runner has sent since: what it had sent may be received late.
const PROMPT_VERDICT_TIME: Duration = Duration::from_secs(1);
/// How long after a loss a response has to come to show that the runner lived on.
const OUTLIVED_MARGIN: Duration = Duration::from_millis(100);

/// What becomes of a call under which runners have ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Prospect {
    /// Another runner may be tried.
    Open,
    /// It is being checked whether its runners have ended.
    Unclear,
    /// Too many runners have ended under it.
    Closed,
}

impl Reducer<'_> {
    /// Records an event of an attempt. Once its response has gone on for long, its request is sound.
    pub(super) fn record_progress(&mut self, number: id::Call, attempt: id::Attempt) {
        let now = self.now;
        let Some(in_flight) = self.state.in_flight.get_mut(&attempt) else {
            return;
        };
        in_flight.begun_at.get_or_insert(now);
        let has_begun =
            in_flight.has_gone_on(now) && !std::mem::replace(&mut in_flight.has_begun, true);
        let is_sound =
            in_flight.shows_soundness(now) && !std::mem::replace(&mut in_flight.is_sound, true);
        if is_sound {
            self.clear_features(number);
        } else if has_begun {
            self.record_begun(number);
        }
    }

    /// Records a lost attempt, and checks whether its runner has ended.
    pub(super) fn record_loss(&mut self, ended: &EndedAttempt) {
        let in_flight = &ended.in_flight;
        let instance = &in_flight.instance;
        let is_sound = in_flight.shows_soundness(self.now);
        let is_serving = self.serving_address(instance).is_some();
        let verdict = match (is_sound, is_serving) {
            (true, _) => "response went on",
            (false, false) => "not listed as ready",
            (false, true) => "may have ended",
        };
        self.log(
            Entry::new(Kind::LossExamined)
                .request(&ended.id)
                .runner(&instance.runner)
                .attempt(ended.attempt)
                .outcome(verdict)
                .age(self.now.saturating_sub(in_flight.sent_at)),
        );
        if is_sound || !is_serving {
            return;
        }
        let Some(suspects) = self.find_suspects(ended.number, in_flight) else {
            return;
        };
        if let Some(call) = self.state.calls.get_mut(&ended.number) {
            call.lost_at.push(instance.clone());
        }
        self.check_after_loss(instance, suspects);
    }

    /// Records that a runner was not reached. If it was at work on something a moment ago, it is checked whether
    /// it has ended.
    pub(super) fn record_unreached(&mut self, instance: &Instance) {
        if self.state.abandoned.contains_key(instance) {
            self.check_after_loss(instance, Suspects::new());
        }
    }

    /// Records an attempt that was given up before its response had shown that its request is sound.
    pub(super) fn record_abandoned(&mut self, number: id::Call, attempt: id::Attempt) {
        let now = self.now;
        let Some(in_flight) = self.state.in_flight.get(&attempt) else {
            return;
        };
        if in_flight.shows_soundness(now) {
            return;
        }
        let Some(suspects) = self.find_suspects(number, in_flight) else {
            return;
        };
        let instance = in_flight.instance.clone();
        let abandoned = self.state.abandoned.entry(instance).or_default();
        abandoned.add(now, suspects);
    }

    /// What of a call may have crashed its runner.
    fn find_suspects(&self, number: id::Call, in_flight: &InFlight) -> Option<Suspects> {
        let call = self.state.calls.get(&number)?;
        let held = self.now.saturating_sub(in_flight.sent_at);
        let is_late = in_flight.has_gone_on(self.now);
        let circumstances = (0..).map(|position| Circumstance {
            position,
            held,
            is_late,
        });
        Some(call.features().zip(circumstances).collect())
    }

    /// Checks whether a runner has ended, with these suspects and what was given up there a moment ago.
    fn check_after_loss(&mut self, instance: &Instance, suspects: Suspects) {
        let Some(address) = self.serving_address(instance) else {
            return;
        };
        let now = self.now;
        let known = self.state.losses.remove(instance);
        let known = known.filter(|loss| loss.is_grouped(now));
        let is_checked = known.is_some();
        let mut loss = known.unwrap_or_else(|| Loss::new(now, address));
        loss.add(suspects);
        if let Some(abandoned) = self.state.abandoned.remove(instance) {
            loss.add(abandoned.into_suspects());
        }
        self.state.losses.insert(instance.clone(), loss);
        if !is_checked {
            let instance = instance.clone();
            self.emit(Effect::CheckRunner { instance, address });
        }
    }

    /// The address of a runner that is listed as serving; one that leaves may end at any time.
    fn serving_address(&self, instance: &Instance) -> Option<SocketAddr> {
        let runner = self.state.pool.find(instance)?;
        let is_serving = runner.status == Status::Ready;
        is_serving.then_some(runner.descriptor.address)
    }

    pub(super) fn handle_runner_check(&mut self, instance: &Instance, presence: Presence) {
        self.record_probe(instance, presence);
        let Some(loss) = self.state.losses.get_mut(instance) else {
            return;
        };
        let is_early = loss.is_unclear();
        loss.end_look(self.now);
        let age = self.now.saturating_sub(loss.at);
        self.log(
            Entry::new(Kind::RunnerChecked)
                .runner(&instance.runner)
                .outcome(<&str>::from(presence))
                .age(age),
        );
        if presence != Presence::Refused {
            return;
        }
        // One that is found to leave in the meantime ends as planned.
        if is_early || !self.is_leaving(instance) {
            self.conclude_crash(instance, "refused");
        } else {
            self.state.losses.remove(instance);
        }
    }

    fn is_leaving(&self, instance: &Instance) -> bool {
        let runner = self.state.pool.find(instance);
        runner.is_some_and(|runner| runner.status != Status::Ready)
    }

    /// Records that another process responded at the address of a runner.
    pub(super) fn record_displaced(&mut self, instance: &Instance) {
        self.conclude_crash(instance, "another process responds");
    }

    /// Finds the processes at which something was lost and in whose place others are listed since.
    pub(super) fn find_replaced(&mut self) {
        let losses = self.state.losses.iter();
        let replaced = losses.filter(|(instance, loss)| self.is_replaced(instance, loss));
        let replaced: Vec<Instance> = replaced.map(|(instance, _)| instance.clone()).collect();
        for instance in replaced {
            self.conclude_crash(&instance, "another process is listed");
        }
    }

    /// Whether a later process is listed under the name or at the address of one.
    fn is_replaced(&self, instance: &Instance, loss: &Loss) -> bool {
        let mut listed = self.state.pool.iter().map(|runner| &runner.descriptor);
        listed.any(|other| {
            let is_there = other.runner == instance.runner || other.address == loss.address;
            is_there && other.started_at_ms > instance.started_at_ms
        })
    }

    /// Whether a runner responded to this VM well after something was lost there: it ended later than that, if at all.
    fn has_outlived(&self, instance: &Instance, loss: &Loss) -> bool {
        let is_late = loss.at + PROMPT_VERDICT_TIME < self.now;
        is_late && self.has_responded_after(instance, loss.at + OUTLIVED_MARGIN)
    }

    /// Records that a runner has ended when something was lost there, unless it is known to have lived on.
    fn conclude_crash(&mut self, instance: &Instance, sign: &str) {
        let Some(loss) = self.state.losses.remove(instance) else {
            return;
        };
        let age = self.now.saturating_sub(loss.at);
        let entry = Entry::new(Kind::RunnerCrashed)
            .runner(&instance.runner)
            .age(age)
            .features(loss.suspects.keys().copied());
        if self.has_outlived(instance, &loss) {
            return self.log(entry.outcome(format!("{sign}, but it has responded since")));
        }
        self.state.counters.runners_crashed += 1;
        let evidence = &self.state.evidence;
        let suspects = loss.suspects.iter().map(|(feature, circumstance)| Suspect {
            feature: *feature,
            circumstance: *circumstance,
            had_begun: evidence.begun_at(*feature).is_some(),
            was_sound: evidence.sound_at(*feature).is_some(),
        });
        let crash = Crash {
            instance: instance.clone(),
            age,
            suspects: suspects.collect(),
        };
        self.merge_crash(crash);
        let counts = self.summarize_suspects(&loss.suspects);
        self.log(entry.outcome(format!("{sign}; {counts}")));
    }

    /// What is known of the suspects of a crash, as text: the crashes of each.
    fn summarize_suspects(&self, suspects: &Suspects) -> String {
        let shown = suspects.keys().take(SUSPECTS_SHOWN_MAX);
        let counts = shown.map(|feature| {
            let count = self.state.evidence.count(*feature);
            format!("{feature}: {count}")
        });
        counts.collect::<Vec<_>>().join(", ")
    }

    /// Whether a runner responded to this VM after it is said to have crashed: to a VM that is cut off from them
    /// runners seem to have ended that serve others.
    fn has_responded_since(&self, crash: &Crash) -> bool {
        let crashed_at = self.now.saturating_sub(crash.age);
        self.has_responded_after(&crash.instance, crashed_at)
    }

    fn has_responded_after(&self, instance: &Instance, time: Duration) -> bool {
        let runner = self.state.pool.find(instance);
        let heard_at = runner.and_then(|runner| runner.last_seen_at);
        heard_at.is_some_and(|at| at > time)
    }

    /// Adds a crash; returns whether anything of it is new.
    fn merge_crash(&mut self, crash: Crash) -> bool {
        let instance = crash.instance.clone();
        let is_news = self.state.evidence.merge(crash, self.now);
        if is_news {
            self.state.untold.crashes.insert(instance);
        }
        is_news
    }

    /// Takes over what another VM knows of a crash.
    fn merge_told_crash(&mut self, crash: Crash) {
        let entry = Entry::new(Kind::CrashTold)
            .runner(&crash.instance.runner)
            .age(crash.age)
            .features(crash.suspects.iter().map(|suspect| suspect.feature));
        if self.has_responded_since(&crash) {
            return self.log(entry.outcome("the runner has responded since"));
        }
        if self.merge_crash(crash) {
            self.log(entry.outcome("taken over"));
        }
    }

    /// Number of runners that have ended under a call, and of those that may have.
    fn count_crashes(&self, number: id::Call) -> (usize, usize) {
        let Some(call) = self.state.calls.get(&number) else {
            return (0, 0);
        };
        let evidence = &self.state.evidence;
        let losses = &self.state.losses;
        let lost_at = call.lost_at.iter();
        let crashed = lost_at.clone().filter(|at| evidence.has_crashed(at));
        let unclear = lost_at.filter(|at| losses.get(at).is_some_and(Loss::is_unclear));
        (crashed.count(), unclear.count())
    }

    /// Whether a runner has ended under a call, or may have.
    pub(super) fn has_crashes(&self, number: id::Call) -> bool {
        self.count_crashes(number) != (0, 0)
    }

    /// What the crashes of the runners that a call was sent to mean for it.
    pub(super) fn prospect(&self, number: id::Call) -> Prospect {
        let (crashed, unclear) = self.count_crashes(number);
        if crashed >= CRASHES_PER_CALL_MAX {
            Prospect::Closed
        } else if crashed + unclear >= CRASHES_PER_CALL_MAX {
            Prospect::Unclear
        } else {
            Prospect::Open
        }
    }

    /// Takes over what another VM knows.
    pub(super) fn handle_crash_report(&mut self, report: Report) {
        for crash in report.crashes {
            self.merge_told_crash(crash);
        }
        for record in report.features {
            self.merge_record(record);
        }
    }

    fn merge_record(&mut self, record: Record) {
        let now = self.now;
        let feature = record.feature;
        let evidence = &mut self.state.evidence;
        let begun = record.begun_age;
        let begun = begun.map(|age| (age, evidence.record_begun(feature, now.saturating_sub(age))));
        let sound = record.sound_age;
        let sound = sound.map(|age| (age, evidence.clear(feature, now.saturating_sub(age))));
        for (age, cleared) in [begun, sound].into_iter().flatten() {
            if cleared.is_zero() {
                continue;
            }
            let entry = Entry::new(Kind::SuspectCleared)
                .features([feature])
                .age(age);
            self.log(entry.outcome(format!("told by a peer, of {cleared}")));
            self.state.untold.features.insert(feature);
        }
        let Some(hold) = record.hold else {
            return;
        };
        let was_held = self.state.quarantine.holds(feature);
        if !self.state.quarantine.merge(feature, hold, now) {
            return;
        }
        self.state.untold.features.insert(feature);
        match (was_held, hold.is_active) {
            (false, true) => self.enforce_quarantine(feature, "told by a peer"),
            (true, false) => self.log_release(feature, "told by a peer"),
            _ => {}
        }
    }

    pub(super) fn tick_crashes(&mut self) {
        let now = self.now;
        if let Some(before) = now.checked_sub(ABANDONED_TIME) {
            let abandoned = &mut self.state.abandoned;
            abandoned.retain(|_, given_up| given_up.expire(before));
        }
        self.look_again();
        self.state.evidence.expire(now);
        self.quarantine_culprits();
    }

    /// Looks again at the runners at which something was lost, and forgets those that have not ended.
    fn look_again(&mut self) {
        let now = self.now;
        self.state.losses.retain(|_, loss| !loss.is_over(now));
        let losses = self.state.losses.iter_mut();
        let due = losses.filter_map(|(instance, loss)| {
            let starts = loss.start_look(now);
            starts.then(|| (instance.clone(), loss.address))
        });
        let due: Vec<(Instance, SocketAddr)> = due.collect();
        for (instance, address) in due {
            self.emit(Effect::CheckRunner { instance, address });
        }
    }

    /// What this VM has learnt of crashes, if anything, of these runners, parts and requests.
    pub(super) fn describe_news(&self, untold: &Untold) -> Option<Report> {
        let evidence = &self.state.evidence;
        let crashes = untold.crashes.iter();
        let features = untold.features.iter();
        let report = Report {
            crashes: crashes
                .filter_map(|instance| evidence.describe(instance, self.now))
                .collect(),
            features: features
                .map(|feature| self.describe_feature(*feature))
                .collect(),
        };
        (!report.is_empty()).then_some(report)
    }

    fn describe_feature(&self, feature: Feature) -> Record {
        let evidence = &self.state.evidence;
        let age = |at: Option<Duration>| at.map(|at| self.now.saturating_sub(at));
        Record {
            feature,
            begun_age: age(evidence.begun_at(feature)),
            sound_age: age(evidence.sound_at(feature)),
            hold: self.state.quarantine.describe(feature, self.now),
        }
    }

    /// All that this VM knows of crashes and of what is or was suspect, if it knows anything.
    pub(super) fn describe_crashes(&self) -> Option<Report> {
        let crashes = self.state.evidence.describe_all(self.now);
        let suspects = crashes.iter().flat_map(|crash| &crash.suspects);
        let mut features: Vec<Feature> = suspects.map(|suspect| suspect.feature).collect();
        features.extend(self.state.quarantine.features());
        features.sort_unstable();
        features.dedup();
        let records = features
            .into_iter()
            .map(|feature| self.describe_feature(feature));
        let report = Report {
            crashes,
            features: records
                .filter(|record| record.begun_age.is_some() || record.hold.is_some())
                .collect(),
        };
        (!report.is_empty()).then_some(report)
    }

    /// Records that the response to a call has gone on for a moment.
    fn record_begun(&mut self, number: id::Call) {
        let now = self.now;
        for (id, feature) in self.features_of(number) {
            let cleared = self.state.evidence.record_begun(feature, now);
            self.log_cleared(&id, feature, cleared);
            let was_sound = self.state.evidence.sound_at(feature).is_some();
            if was_sound {
                self.release(&id, feature);
            }
        }
    }

    /// Records that a call is sound, which clears what it has.
    pub(super) fn clear_features(&mut self, number: id::Call) {
        self.clear_if(number, |_| true);
    }

    /// Records that a call as a whole has crashed no runner, which says nothing of the parts of its prompt.
    pub(super) fn clear_request(&mut self, number: id::Call) {
        self.clear_if(number, Feature::is_request);
    }

    fn clear_if(&mut self, number: id::Call, is_cleared: impl Fn(Feature) -> bool) {
        let now = self.now;
        for (id, feature) in self.features_of(number) {
            if !is_cleared(feature) {
                continue;
            }
            let cleared = self.state.evidence.clear(feature, now);
            self.log_cleared(&id, feature, cleared);
            self.release(&id, feature);
        }
    }

    /// What a call has, each with the id of its request.
    fn features_of(&self, number: id::Call) -> Vec<(Arc<str>, Feature)> {
        let call = self.state.calls.get(&number).into_iter();
        call.flat_map(|call| call.features().map(|feature| (call.id.clone(), feature)))
            .collect()
    }

    fn log_cleared(&mut self, id: &Arc<str>, feature: Feature, cleared: Count) {
        if cleared.is_zero() {
            return;
        }
        let entry = Entry::new(Kind::SuspectCleared)
            .request(id)
            .features([feature]);
        self.log(entry.outcome(format!("a response went on, of {cleared}")));
        self.state.untold.features.insert(feature);
    }

    /// Ends the quarantine of what a sound request has.
    fn release(&mut self, id: &Arc<str>, feature: Feature) {
        if self.state.quarantine.release(feature) {
            self.log_release(feature, &format!("a response to {id} went on"));
            self.state.untold.features.insert(feature);
        }
    }
}

//! Crashes of runners: what was lost with them, and what other VMs know. See [`crate::crash`].

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::crash::{shared_parts, Crash, Loss, Record, Report, Suspect, CRASHES_PER_CALL_MAX};
use crate::decision_log::{Entry, Kind};
use crate::event::{Effect, Presence};
use crate::id;
use crate::pool::{Instance, Status};
use crate::state::Untold;

use super::outcome::EndedAttempt;
use super::Reducer;

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
    /// Records an event of an attempt. Once its response has gone on for a moment, its prompt is sound.
    pub(super) fn record_progress(&mut self, number: id::Call, attempt: id::Attempt) {
        let now = self.now;
        let Some(in_flight) = self.state.in_flight.get_mut(&attempt) else {
            return;
        };
        in_flight.begun_at.get_or_insert(now);
        if in_flight.has_gone_on(now) && !std::mem::replace(&mut in_flight.is_sound, true) {
            self.clear_parts(number);
        }
    }

    /// Records a lost attempt, and checks whether its runner has ended.
    pub(super) fn record_loss(&mut self, ended: &EndedAttempt) {
        if ended.in_flight.has_gone_on(self.now) {
            return;
        }
        let instance = &ended.in_flight.instance;
        let Some(address) = self.serving_address(instance) else {
            return;
        };
        let Some(call) = self.state.calls.get_mut(&ended.number) else {
            return;
        };
        call.lost_at.push(instance.clone());
        let parts = shared_parts(&call.parts).iter().copied();
        let suspects: BTreeMap<id::Part, u32> = parts.zip(0..).collect();
        if let Some(loss) = self.state.losses.get_mut(instance) {
            return loss.suspects.extend(suspects);
        }
        let at = self.now;
        let instance = instance.clone();
        self.state
            .losses
            .insert(instance.clone(), Loss { at, suspects });
        self.emit(Effect::CheckRunner { instance, address });
    }

    /// The address of a runner that is listed as serving; one that leaves may end at any time.
    fn serving_address(&self, instance: &Instance) -> Option<SocketAddr> {
        let runner = self.state.pool.find(instance)?;
        let is_serving = runner.status == Status::Ready;
        is_serving.then_some(runner.descriptor.address)
    }

    pub(super) fn handle_runner_check(&mut self, instance: &Instance, presence: Presence) {
        let Some(loss) = self.state.losses.remove(instance) else {
            return;
        };
        if presence != Presence::Refused {
            return;
        }
        let age = self.now.saturating_sub(loss.at);
        let parts = loss.suspects.keys().copied();
        self.log(
            Entry::new(Kind::RunnerCrashed)
                .runner(&instance.runner)
                .age(age)
                .parts(parts),
        );
        self.state.counters.runners_crashed += 1;
        let evidence = &self.state.evidence;
        let suspects = loss.suspects.iter().map(|(part, position)| Suspect {
            part: *part,
            position: *position,
            was_sound: evidence.sound_at(*part).is_some(),
        });
        let crash = Crash {
            instance: instance.clone(),
            age,
            suspects: suspects.collect(),
        };
        self.merge_crash(crash);
    }

    fn merge_crash(&mut self, crash: Crash) {
        let instance = crash.instance.clone();
        if self.state.evidence.merge(crash, self.now) {
            self.state.untold.crashes.insert(instance);
        }
    }

    /// What the crashes of the runners that a call was sent to mean for it.
    pub(super) fn prospect(&self, number: id::Call) -> Prospect {
        let Some(call) = self.state.calls.get(&number) else {
            return Prospect::Open;
        };
        let evidence = &self.state.evidence;
        let lost_at = call.lost_at.iter();
        let crashed = lost_at
            .clone()
            .filter(|at| evidence.has_crashed(at))
            .count();
        let unclear = lost_at
            .filter(|at| self.state.losses.contains_key(at))
            .count();
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
            self.merge_crash(crash);
        }
        for record in report.parts {
            self.merge_record(record);
        }
    }

    fn merge_record(&mut self, record: Record) {
        let now = self.now;
        let part = record.part;
        if let Some(age) = record.sound_age {
            if self.state.evidence.clear(part, now.saturating_sub(age)) {
                self.state.untold.parts.insert(part);
            }
        }
        let Some(hold) = record.hold else {
            return;
        };
        let was_held = self.state.quarantine.holds(part);
        if !self.state.quarantine.merge(part, hold, now) {
            return;
        }
        self.state.untold.parts.insert(part);
        match (was_held, hold.is_active) {
            (false, true) => self.enforce_quarantine(part, "told by a peer"),
            (true, false) => self.log_release(part, "told by a peer"),
            _ => {}
        }
    }

    pub(super) fn tick_crashes(&mut self) {
        self.state.evidence.expire(self.now);
        self.quarantine_culprits();
    }

    /// What this VM has learnt of crashes, if anything, of these runners and parts.
    pub(super) fn describe_news(&self, untold: &Untold) -> Option<Report> {
        let evidence = &self.state.evidence;
        let crashes = untold.crashes.iter();
        let parts = untold.parts.iter();
        let report = Report {
            crashes: crashes
                .filter_map(|instance| evidence.describe(instance, self.now))
                .collect(),
            parts: parts.map(|part| self.describe_part(*part)).collect(),
        };
        (!report.is_empty()).then_some(report)
    }

    fn describe_part(&self, part: id::Part) -> Record {
        let sound_at = self.state.evidence.sound_at(part);
        Record {
            part,
            sound_age: sound_at.map(|at| self.now.saturating_sub(at)),
            hold: self.state.quarantine.describe(part, self.now),
        }
    }

    /// All that this VM knows of crashes and of parts that are or were suspect, if it knows anything.
    pub(super) fn describe_crashes(&self) -> Option<Report> {
        let crashes = self.state.evidence.describe_all(self.now);
        let suspects = crashes.iter().flat_map(|crash| &crash.suspects);
        let mut parts: Vec<id::Part> = suspects.map(|suspect| suspect.part).collect();
        parts.extend(self.state.quarantine.parts());
        parts.sort_unstable();
        parts.dedup();
        let records = parts.into_iter().map(|part| self.describe_part(part));
        let report = Report {
            crashes,
            parts: records
                .filter(|record| record.sound_age.is_some() || record.hold.is_some())
                .collect(),
        };
        (!report.is_empty()).then_some(report)
    }

    /// Records that the response to a call's prompt went on, which clears its parts.
    pub(super) fn clear_parts(&mut self, number: id::Call) {
        let Some(call) = self.state.calls.get(&number) else {
            return;
        };
        let (parts, now) = (call.parts.clone(), self.now);
        for part in shared_parts(&parts) {
            let mut is_news = self.state.evidence.clear(*part, now);
            if self.state.quarantine.release(*part) {
                self.log_release(*part, "a response went on");
                is_news = true;
            }
            if is_news {
                self.state.untold.parts.insert(*part);
            }
        }
    }
}

//! Cancellation of work at engines: for disconnected callers, for attempts that were lost or timed
//! out, and for streams of dead processes. A cancel is retried until the engine has acknowledged
//! that it freed the memory, or until `Settings::retry_window` has passed.

use std::net::SocketAddr;
use std::time::Duration;

use crate::event::Effect;
use crate::id::{Attempt, Call, Runner};
use crate::state::{PendingCancel, Phase, StreamRelease};
use crate::timeline::{Draft, Kind};

use super::Reducer;

/// Time that a disconnected caller has to reconnect before its engine work is cancelled. The work
/// of a caller that supplied no id is cancelled immediately, since it can't ask for it again.
const RECONNECT_GRACE: Duration = Duration::from_millis(1_500);

impl Reducer<'_> {
    /// Cancels the engine work of a call whose caller has disconnected. Calls to plain services
    /// continue: they may have to run at most once, and their outcome is recorded in case the
    /// caller returns.
    pub(super) fn cancel_disconnected(&mut self, call: Call) {
        let Some(request) = self.state.requests.get(&call) else {
            return;
        };
        if !request.is_model() {
            return;
        }
        let phase = request.phase.clone();
        if let Some(attempt) = request.attempt() {
            self.emit(Effect::AbortAttempt { attempt });
        }
        match &phase {
            Phase::Prefill {
                attempt, runner, ..
            }
            | Phase::Decode {
                attempt, runner, ..
            } => {
                self.cancel_attempt(call, *attempt, runner);
            }
            _ => {}
        }
        self.park(call);
    }

    /// Detaches a call from its attempt and keeps the tokens generated so far.
    fn park(&mut self, call: Call) {
        self.dequeue(call);
        self.clear_stream(call);
        let Some(request) = self.state.requests.get_mut(&call) else {
            return;
        };
        request.may_have_run |= request.attempt().is_some();
        let phase = std::mem::replace(&mut request.phase, Phase::Parked);
        let (endpoint, organisation) = (request.endpoint.clone(), request.organisation.clone());
        let keep_record = request.id_from_caller || request.emitted > 0;
        let reserved: Vec<(Attempt, Vec<Runner>)> = match phase {
            Phase::Plain { attempt, runner }
            | Phase::Decode {
                attempt, runner, ..
            } => {
                vec![(attempt, vec![runner])]
            }
            Phase::Prefill {
                attempt,
                runner,
                decode_runner,
                ..
            } => vec![(attempt, vec![runner, decode_runner])],
            _ => Vec::new(),
        };
        for (attempt, runners) in reserved {
            self.state.by_attempt.remove(&attempt);
            runners
                .iter()
                .for_each(|runner| self.release_slot(&endpoint, runner));
        }
        self.deactivate(call, &organisation);
        if !keep_record {
            self.drop_record(call);
        }
        self.drain_queue(&endpoint);
    }

    /// Resumes a parked call whose caller has returned.
    pub(super) fn unpark(&mut self, call: Call) {
        let up = self.now.up;
        let Some(request) = self.state.requests.get_mut(&call) else {
            return;
        };
        request.phase = Phase::Queued;
        request.accepted_at = up;
        request.attempts = 0;
        request.failed_runners.clear();
        let organisation = request.organisation.clone();
        self.activate(call, organisation);
        self.try_dispatch(call);
    }

    /// Cancels calls whose caller did not reconnect in time.
    pub(super) fn tick_disconnected(&mut self) {
        let up = self.now.up;
        let disconnected: Vec<Call> = self
            .state
            .active_requests()
            .filter(|(_, request)| request.is_model())
            .filter(|(_, request)| {
                request
                    .disconnected_at
                    .is_some_and(|disconnected_at| up >= disconnected_at + RECONNECT_GRACE)
            })
            .map(|(call, _)| call)
            .collect();
        for call in disconnected {
            self.cancel_disconnected(call);
        }
    }

    /// Cancels an attempt at its engine.
    pub(super) fn cancel_attempt(&mut self, call: Call, attempt: Attempt, runner: &Runner) {
        let Some(request) = self.state.requests.get(&call) else {
            return;
        };
        let item = self.state.table.endpoint(&request.endpoint);
        let target = item.and_then(|item| item.runners.iter().find(|target| target.id == *runner));
        let Some(address) = target.map(|target| target.address) else {
            return;
        };
        let key = request.key;
        let name = self.engine_request_id(attempt);
        self.record_event(Draft::new(Kind::CancelSent).request(key).runner(runner));
        let release = self.take_release(call);
        self.start_cancel(address, name, release);
    }

    /// Sends a cancel to an engine and retries it until it is acknowledged or
    /// `Settings::retry_window` has passed.
    pub(super) fn start_cancel(
        &mut self,
        address: SocketAddr,
        request: String,
        release: Option<StreamRelease>,
    ) {
        let cancel = self.state.next_number();
        let pending = PendingCancel {
            address,
            request,
            release,
            started_at: self.now.up,
            retry_at: None,
        };
        self.state.pending_cancels.insert(cancel, pending);
        self.send_cancel(cancel);
    }

    fn send_cancel(&mut self, cancel: u64) {
        let Some(pending) = self.state.pending_cancels.get_mut(&cancel) else {
            return;
        };
        pending.retry_at = None;
        let (address, request) = (pending.address, pending.request.clone());
        self.state.counters.cancels += 1;
        self.emit(Effect::Cancel {
            cancel,
            address,
            request,
        });
    }

    pub(super) fn handle_cancel_result(&mut self, cancel: u64, acknowledged: bool) {
        let retry_at = self.now.up + self.state.settings.retry_interval;
        let oldest = self.now.up.saturating_sub(self.state.settings.retry_window);
        let Some(pending) = self.state.pending_cancels.get_mut(&cancel) else {
            return;
        };
        if acknowledged {
            let release = pending.release.take();
            self.state.pending_cancels.remove(&cancel);
            if let Some(release) = release {
                self.release_stream(&release);
            }
            self.record_event(Draft::new(Kind::Cancelled));
        } else if pending.started_at < oldest {
            self.state.pending_cancels.remove(&cancel);
        } else {
            pending.retry_at = Some(retry_at);
        }
    }

    pub(super) fn tick_cancels(&mut self) {
        let up = self.now.up;
        let is_due =
            |pending: &PendingCancel| pending.retry_at.is_some_and(|retry_at| retry_at <= up);
        let numbers: Vec<u64> = self
            .state
            .pending_cancels
            .iter()
            .filter(|(_, pending)| is_due(pending))
            .map(|(number, _)| *number)
            .collect();
        for number in numbers {
            self.send_cancel(number);
        }
    }
}

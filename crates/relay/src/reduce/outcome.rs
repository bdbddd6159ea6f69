//! Attempts as they end.

use std::sync::Arc;
use std::time::Duration;

use crate::call::{Exposure, Step};
use crate::event::{Decline, Effect, Ending, Kv, Outcome};
use crate::id;
use crate::judge::Sign;
use crate::note::{Kind, Note};
use crate::pool::Told;
use crate::refusal::Reason;

use super::Reducer;

/// Status from which on an answer is a failure of the runner.
const FAILURE_STATUS: u16 = 500;
/// A runner's answer at the end of the time that it was given.
const TIMEOUT_STATUS: u16 = 504;

/// Share of an engine's memory up to which it is taken to have room for one more.
const ROOMY_SHARE: f64 = 0.75;
/// How long a prefill runner whose KV cache had lapsed is left alone.
const KV_REST: Duration = Duration::from_millis(1_500);

/// An attempt that has just ended.
struct Ended {
    number: id::Call,
    attempt: id::Attempt,
    runner: id::Runner,
    id: Arc<str>,
    prefill: bool,
    took: Duration,
}

impl Reducer<'_> {
    pub(super) fn closed(&mut self, attempt: id::Attempt, outcome: Outcome, told: Option<Told>) {
        let Some(ended) = self.ended(attempt) else {
            return;
        };
        let ahead = self.unread_at(&ended.runner);
        self.release(attempt);
        self.take_told(&ended.runner, told);
        if !matches!(outcome, Outcome::Unwritten | Outcome::Lost) {
            if let Some(known) = self.state.pool.get_mut(&ended.runner) {
                known.heard_at = Some(self.now);
            }
        }
        match outcome {
            Outcome::Answered { status } => self.answered(&ended, status),
            Outcome::Prefilled { handle } => self.prefilled(&ended, handle, ahead),
            Outcome::Ended => self.stream_ended(&ended),
            failure => self.failed(&ended, &failure),
        }
    }

    fn ended(&self, attempt: id::Attempt) -> Option<Ended> {
        let number = *self.state.by_attempt.get(&attempt)?;
        let call = self.state.calls.get(&number)?;
        let (prefill, since, runner) = match &call.step {
            Step::Waiting { .. } => return None,
            Step::Prefill { since, runner, .. } => (true, *since, runner),
            Step::Run { since, runner, .. } => (false, *since, runner),
        };
        Some(Ended {
            number,
            attempt,
            runner: runner.clone(),
            id: call.id.clone(),
            prefill,
            took: self.now.saturating_sub(since),
        })
    }

    fn take_told(&mut self, runner: &id::Runner, told: Option<Told>) {
        let now = self.now;
        if let (Some(told), Some(known)) = (told, self.state.pool.get_mut(runner)) {
            known.told = Some((told, now));
        }
    }

    /// Takes a runner's whole answer, or asks another one if it is a failure and may be repeated.
    fn answered(&mut self, ended: &Ended, status: u16) {
        let failed = status >= FAILURE_STATUS;
        self.judge(
            &ended.runner,
            if failed { Sign::Failed } else { Sign::Good },
        );
        if !failed {
            self.took(ended);
        }
        let Some(call) = self.state.calls.get_mut(&ended.number) else {
            return;
        };
        call.exposure = Exposure::MayHaveRun;
        let repeat = failed && status != TIMEOUT_STATUS && call.may_run_again_after_this();
        let time = call.left(self.now) > ended.took;
        if repeat && time && !call.gone {
            self.note_failure(ended, &format!("status {status}"));
            return self.after_possible_run(ended.number, &ended.runner, Reason::RunnersFailed);
        }
        self.state.counters.answered += 1;
        self.note(
            Note::new(Kind::Answered)
                .request(&ended.id)
                .runner(&ended.runner)
                .attempt(ended.attempt)
                .outcome(status)
                .age(ended.took),
        );
        self.emit(Effect::PassAnswer { call: ended.number });
        let ending = if failed {
            Ending::Failed
        } else {
            Ending::Answered
        };
        self.measure(ended.number, ending);
        self.done(ended.number);
    }

    /// Prompt tokens that a runner has yet to read.
    fn unread_at(&self, runner: &id::Runner) -> u64 {
        let runner = self.state.pool.get(runner);
        runner.map_or(0, |runner| runner.load().unread)
    }

    fn prefilled(&mut self, ended: &Ended, handle: Arc<str>, ahead: u64) {
        self.judge(&ended.runner, Sign::Good);
        let tokens = self.prompt_tokens(ended.number);
        if let Some(known) = self.state.pool.get_mut(&ended.runner) {
            // What is still to be read came later or shares its time; half of it is a fair part.
            let behind = ahead.saturating_sub(tokens) / 2;
            known.read(tokens + behind, ended.took);
        }
        let address = self
            .state
            .pool
            .get(&ended.runner)
            .map(|known| known.card.address);
        let Some(address) = address else {
            return self.after_no_run(ended.number, &ended.runner);
        };
        let made_at = self.now;
        if let Some(call) = self.state.calls.get_mut(&ended.number) {
            call.kv = Some(Kv {
                runner: ended.runner.clone(),
                address,
                handle,
                made_at,
            });
            call.step = Step::Waiting { again_at: made_at };
        }
        self.advance(ended.number);
    }

    fn stream_ended(&mut self, ended: &Ended) {
        self.judge(&ended.runner, Sign::Good);
        self.state.counters.streams_ended += 1;
        self.note(
            Note::new(Kind::StreamEnded)
                .request(&ended.id)
                .runner(&ended.runner)
                .attempt(ended.attempt)
                .age(ended.took),
        );
        self.emit(Effect::EndStream { call: ended.number });
        self.measure(ended.number, Ending::StreamEnded);
        self.done(ended.number);
    }

    /// Ends a call whose attempt is out of the books already.
    fn done(&mut self, number: id::Call) {
        if let Some(call) = self.state.calls.get_mut(&number) {
            call.step = Step::Waiting { again_at: self.now };
            call.kv = None;
        }
        self.end_call(number);
    }

    fn failed(&mut self, ended: &Ended, outcome: &Outcome) {
        self.note_failure(ended, &format!("{outcome:?}"));
        match outcome {
            Outcome::Unwritten => {
                self.judge(&ended.runner, Sign::Broken);
                self.not_sent(ended);
            }
            Outcome::Declined(decline) => self.declined(ended, *decline),
            Outcome::Lost | Outcome::Mismatched => {
                self.judge(&ended.runner, Sign::Broken);
                if ended.prefill {
                    self.after_no_run(ended.number, &ended.runner);
                } else {
                    self.after_possible_run(ended.number, &ended.runner, Reason::RunnersFailed);
                }
            }
            Outcome::Answered { .. } | Outcome::Prefilled { .. } | Outcome::Ended => {}
        }
    }

    /// A request that did not reach a runner costs nothing of the allowance.
    fn not_sent(&mut self, ended: &Ended) {
        if let Some(call) = self.state.calls.get_mut(&ended.number) {
            if ended.prefill {
                call.prefills = call.prefills.saturating_sub(1);
            } else {
                call.sends = call.sends.saturating_sub(1);
            }
        }
        self.after_no_run(ended.number, &ended.runner);
    }

    fn declined(&mut self, ended: &Ended, decline: Decline) {
        let now = self.now;
        if decline == Decline::Full && self.blame_kv(ended) {
            return self.after_no_run(ended.number, &ended.runner);
        }
        if let Some(known) = self.state.pool.get_mut(&ended.runner) {
            match decline {
                Decline::Full => known.full_at = Some(now),
                Decline::Displaced => known.displaced = true,
            }
        }
        self.after_no_run(ended.number, &ended.runner);
    }

    /// Where a decode runner that should have room refuses a call with a KV cache, the cache is
    /// taken to have lapsed: the decode runner reads the prompt itself then, and the prefill runner
    /// is left alone for a while. Tells whether that is so.
    fn blame_kv(&mut self, ended: &Ended) -> bool {
        let Some(call) = self.state.calls.get_mut(&ended.number) else {
            return false;
        };
        let engine = self.state.manifest.as_ref().and_then(|manifest| {
            let endpoint = manifest.endpoints.get(&call.endpoint)?;
            endpoint.engine
        });
        let used = self
            .state
            .pool
            .get(&ended.runner)
            .map(|known| known.load().tokens);
        let (Some(engine), Some(used), false) = (engine, used, ended.prefill) else {
            return false;
        };
        let roomy = (used as f64) < engine.kv_tokens as f64 * ROOMY_SHARE;
        let Some(kv) = call.kv.take().filter(|_| roomy) else {
            return false;
        };
        call.kv_lost = true;
        if let Some(known) = self.state.pool.get_mut(&kv.runner) {
            known.kv_rest_until = self.now + KV_REST;
            self.note(
                Note::new(Kind::RunnerRests)
                    .runner(&kv.runner)
                    .outcome("kv caches lapse")
                    .age(KV_REST),
            );
        }
        true
    }

    fn note_failure(&mut self, ended: &Ended, outcome: &str) {
        self.note(
            Note::new(Kind::AttemptFailed)
                .request(&ended.id)
                .runner(&ended.runner)
                .attempt(ended.attempt)
                .outcome(outcome)
                .age(ended.took),
        );
    }

    fn took(&mut self, ended: &Ended) {
        if let Some(known) = self.state.pool.get_mut(&ended.runner) {
            known.judge.took(ended.took);
        }
    }
}

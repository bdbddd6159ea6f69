//! Attempts as they begin, and calls that wait for one.

use std::time::Duration;

use crate::call::Step;
use crate::event::{Ask, Dispatch, Effect};
use crate::id;
use crate::judge::Sign;
use crate::manifest::Kind as RouteKind;
use crate::note::{Kind, Note};
use crate::place::{self, Room, Want};
use crate::pool::{Load, Runner};
use crate::refusal::Reason;

use super::overdue::{reading_silence, silence};
use super::Reducer;

/// Pause of a call that waits for room before it looks again.
const WAIT_STEP: Duration = Duration::from_millis(25);
/// Most times that one request is sent, whatever the allowance.
const SENDS_MAX: u32 = 6;
/// Share of its objective that a plain call waits for room.
const WAIT_SHARE: f64 = 0.6;
/// How long a stream waits for room, in times of its objective; callers give up soon after.
const STREAM_WAIT_TIMES: f64 = 3.5;
/// Least time that an attempt needs to be worth its start.
const ATTEMPT_MIN: Duration = Duration::from_millis(20);
/// How much longer a prefill must take than reading at the decode runner for the latter to be
/// taken, since that slows the streams there.
const OWN_READING_MARGIN: f64 = 1.6;

impl Reducer<'_> {
    /// Starts the next attempt of a call, or lets it wait, or refuses it.
    pub(super) fn advance(&mut self, number: id::Call) {
        let Some(call) = self.state.calls.get(&number) else {
            return;
        };
        if call.left(self.now) < ATTEMPT_MIN {
            return self.give_final(number, Reason::TimedOut);
        }
        if call.prompt.is_none() {
            return match self.pick(number, Want::Plain) {
                Some(runner) => self.start_run(number, &runner),
                None => self.wait(number),
            };
        }
        let has_turn = call.planned.is_some();
        if !has_turn && self.room(number) != Room::Last && !self.takes_room(number) {
            return self.wait(number);
        }
        // Nothing is read before there is room for what follows.
        let Some(decode) = self.pick_decode(number) else {
            return self.wait(number);
        };
        if self.has_kv(number) || !self.start_prefill(number, &decode) {
            self.start_run(number, &decode);
        }
    }

    /// Has the prompt read at a prefill runner, unless the decode runner is done with it sooner;
    /// tells whether a prefill was started.
    pub(super) fn start_prefill(&mut self, number: id::Call, decode: &Runner) -> bool {
        let kv_lost = self
            .state
            .calls
            .get(&number)
            .is_none_or(|call| call.kv_lost);
        if kv_lost {
            return false;
        }
        let Some(runner) = self.pick(number, Want::Prefill) else {
            return false;
        };
        let tokens = self.prompt_tokens(number);
        let expected = runner.reading_time(runner.load().unread + tokens);
        let own = decode.own_reading_time(decode.load().unread + tokens);
        if place::rests(&runner, Want::Prefill, self.now)
            || expected > own.mul_f64(OWN_READING_MARGIN)
        {
            return false;
        }
        let Some(call) = self.state.calls.get(&number) else {
            return false;
        };
        let extra = call.prefills > 0;
        let endpoint = call.endpoint.clone();
        if extra && !self.take_retry(&endpoint) {
            return false;
        }
        self.state.counters.prefills += 1;
        let silence = reading_silence(expected);
        let attempt = self.begin(number, &runner, Ask::Prefill);
        let ahead = Load {
            unread: 0,
            ..self.load(number, Want::Decode)
        };
        self.charge(attempt, &decode.card.runner, ahead);
        let now = self.now;
        if let Some(call) = self.state.calls.get_mut(&number) {
            call.planned = Some(decode.card.runner.clone());
            call.prefills += 1;
            call.step = Step::Prefill {
                attempt,
                runner: runner.card.runner.clone(),
                since: now,
                give_up: now + silence,
            };
        }
        true
    }

    pub(super) fn start_run(&mut self, number: id::Call, runner: &Runner) {
        let Some(call) = self.state.calls.get(&number) else {
            return;
        };
        let endpoint = call.endpoint.clone();
        if call.sends >= SENDS_MAX {
            return self.give_final(number, Reason::Full);
        }
        if call.sends > 0 && !self.take_retry(&endpoint) {
            return self.wait(number);
        }
        let now = self.now;
        let Some(call) = self.state.calls.get_mut(&number) else {
            return;
        };
        let kv = call.kv.take().filter(|kv| kv.is_fresh(now));
        let ask = if call.prompt.is_some() {
            Ask::Generate {
                kv: kv.clone(),
                after: call.progress.last,
            }
        } else {
            Ask::Plain
        };
        call.sends += 1;
        let give_up = silence(call, runner, kv.is_none()).map(|silence| now + silence);
        let attempt = self.begin(number, runner, ask);
        if let Some(call) = self.state.calls.get_mut(&number) {
            call.step = Step::Run {
                attempt,
                runner: runner.card.runner.clone(),
                since: now,
                give_up,
            };
            // Kept until the runner has it, so that a refusal does not cost the reading.
            call.kv = kv;
        }
    }

    pub(super) fn begin(&mut self, number: id::Call, runner: &Runner, ask: Ask) -> id::Attempt {
        self.state.last_attempt += 1;
        self.state.counters.dispatched += 1;
        let attempt = self.state.last_attempt;
        let (kind, want) = match &ask {
            Ask::Plain => ("plain", Want::Plain),
            Ask::Prefill => ("prefill", Want::Prefill),
            Ask::Generate { kv: Some(_), .. } => ("generate", Want::Decode),
            Ask::Generate { kv: None, .. } => ("read_and_generate", Want::Decode),
        };
        let name = runner.card.runner.clone();
        let told_age = runner
            .told
            .map_or(Duration::ZERO, |(_, at)| self.now.saturating_sub(at));
        let mut load = self.load(number, want);
        if matches!(&ask, Ask::Generate { kv: Some(_), .. }) {
            load.unread = 0;
        }
        self.charge(attempt, &name, load);
        let Some(call) = self.state.calls.get(&number) else {
            return attempt;
        };
        let time_limit = call.left(self.now);
        let note = Note::new(Kind::Dispatched)
            .request(&call.id)
            .runner(&name)
            .attempt(attempt)
            .outcome(kind)
            .version(runner.card.revision)
            .age(told_age);
        self.note(note);
        self.state.by_attempt.insert(attempt, number);
        self.emit(Effect::Dispatch(Dispatch {
            attempt,
            call: number,
            runner: name,
            address: runner.card.address,
            ask,
            time_limit,
        }));
        attempt
    }

    pub(super) fn prompt_tokens(&self, number: id::Call) -> u64 {
        let call = self.state.calls.get(&number);
        call.and_then(|call| call.prompt)
            .map_or(0, |prompt| prompt.tokens)
    }

    /// Takes one second try from the allowance.
    pub(super) fn take_retry(&mut self, endpoint: &id::Endpoint) -> bool {
        let vms = self.state.roster.most.max(1);
        let now = self.now;
        let taken = self.budget(endpoint).take(now, vms);
        if taken {
            self.state.counters.retried += 1;
        } else {
            self.state.counters.retries_denied += 1;
        }
        taken
    }

    /// Second tries that the allowance has left.
    pub(super) fn retries_left(&mut self, endpoint: &id::Endpoint) -> u32 {
        let vms = self.state.roster.most.max(1);
        let now = self.now;
        self.budget(endpoint).left(now, vms)
    }

    pub(super) fn wait(&mut self, number: id::Call) {
        let now = self.now;
        let Some(call) = self.state.calls.get_mut(&number) else {
            return;
        };
        let longest = match call.route.kind {
            RouteKind::Streaming => call.route.objective.mul_f64(STREAM_WAIT_TIMES),
            _ => call.route.objective.mul_f64(WAIT_SHARE),
        };
        // A stream that the caller has part of waits from its last event on.
        let since = call.began.max(call.progress.last_at);
        if now.saturating_sub(since) >= longest {
            let known = self.knows_runners(number);
            let reason = if known {
                Reason::Full
            } else {
                Reason::NoRunner
            };
            return self.give_final(number, reason);
        }
        let first = matches!(call.step, Step::Waiting { again_at } if again_at == call.began);
        call.step = Step::Waiting {
            again_at: now + WAIT_STEP,
        };
        if first {
            self.state.load_changed = true;
            let id = call.id.clone();
            self.note(Note::new(Kind::Waits).request(&id));
        }
    }

    pub(super) fn knows_runners(&self, number: id::Call) -> bool {
        let call = self.state.calls.get(&number);
        call.is_some_and(|call| self.state.pool.of(&call.endpoint).next().is_some())
    }

    pub(super) fn judge(&mut self, runner: &id::Runner, sign: Sign) {
        let now = self.now;
        let Some(known) = self.state.pool.get_mut(runner) else {
            return;
        };
        let rested = known.judge.rests(now);
        known.judge.record(now, sign);
        if !rested && known.judge.rests(now) {
            let rest = known.judge.rest_until().saturating_sub(now);
            self.note(
                Note::new(Kind::RunnerRests)
                    .runner(runner)
                    .outcome(sign)
                    .age(rest),
            );
        }
    }
}

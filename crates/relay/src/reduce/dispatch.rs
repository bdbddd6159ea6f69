//! Attempts as they begin, are given up, and are followed by others; final answers of this process.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

use crate::call::{Call, Exposure, Step};
use crate::event::{Ask, Dispatch, Effect};
use crate::id;
use crate::judge::Sign;
use crate::manifest::Kind as RouteKind;
use crate::note::{Kind, Note};
use crate::place::{self, Room, Search, Want};
use crate::pool::{Load, Runner, Standing};
use crate::refusal::{Reason, Refusal};

use super::Reducer;

/// Pause of a call that waits for room before it looks again.
const WAIT_STEP: Duration = Duration::from_millis(25);
/// Most times that one request is sent, whatever the allowance.
const SENDS_MAX: u32 = 6;
/// Share of its objective that a plain call waits for room.
const WAIT_SHARE: f64 = 0.6;
/// How long a stream waits for room, in times of its objective; callers give up soon after.
const STREAM_WAIT_TIMES: f64 = 3.5;
/// Share of its objective after which a stream that has not begun can't be on time.
const ON_TIME_SHARE: f64 = 0.8;
/// Least time that an attempt needs to be worth its start.
const ATTEMPT_MIN: Duration = Duration::from_millis(20);
/// Shortest silence after which a repeatable call is taken elsewhere.
const SILENCE_MIN: Duration = Duration::from_millis(90);
/// Silence in times of the usual answer, for the same.
const SILENCE_TIMES: f64 = 3.0;
/// Silence of a runner that reads a prompt, in times of the expected, after which it is given up.
const READING_SILENCE_TIMES: f64 = 2.0;
/// What is added to that.
const READING_SILENCE_MIN: Duration = Duration::from_millis(400);
/// Silence before the first event of a stream after which its runner is given up.
const FIRST_EVENT_SILENCE: Duration = Duration::from_millis(800);
/// How long ago an engine may have been heard to count as alive.
const ALIVE: Duration = Duration::from_millis(400);
/// Share of the wanted pause between events after which a silent stream is given up.
const PAUSE_SHARE: f64 = 2.0;
/// Share of its expected answer that a request holds in memory, averaged over its run.
const OUTPUT_SHARE: f64 = 0.5;
/// How much slower a decode runner reads a prompt than a prefill runner.
const OWN_READING_TIMES: f64 = 2.0;
/// How much longer a prefill must take than reading at the decode runner for the latter to be
/// taken, since that slows the streams there.
const OWN_READING_MARGIN: f64 = 1.6;
/// Base of the advice when to come back.
const RETRY_BASE: Duration = Duration::from_millis(120);
/// How long a prefill runner keeps a KV cache, less the time to fetch it.
const KV_LIFE: Duration = Duration::from_millis(400);
/// How long before the end of its time to leave a leaving runner gets no work any more.
const DRAIN_LEAD: Duration = Duration::from_millis(700);

impl Reducer<'_> {
    pub(super) fn tick_calls(&mut self) {
        let due: Vec<id::Call> = self
            .state
            .calls
            .iter()
            .filter(|(_, call)| is_due(call, self.now))
            .map(|(number, _)| *number)
            .collect();
        for number in due {
            self.call_due(number);
        }
    }

    fn call_due(&mut self, number: id::Call) {
        let Some(call) = self.state.calls.get(&number) else {
            return;
        };
        if call.until <= self.now {
            return self.give_final(number, Reason::TimedOut);
        }
        if call.step.attempt().is_none() {
            return self.advance(number);
        }
        self.give_up_attempt(number);
    }

    /// Gives up a silent attempt and goes on elsewhere where that is allowed.
    fn give_up_attempt(&mut self, number: id::Call) {
        let Some(call) = self.state.calls.get(&number) else {
            return;
        };
        let Some((attempt, runner)) = call.step.attempt() else {
            return;
        };
        let runner = runner.clone();
        if call.prompt.is_some() && self.is_alive(&runner) {
            return self.be_patient(number);
        }
        let prefill = matches!(call.step, Step::Prefill { .. });
        let id = call.id.clone();
        self.note(
            Note::new(Kind::GivenUp)
                .request(&id)
                .runner(&runner)
                .attempt(attempt)
                .outcome("silent"),
        );
        self.abandon(number);
        self.judge(&runner, Sign::Silent);
        if prefill {
            self.after_no_run(number, &runner);
        } else {
            self.after_possible_run(number, &runner, Reason::RunnersFailed);
        }
    }

    /// Tells whether an engine was heard a short while ago: then it is busy, not dark.
    fn is_alive(&self, runner: &id::Runner) -> bool {
        let heard_at = self.state.pool.get(runner).and_then(|known| known.heard_at);
        heard_at.is_some_and(|at| at + ALIVE > self.now)
    }

    /// Leaves an attempt more time.
    fn be_patient(&mut self, number: id::Call) {
        let later = self.now + ALIVE;
        let Some(call) = self.state.calls.get_mut(&number) else {
            return;
        };
        match &mut call.step {
            Step::Waiting { .. } => {}
            Step::Prefill { give_up, .. } => *give_up = later,
            Step::Run { give_up, .. } => *give_up = Some(later),
        }
    }

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
        if self.room(number) != Room::Last && !self.takes_room(number) {
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

    /// Picks a decode runner: the one with room set aside, or else one that has room.
    fn pick_decode(&mut self, number: id::Call) -> Option<Runner> {
        let planned = self.state.calls.get_mut(&number)?.planned.take();
        let planned = planned.and_then(|runner| self.state.pool.get(&runner));
        let usable = |runner: &&Runner| {
            runner.standing == Standing::Ready && !place::rests(runner, Want::Decode, self.now)
        };
        if let Some(runner) = planned.filter(usable) {
            return Some(runner.clone());
        }
        self.pick(number, Want::Decode)
    }

    /// How much room a call is given: what was read already is not thrown away for a little of it,
    /// and a call that can't be on time leaves room for those that can.
    pub(super) fn room(&self, number: id::Call) -> Room {
        let Some(call) = self.state.calls.get(&number) else {
            return Room::Needed;
        };
        let lasted = self.now.saturating_sub(call.began);
        if self.has_kv(number) {
            Room::Last
        } else if call.progress.head_passed {
            Room::Needed
        } else if lasted > call.route.objective.mul_f64(ON_TIME_SHARE) {
            Room::Spare
        } else {
            Room::Needed
        }
    }

    fn has_kv(&self, number: id::Call) -> bool {
        let kv = self
            .state
            .calls
            .get(&number)
            .and_then(|call| call.kv.as_ref());
        kv.is_some_and(|kv| kv.made_at + KV_LIFE > self.now)
    }

    /// Work that a call puts on the runner that it is sent to next.
    fn load(&self, number: id::Call, want: Want) -> Load {
        let one = Load {
            requests: 1,
            ..Load::default()
        };
        let prompt = self.state.calls.get(&number).and_then(|call| call.prompt);
        let Some(prompt) = prompt else {
            return one;
        };
        match want {
            Want::Plain => one,
            Want::Prefill => Load {
                tokens: prompt.tokens,
                unread: prompt.tokens,
                ..one
            },
            Want::Decode => Load {
                tokens: prompt.tokens + (prompt.output as f64 * OUTPUT_SHARE) as u64,
                unread: if self.has_kv(number) {
                    0
                } else {
                    prompt.tokens
                },
                ..one
            },
        }
    }

    /// What a call asks of a runner.
    pub(super) fn search(&self, number: id::Call, want: Want) -> Option<Search<'_>> {
        let call = self.state.calls.get(&number)?;
        let manifest = self.state.manifest.as_ref()?;
        let endpoint = manifest.endpoints.get(&call.endpoint);
        let settings = &self.state.settings;
        Some(Search {
            endpoint: &call.endpoint,
            want,
            zone: &settings.zone,
            tried: &call.tried,
            drain: settings.drain_timeout.saturating_sub(DRAIN_LEAD),
            load: self.load(number, want),
            room: self.room(number),
            engine: endpoint.and_then(|endpoint| endpoint.engine),
        })
    }

    fn pick(&mut self, number: id::Call, want: Want) -> Option<Runner> {
        // A generator of its own, since the search borrows the state.
        let mut rng = SmallRng::from_rng(&mut self.state.rng);
        let search = self.search(number, want)?;
        place::pick(&self.state.pool, &search, self.now, &mut rng).cloned()
    }

    /// Has the prompt read at a prefill runner, unless the decode runner is done with it sooner;
    /// tells whether a prefill was started.
    fn start_prefill(&mut self, number: id::Call, decode: &Runner) -> bool {
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
        let own = decode
            .reading_time(decode.load().unread + tokens)
            .mul_f64(OWN_READING_TIMES);
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

    fn start_run(&mut self, number: id::Call, runner: &Runner) {
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
        let kv = call.kv.take().filter(|kv| kv.made_at + KV_LIFE > now);
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

    fn begin(&mut self, number: id::Call, runner: &Runner, ask: Ask) -> id::Attempt {
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

    fn wait(&mut self, number: id::Call) {
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

    fn knows_runners(&self, number: id::Call) -> bool {
        let call = self.state.calls.get(&number);
        call.is_some_and(|call| self.state.pool.of(&call.endpoint).next().is_some())
    }

    /// Goes on after an attempt of which nothing ran.
    pub(super) fn after_no_run(&mut self, number: id::Call, runner: &id::Runner) {
        if let Some(call) = self.state.calls.get_mut(&number) {
            call.tried.push(runner.clone());
            call.step = Step::Waiting { again_at: self.now };
            if call.gone {
                return self.end_call(number);
            }
        }
        self.advance(number);
    }

    /// Goes on after an attempt that may have run, where the route allows that.
    pub(super) fn after_possible_run(
        &mut self,
        number: id::Call,
        runner: &id::Runner,
        reason: Reason,
    ) {
        let now = self.now;
        let Some(call) = self.state.calls.get_mut(&number) else {
            return;
        };
        call.exposure = Exposure::MayHaveRun;
        call.runs += 1;
        call.kv = None;
        call.tried.push(runner.clone());
        call.step = Step::Waiting { again_at: now };
        if call.gone {
            return self.end_call(number);
        }
        if !call.may_run_again() {
            return self.give_final(number, reason);
        }
        if call.progress.head_passed {
            self.state.counters.resumed += 1;
        }
        self.advance(number);
    }

    /// Gives a call its final answer from this process.
    pub(super) fn give_final(&mut self, number: id::Call, reason: Reason) {
        let in_progress = self
            .state
            .calls
            .get(&number)
            .is_some_and(|call| matches!(call.step, Step::Run { .. }));
        self.abandon(number);
        let jitter = self.state.rng.random_range(0.8..1.4);
        let Some(call) = self.state.calls.get_mut(&number) else {
            return;
        };
        if in_progress {
            call.exposure = Exposure::MayHaveRun;
        }
        let id = call.id.clone();
        let lasted = self.now.saturating_sub(call.began);
        if call.progress.head_passed {
            self.state.counters.streams_cut += 1;
            self.note(
                Note::new(Kind::StreamCut)
                    .request(&id)
                    .outcome(reason)
                    .age(lasted),
            );
            self.emit(Effect::BreakStream { call: number });
        } else {
            let refusal = Refusal::of_call(call.exposure, reason, RETRY_BASE.mul_f64(jitter));
            self.count_refusal(refusal);
            let outcome = format!("{} {}", refusal.claim, refusal.reason);
            self.note(
                Note::new(Kind::Refused)
                    .request(&id)
                    .outcome(outcome)
                    .age(lasted),
            );
            self.emit(Effect::Refuse {
                call: number,
                refusal,
            });
        }
        self.end_call(number);
    }

    /// Ends the attempt under way, if there is one.
    pub(super) fn abandon(&mut self, number: id::Call) {
        let Some(call) = self.state.calls.get(&number) else {
            return;
        };
        let Some((attempt, _)) = call.step.attempt() else {
            return;
        };
        self.release(attempt);
        self.emit(Effect::Abandon { attempt });
    }

    /// Takes an attempt out of the books.
    pub(super) fn release(&mut self, attempt: id::Attempt) {
        self.state.by_attempt.remove(&attempt);
        self.discharge(attempt);
    }

    /// Drops a call and all that is kept for it.
    pub(super) fn end_call(&mut self, number: id::Call) {
        self.abandon(number);
        let Some(call) = self.state.calls.remove(&number) else {
            return;
        };
        if let Some(kv) = call.kv {
            self.emit(Effect::FreeKv { kv });
        }
        self.emit(Effect::Forget { call: number });
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

fn is_due(call: &Call, now: Duration) -> bool {
    let step = match &call.step {
        Step::Waiting { again_at } => *again_at <= now,
        Step::Prefill { give_up, .. } => *give_up <= now,
        Step::Run { give_up, .. } => give_up.is_some_and(|at| at <= now),
    };
    step || call.until <= now
}

/// Silence after which an attempt is taken elsewhere, if it may be. `reads` tells whether the
/// runner reads the prompt itself.
fn silence(call: &Call, runner: &Runner, reads: bool) -> Option<Duration> {
    if !call.may_run_again_after_this() {
        return None;
    }
    if let Some(prompt) = call.prompt {
        let unread = if reads { prompt.tokens } else { 0 };
        let reading = runner
            .reading_time(runner.load().unread + unread)
            .mul_f64(OWN_READING_TIMES);
        return Some(FIRST_EVENT_SILENCE + reading_silence(reading));
    }
    let usual = runner.judge.latency().unwrap_or(call.route.objective / 4);
    Some(usual.mul_f64(SILENCE_TIMES).max(SILENCE_MIN))
}

/// Silence of a runner that is expected to read for so long after which it is given up.
fn reading_silence(expected: Duration) -> Duration {
    expected.mul_f64(READING_SILENCE_TIMES) + READING_SILENCE_MIN
}

/// Silence between two events after which a stream is taken elsewhere.
pub(super) fn pause(call: &Call) -> Duration {
    call.route.pause.mul_f64(PAUSE_SHARE)
}

//! A circuit breaker for each runner, with its failure rate and latency as observed in live
//! traffic.

use crate::duration;
use std::time::Duration;

/// How long the breaker stays open after the first broken exchange; doubles with each further one.
const COOLDOWN_FIRST: Duration = Duration::from_millis(150);
/// Longest time for which the breaker stays open.
const COOLDOWN_MAX: Duration = Duration::from_secs(2);
/// Weight of one outcome in the moving average of failures.
const FAILURE_WEIGHT: f64 = 0.2;
/// Half-life of the failure rate of a runner that receives no requests.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(3);
/// Weight of one response in the moving average of latencies.
const LATENCY_WEIGHT: f64 = 0.15;

/// How an exchange with a runner ended, as evidence for or against the runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Observation {
    /// The response was not a failure.
    Good,
    /// The response reported a failure of the runner itself.
    Failed,
    /// The connection failed or broke, or the bytes received were no valid response.
    Broken,
    /// Nothing was received before the timeout.
    Silent,
}

/// Circuit breaker and traffic statistics of one runner.
#[derive(Debug, Clone, Default)]
pub struct Breaker {
    /// Broken exchanges and timeouts since the last response; a timeout counts as two.
    consecutive_failures: u32,
    /// Whether one of them was a timeout. Further failures, such as that to connect, belong to the same
    /// silence.
    is_silent: bool,
    /// When a connection last failed or broke, if there was no response since.
    failed_at: Option<Duration>,
    open_until: Duration,
    failure_rate: f64,
    failure_rate_at: Duration,
    latency: Option<f64>,
}

impl Breaker {
    /// Records the outcome of an exchange. Any response closes the breaker; a broken connection
    /// opens it, and a timeout opens it for longer.
    pub fn record(&mut self, now: Duration, observation: Observation) {
        let failed = f64::from(u8::from(observation != Observation::Good));
        let failure_rate = self.failure_rate(now);
        self.failure_rate = failure_rate + FAILURE_WEIGHT * (failed - failure_rate);
        self.failure_rate_at = now;
        match observation {
            Observation::Good | Observation::Failed => self.close(),
            Observation::Broken => {
                self.failed_at = Some(now);
                self.cool_down(now, 1);
            }
            Observation::Silent => {
                self.is_silent = true;
                self.cool_down(now, 2);
            }
        }
    }

    /// Closes a breaker that a timeout has opened, since the runner sends again.
    pub fn end_silence(&mut self) {
        if self.is_silent {
            self.close();
        }
    }

    /// Closes a breaker that failed connections have opened, since there is a connection again.
    pub fn end_failures(&mut self) {
        if self.failed_at.is_some() {
            self.close();
        }
    }

    fn close(&mut self) {
        self.is_silent = false;
        self.failed_at = None;
        self.consecutive_failures = 0;
        self.open_until = Duration::ZERO;
    }

    fn cool_down(&mut self, now: Duration, step: u32) {
        self.consecutive_failures += step;
        let doubled = COOLDOWN_FIRST * (1 << (self.consecutive_failures - 1).min(8));
        self.open_until = now + doubled.min(COOLDOWN_MAX);
    }

    /// Records the latency of a response.
    pub fn record_latency(&mut self, latency: Duration) {
        let latency = latency.as_secs_f64();
        let old = self.latency.unwrap_or(latency);
        self.latency = Some(old + LATENCY_WEIGHT * (latency - old));
    }

    /// Whether the runner should get no requests for now.
    pub fn is_open(&self, now: Duration) -> bool {
        self.open_until > now
    }

    /// When a connection last failed or broke, if there was no response since.
    pub fn failed_at(&self) -> Option<Duration> {
        self.failed_at
    }

    /// Whether nothing was received in time, and nothing since.
    pub fn is_silent(&self) -> bool {
        self.is_silent
    }

    /// Time at which the breaker closes again; in the past if it is closed.
    pub fn open_until(&self) -> Duration {
        self.open_until
    }

    /// Fraction of recent exchanges that failed, from 0 to 1, decayed to `now`.
    pub fn failure_rate(&self, now: Duration) -> f64 {
        let idle = now.saturating_sub(self.failure_rate_at).as_secs_f64();
        self.failure_rate * 0.5_f64.powf(idle / FAILURE_HALF_LIFE.as_secs_f64())
    }

    /// Moving average of the response latency, if any response was received.
    pub fn latency(&self) -> Option<Duration> {
        self.latency.map(duration::from_seconds)
    }
}

//! What real traffic shows of a runner: whether it answers, how often it fails, how long it takes.

use std::time::Duration;

/// Rest after the first failure in a row.
const COOLDOWN_FIRST: Duration = Duration::from_millis(150);
/// Longest rest.
const COOLDOWN_MAX: Duration = Duration::from_secs(2);
/// Weight of one outcome in the share of failures.
const FAILURE_WEIGHT: f64 = 0.2;
/// Time in which the share of failures of a runner that gets no work halves.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(3);
/// Weight of one answer in the usual time of answers.
const LATENCY_WEIGHT: f64 = 0.15;

/// How an exchange with a runner ended, as far as it speaks for or against the runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Observation {
    /// It answered well.
    Good,
    /// It answered with a failure of its own.
    Failed,
    /// It broke off, could not be reached, or sent bytes that are no answer.
    Broken,
    /// Nothing came for too long.
    Silent,
}

/// The record of one runner.
#[derive(Debug, Clone, Default)]
pub struct Breaker {
    consecutive_failures: u32,
    open_until: Duration,
    failure_rate: f64,
    failure_rate_at: Duration,
    latency: Option<f64>,
}

impl Breaker {
    /// Adds how an exchange ended.
    pub fn record(&mut self, now: Duration, observation: Observation) {
        let failed = f64::from(u8::from(observation != Observation::Good));
        let failure_rate = self.failure_rate(now);
        self.failure_rate = failure_rate + FAILURE_WEIGHT * (failed - failure_rate);
        self.failure_rate_at = now;
        match observation {
            Observation::Good | Observation::Failed => {
                self.consecutive_failures = 0;
                self.open_until = Duration::ZERO;
            }
            Observation::Broken => self.cool_down(now, 1),
            Observation::Silent => self.cool_down(now, 2),
        }
    }

    fn cool_down(&mut self, now: Duration, step: u32) {
        self.consecutive_failures += step;
        let doubled = COOLDOWN_FIRST * (1 << (self.consecutive_failures - 1).min(8));
        self.open_until = now + doubled.min(COOLDOWN_MAX);
    }

    /// Adds the time of an answer.
    pub fn record_latency(&mut self, latency: Duration) {
        let latency = latency.as_secs_f64();
        let old = self.latency.unwrap_or(latency);
        self.latency = Some(old + LATENCY_WEIGHT * (latency - old));
    }

    /// Tells whether the runner should be left alone for now.
    pub fn is_open(&self, now: Duration) -> bool {
        self.open_until > now
    }

    /// Until when the runner should be left alone.
    pub fn open_until(&self) -> Duration {
        self.open_until
    }

    /// Share of exchanges that failed lately.
    pub fn failure_rate(&self, now: Duration) -> f64 {
        let idle = now.saturating_sub(self.failure_rate_at).as_secs_f64();
        self.failure_rate * 0.5_f64.powf(idle / FAILURE_HALF_LIFE.as_secs_f64())
    }

    /// Usual time of an answer, if any has come.
    pub fn latency(&self) -> Option<Duration> {
        self.latency.map(Duration::from_secs_f64)
    }
}

//! What real traffic shows of a runner: whether it answers, how often it fails, how long it takes.

use std::time::Duration;

/// Rest after the first failure in a row.
const REST_FIRST: Duration = Duration::from_millis(150);
/// Longest rest.
const REST_MAX: Duration = Duration::from_secs(2);
/// Weight of one outcome in the share of failures.
const SHARE_WEIGHT: f64 = 0.2;
/// Time in which the share of failures of a runner that gets no work halves.
const SHARE_HALF_LIFE: Duration = Duration::from_secs(3);
/// Weight of one answer in the usual time of answers.
const LATENCY_WEIGHT: f64 = 0.15;

/// How an exchange with a runner ended, as far as it speaks for or against the runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Sign {
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
pub struct Judge {
    broken_in_row: u32,
    rest_until: Duration,
    share: f64,
    share_at: Duration,
    latency: Option<f64>,
}

impl Judge {
    /// Adds how an exchange ended.
    pub fn record(&mut self, now: Duration, sign: Sign) {
        let failed = f64::from(u8::from(sign != Sign::Good));
        let share = self.share(now);
        self.share = share + SHARE_WEIGHT * (failed - share);
        self.share_at = now;
        match sign {
            Sign::Good | Sign::Failed => {
                self.broken_in_row = 0;
                self.rest_until = Duration::ZERO;
            }
            Sign::Broken => self.rest(now, 1),
            Sign::Silent => self.rest(now, 2),
        }
    }

    fn rest(&mut self, now: Duration, step: u32) {
        self.broken_in_row += step;
        let doubled = REST_FIRST * (1 << (self.broken_in_row - 1).min(8));
        self.rest_until = now + doubled.min(REST_MAX);
    }

    /// Adds the time of an answer.
    pub fn took(&mut self, latency: Duration) {
        let latency = latency.as_secs_f64();
        let old = self.latency.unwrap_or(latency);
        self.latency = Some(old + LATENCY_WEIGHT * (latency - old));
    }

    /// Tells whether the runner should be left alone for now.
    pub fn rests(&self, now: Duration) -> bool {
        self.rest_until > now
    }

    /// Until when the runner should be left alone.
    pub fn rest_until(&self) -> Duration {
        self.rest_until
    }

    /// Share of exchanges that failed lately.
    pub fn share(&self, now: Duration) -> f64 {
        let quiet = now.saturating_sub(self.share_at).as_secs_f64();
        self.share * 0.5_f64.powf(quiet / SHARE_HALF_LIFE.as_secs_f64())
    }

    /// Usual time of an answer, if any has come.
    pub fn latency(&self) -> Option<Duration> {
        self.latency.map(Duration::from_secs_f64)
    }
}

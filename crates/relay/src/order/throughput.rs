//! The rate at which capacity becomes free.

use std::collections::VecDeque;
use std::time::Duration;

use super::Work;

/// Time over which work is counted: longer than a usual stream, since streams that began together end together.
const WINDOW: Duration = Duration::from_secs(3);
/// For how long calls have to be left without capacity before the rate is used.
const PRESSED_MIN: Duration = Duration::from_millis(400);

/// For how long work has to be counted: an allocator that has just started finds all engines full, and the streams there
/// take a moment to end.
const COUNTED_MIN: Duration = Duration::from_secs(1);

/// Work for which capacity was found.
#[derive(Debug, Clone, Default)]
pub struct Throughput {
    /// Since when calls have been left without capacity, without a break.
    pressed_since: Option<Duration>,
    /// Since when work is counted, without a break of the window.
    counted_since: Duration,
    placed: VecDeque<(Duration, Work)>,
}

impl Throughput {
    /// Whether calls have been left without capacity.
    pub fn is_pressed(&self) -> bool {
        self.pressed_since.is_some()
    }

    /// Records that capacity was found for a call.
    pub fn record(&mut self, work: Work, now: Duration) {
        if self.placed.is_empty() {
            self.counted_since = now;
        }
        self.placed.push_back((now, work));
    }

    /// Records whether calls are left without capacity.
    pub fn observe(&mut self, is_left: bool, now: Duration) {
        if is_left {
            self.pressed_since.get_or_insert(now);
        } else {
            self.pressed_since = None;
        }
        while self
            .placed
            .front()
            .is_some_and(|(at, _)| *at + WINDOW < now)
        {
            self.placed.pop_front();
        }
    }

    /// Work a second, while calls are left without capacity; none if it is not known yet. Before calls were left,
    /// capacity was found for all that came, so the rate is then what was asked for.
    ///
    /// If no capacity has become free for as long as work is counted, it is that of one call with the least work.
    pub fn rate(&self, least: Work, now: Duration) -> Option<f64> {
        let pressed = now.saturating_sub(self.pressed_since?);
        let placed: Work = self.placed.iter().map(|(_, work)| work).sum();
        if placed == 0 {
            return (pressed >= WINDOW).then(|| least.max(1) as f64 / WINDOW.as_secs_f64());
        }
        let counted = now.saturating_sub(self.counted_since);
        let is_known = pressed >= PRESSED_MIN && counted >= COUNTED_MIN;
        is_known.then(|| placed.max(1) as f64 / counted.min(WINDOW).as_secs_f64())
    }
}

//! A bound on silence that costs one timer per bound and not one per message.

use std::future::{poll_fn, Future};
use std::pin::{pin, Pin};
use std::task::Poll;
use std::time::{Duration, Instant};

use monoio::time::Sleep;

/// Watches for silence over a whole exchange.
///
/// The timer is set once and looked at when it fires: if something came since, it is set again for
/// the rest.
#[derive(Debug)]
pub struct Silence {
    max: Duration,
    last: Instant,
    timer: Pin<Box<Sleep>>,
}

/// Nothing came for the whole bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooLong(pub Duration);

impl Silence {
    /// Begins to watch.
    pub fn open(max: Duration) -> Self {
        Self {
            max,
            last: Instant::now(),
            timer: Box::pin(monoio::time::sleep(max)),
        }
    }

    /// The bound.
    pub fn max(&self) -> Duration {
        self.max
    }

    /// Changes the bound.
    pub fn set_max(&mut self, max: Duration) {
        if max != self.max {
            *self = Self::open(max);
        }
    }

    /// Waits for a future within the bound.
    ///
    /// # Errors
    ///
    /// [`TooLong`] where the bound passes without the future being ready.
    pub async fn bound<F: Future>(&mut self, future: F) -> Result<F::Output, TooLong> {
        let mut future = pin!(future);
        self.last = Instant::now();
        poll_fn(|cx| {
            if let Poll::Ready(output) = future.as_mut().poll(cx) {
                return Poll::Ready(Ok(output));
            }
            while self.timer.as_mut().poll(cx).is_ready() {
                let quiet = self.last.elapsed();
                if quiet >= self.max {
                    return Poll::Ready(Err(TooLong(self.max)));
                }
                self.timer
                    .as_mut()
                    .reset((Instant::now() + (self.max - quiet)).into());
            }
            Poll::Pending
        })
        .await
    }
}

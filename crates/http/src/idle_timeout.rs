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
pub struct Timer {
    timeout: Duration,
    last: Instant,
    timer: Pin<Box<Sleep>>,
}

/// Nothing came for the whole bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Elapsed(pub Duration);

impl Timer {
    /// Begins to watch.
    pub fn new(timeout: Duration) -> Self {
        Self {
            timeout,
            last: Instant::now(),
            timer: Box::pin(monoio::time::sleep(timeout)),
        }
    }

    /// The bound.
    pub fn timeout(&self) -> Duration {
        self.timeout
    }

    /// Changes the bound.
    pub fn set_timeout(&mut self, timeout: Duration) {
        if timeout != self.timeout {
            *self = Self::new(timeout);
        }
    }

    /// Waits for a future within the bound.
    ///
    /// # Errors
    ///
    /// [`Elapsed`] where the bound passes without the future being ready.
    pub async fn wait<F: Future>(&mut self, future: F) -> Result<F::Output, Elapsed> {
        let mut future = pin!(future);
        self.last = Instant::now();
        poll_fn(|cx| {
            if let Poll::Ready(output) = future.as_mut().poll(cx) {
                return Poll::Ready(Ok(output));
            }
            while self.timer.as_mut().poll(cx).is_ready() {
                let quiet = self.last.elapsed();
                if quiet >= self.timeout {
                    return Poll::Ready(Err(Elapsed(self.timeout)));
                }
                self.timer
                    .as_mut()
                    .reset((Instant::now() + (self.timeout - quiet)).into());
            }
            Poll::Pending
        })
        .await
    }
}

//! An idle timeout that registers one runtime timer per period instead of one per message.

use std::future::{poll_fn, Future};
use std::pin::{pin, Pin};
use std::task::Poll;
use std::time::{Duration, Instant};

use monoio::time::Sleep;

/// An idle timeout over a complete exchange.
///
/// The runtime timer is reset only when it fires: if there was activity in the meantime, it is
/// reset to the time that remains.
#[derive(Debug)]
pub struct Timer {
    timeout: Duration,
    last_activity: Instant,
    sleep: Pin<Box<Sleep>>,
}

/// The future did not become ready within the timeout, which is given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Elapsed(pub Duration);

impl Timer {
    /// Starts the timer.
    pub fn new(timeout: Duration) -> Self {
        Self {
            timeout,
            last_activity: Instant::now(),
            sleep: Box::pin(monoio::time::sleep(timeout)),
        }
    }

    /// The idle timeout.
    pub fn timeout(&self) -> Duration {
        self.timeout
    }

    /// Changes the timeout; a different value restarts the timer.
    pub fn set_timeout(&mut self, timeout: Duration) {
        if timeout != self.timeout {
            *self = Self::new(timeout);
        }
    }

    /// Waits for a future and counts the start of the wait as activity.
    ///
    /// # Errors
    ///
    /// [`Elapsed`] if the future is not ready within the timeout.
    pub async fn wait<F: Future>(&mut self, future: F) -> Result<F::Output, Elapsed> {
        let mut future = pin!(future);
        self.last_activity = Instant::now();
        poll_fn(|cx| {
            if let Poll::Ready(output) = future.as_mut().poll(cx) {
                return Poll::Ready(Ok(output));
            }
            while self.sleep.as_mut().poll(cx).is_ready() {
                let idle = self.last_activity.elapsed();
                if idle >= self.timeout {
                    return Poll::Ready(Err(Elapsed(self.timeout)));
                }
                self.sleep
                    .as_mut()
                    .reset((Instant::now() + (self.timeout - idle)).into());
            }
            Poll::Pending
        })
        .await
    }
}

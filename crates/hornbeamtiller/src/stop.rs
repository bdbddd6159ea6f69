//! The end of the process: the signals that ask for it, how long clients are waited for, and what the log says of it.

use std::ffi::c_int;
use std::io;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use hornbeamtiller_http::server::{Closing, Unreceived, STOP_LOG_TARGET};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::low_level;

/// Exit code after a second SIGINT.
pub const EXIT_INTERRUPTED: u8 = 1;
/// Least time after all work has ended, in which the last messages to peers are written.
const FLUSH_DELAY: Duration = Duration::from_millis(300);
/// Interval at which signals are checked.
pub const SIGNAL_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which it is checked whether clients have received their responses.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Responses that are named in the log, those first whose requests are oldest.
const UNRECEIVED_LINES_MAX: usize = 256;

/// Why the process ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Ending {
    /// All clients have received their responses.
    AllReceived,
    /// Clients have not received all responses, and no time is left.
    GracePeriodOver,
    /// A second signal, SIGINT, asked for the end.
    Interrupted,
}

/// The signals that ask the process to end. The first one starts a graceful leave. A supervisor may send SIGTERM again
/// while responses are being completed, which changes nothing; SIGINT after another signal ends the process.
#[derive(Debug)]
pub struct Signals(Arc<Received>);

#[derive(Debug)]
struct Received {
    is_stop_requested: AtomicBool,
    is_interrupted: AtomicBool,
    /// Signals that came, and how many of them are in the log.
    count: AtomicU32,
    logged: AtomicU32,
    blocked_at: Instant,
    /// When the first one was handled, in microseconds after `blocked_at`.
    first_after_us: AtomicU64,
}

/// SIGTERM and SIGINT wait from [`Blocked::block`] on, and are then handled by one thread. Threads that are started in
/// between never handle them: a signal that came while the process did not run goes to any thread that may, and until that one
/// has a core the others would not know of it.
#[derive(Debug)]
pub struct Blocked {
    since: Instant,
}

impl Blocked {
    /// Lets the signals wait, in this thread and those that it starts.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    pub fn block() -> io::Result<Self> {
        let since = Instant::now();
        set_mask(libc::SIG_BLOCK)?;
        Ok(Self { since })
    }

    /// Handles the signals from now on, in this thread.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    pub fn handle(self) -> io::Result<Signals> {
        let signals = Signals::install(self.since)?;
        set_mask(libc::SIG_UNBLOCK)?;
        Ok(signals)
    }
}

/// SIGHUP waits from [`Hangup::block`] on. A process that has not come to its handler would be ended by it.
#[derive(Debug)]
pub struct Hangup(());

impl Hangup {
    /// Lets the signal wait, in this thread and those that it starts.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    pub fn block() -> io::Result<Self> {
        change_mask(libc::SIG_BLOCK, &[SIGHUP])?;
        Ok(Self(()))
    }

    /// Sets a flag whenever the signal comes, or has come since it was blocked.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    pub fn handle(self) -> io::Result<Arc<AtomicBool>> {
        let is_received = Arc::new(AtomicBool::new(false));
        signal_hook::flag::register(SIGHUP, is_received.clone())?;
        self.release()?;
        Ok(is_received)
    }

    /// Lets the signal end the process again, as it does by default.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    pub fn release(self) -> io::Result<()> {
        change_mask(libc::SIG_UNBLOCK, &[SIGHUP])
    }
}

/// Changes whether this thread blocks SIGTERM and SIGINT.
fn set_mask(change: c_int) -> io::Result<()> {
    change_mask(change, &[SIGTERM, SIGINT])
}

/// Changes whether this thread blocks some signals.
fn change_mask(change: c_int, numbers: &[c_int]) -> io::Result<()> {
    let mut signals = std::mem::MaybeUninit::uninit();
    // SAFETY: The set is initialized by `sigemptyset` before anything else reads it.
    let error = unsafe {
        libc::sigemptyset(signals.as_mut_ptr());
        for number in numbers {
            libc::sigaddset(signals.as_mut_ptr(), *number);
        }
        libc::pthread_sigmask(change, signals.as_ptr(), std::ptr::null_mut())
    };
    match error {
        0 => Ok(()),
        error => Err(io::Error::from_raw_os_error(error)),
    }
}

impl Signals {
    fn install(blocked_at: Instant) -> io::Result<Self> {
        let received = Arc::new(Received {
            is_stop_requested: AtomicBool::new(false),
            is_interrupted: AtomicBool::new(false),
            count: AtomicU32::new(0),
            logged: AtomicU32::new(0),
            blocked_at,
            first_after_us: AtomicU64::new(0),
        });
        let on_term = received.clone();
        let on_interrupt = received.clone();
        // SAFETY: The handlers only access atomics, read a clock and call `_exit`, which are safe in signal handlers.
        unsafe {
            low_level::register(SIGTERM, move || on_term.terminate())?;
            low_level::register(SIGINT, move || on_interrupt.interrupt())?;
        }
        Ok(Self(received))
    }

    /// Whether the process is to leave.
    pub fn is_stop_requested(&self) -> bool {
        self.0.is_stop_requested.load(Ordering::Acquire)
    }

    /// When no signal had come yet. One that came before would have ended the process.
    pub fn blocked_at(&self) -> Instant {
        self.0.blocked_at
    }

    /// When the first signal was handled, which may be earlier than it is noticed.
    pub fn stop_requested_at(&self) -> Instant {
        let after = Duration::from_micros(self.0.first_after_us.load(Ordering::Relaxed));
        self.0.blocked_at + after
    }

    /// Whether the process is to leave; if not, sets when that was last known.
    pub fn look_for_stop(&self, unasked_at: &mut Instant) -> bool {
        // The time is taken first: a signal may come between the two.
        let now = Instant::now();
        let is_requested = self.is_stop_requested();
        if !is_requested {
            *unasked_at = now;
        }
        is_requested
    }

    /// Whether the process is to end at once.
    pub fn is_interrupted(&self) -> bool {
        self.0.is_interrupted.load(Ordering::Relaxed)
    }

    /// Logs the signals that came since it was called last.
    pub fn log_received(&self) {
        let count = self.0.count.load(Ordering::Relaxed);
        if self.0.logged.swap(count, Ordering::Relaxed) != count {
            log::info!(target: STOP_LOG_TARGET, count; "stop_signal");
        }
    }
}

impl Received {
    fn terminate(&self) {
        self.count();
        self.is_stop_requested.store(true, Ordering::Release);
    }

    fn count(&self) {
        if self.count.fetch_add(1, Ordering::Relaxed) == 0 {
            let after = self.blocked_at.elapsed().as_micros();
            self.first_after_us.store(after as u64, Ordering::Relaxed);
        }
    }

    fn interrupt(&self) {
        self.count();
        let is_second = self.is_stop_requested.swap(true, Ordering::AcqRel);
        // A process that does not notice is ended by the third.
        if is_second && self.is_interrupted.swap(true, Ordering::Relaxed) {
            low_level::exit(EXIT_INTERRUPTED.into());
        }
    }
}

/// The time that a process has to end.
#[derive(Debug, Clone, Copy)]
pub struct Grace {
    /// When it was told to leave.
    pub began_at: Instant,
    /// When it ends, whatever clients have still to receive.
    pub last_moment: Instant,
}

/// Waits until a process that leaves has left, or is to end at once.
pub async fn wait_until_left(has_left: impl Fn() -> bool, signals: &Signals) {
    while !has_left() && !signals.is_interrupted() {
        signals.log_received();
        monoio::time::sleep(SIGNAL_POLL_INTERVAL).await;
    }
}

/// Waits until all clients have received their responses, but no longer than the grace period, and logs why the process
/// ends and which responses were not received.
pub async fn wait_for_clients(closing: &Closing, grace: Grace, signals: &Signals) -> Ending {
    let flushed_at = grace.last_moment.min(Instant::now() + FLUSH_DELAY);
    let ending = loop {
        signals.log_received();
        let now = Instant::now();
        if signals.is_interrupted() {
            break Ending::Interrupted;
        }
        if now >= flushed_at && closing.is_complete() {
            break Ending::AllReceived;
        }
        if now >= grace.last_moment {
            break Ending::GracePeriodOver;
        }
        monoio::time::sleep(POLL_INTERVAL).await;
    };
    log_ending(ending, grace.began_at.elapsed(), closing.unreceived());
    ending
}

fn log_ending(ending: Ending, elapsed: Duration, mut unreceived: Vec<Unreceived>) {
    unreceived.sort_by_key(|response| std::cmp::Reverse(response.age));
    for response in unreceived.iter().take(UNRECEIVED_LINES_MAX) {
        let request = response.request.as_deref();
        let outcome: &str = response.state.into();
        let ms = response.age.as_millis() as u64;
        let bytes = response.bytes;
        log::info!(target: STOP_LOG_TARGET, request, outcome, ms, bytes; "response_not_received");
    }
    let outcome: &str = ending.into();
    let (count, ms) = (unreceived.len(), elapsed.as_millis() as u64);
    log::info!(target: STOP_LOG_TARGET, outcome, count, ms; "closed");
}

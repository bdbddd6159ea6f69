//! Logs as JSON lines, written by a dedicated thread, so that a blocked output doesn't block the
//! process.
//!
//! Lines above the rate limit, or that don't fit into the queue while the output is blocked, are
//! dropped. A `lines_left_out` line reports how many. Before the process ends, [`Writer::close`] waits for the lines in
//! the queue.

use std::io::{self, Write as _};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::{Arc, Mutex};
use std::thread::Thread;
use std::time::{Duration, Instant};

use hornbeamtiller_http::server::STOP_LOG_TARGET;
use log::{LevelFilter, Record};
use log4rs::append::Append;
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::writer::simple::SimpleWriter;
use log4rs::encode::Encode as _;

/// Capacity of the queue to the writer thread, in lines.
const QUEUE_LINES_MAX: usize = 4_096;
/// Rate limit, in lines per second.
const LINES_PER_SECOND: u32 = 1_500;
/// Time for which lines are collected into one write.
const BATCH_DELAY: Duration = Duration::from_millis(50);
/// How long a process that ends waits for the lines in the queue.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);
/// Interval at which it is checked meanwhile whether they are written.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Destination of the logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Output {
    /// Standard output.
    Stdout,
    /// Standard error.
    Stderr,
}

/// Why logging can't be set up.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The logging library rejects the configuration.
    #[error("invalid log configuration")]
    Config(#[from] log4rs::config::runtime::ConfigErrors),
    /// A logger is already set.
    #[error("a logger is already set")]
    Set(#[from] log::SetLoggerError),
    /// The writer thread can't be started.
    #[error("can't start the thread that writes logs")]
    Thread(#[from] io::Error),
}

/// Numbers of lines.
#[derive(Debug, Default)]
struct Counts {
    queued: AtomicU64,
    /// Taken from the queue and written, or lost as the output failed.
    written: AtomicU64,
    /// Not queued, and not yet reported.
    dropped: AtomicU64,
}

/// The thread that writes the log.
#[derive(Debug, Clone)]
pub struct Writer {
    counts: Arc<Counts>,
    thread: Thread,
}

impl Writer {
    /// Waits until all lines logged so far are written, but not for long: the output may be blocked.
    pub fn close(self) {
        let last = self.counts.queued.load(Ordering::Relaxed);
        let closed_at = Instant::now();
        while self.counts.written.load(Ordering::Acquire) < last {
            if closed_at.elapsed() >= CLOSE_TIMEOUT {
                return;
            }
            self.thread.unpark();
            std::thread::sleep(CLOSE_POLL_INTERVAL);
        }
    }
}

/// Sets up logging to an output and starts the writer thread. A panic is logged from then on, as it ends the process.
///
/// # Errors
///
/// [`Error`] if the configuration is rejected, a logger is already set, or the writer thread can't be
/// started.
pub fn init(output: Output) -> Result<Writer, Error> {
    let (sender, receiver) = sync_channel(QUEUE_LINES_MAX);
    let counts = Arc::<Counts>::default();
    let writer_counts = counts.clone();
    let thread = std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&receiver, &writer_counts, output))?;
    let writer = Writer {
        counts: counts.clone(),
        thread: thread.thread().clone(),
    };
    let appender = Queue {
        encoder: JsonEncoder::new(),
        sender,
        counts,
        window: Mutex::new((Instant::now(), LINES_PER_SECOND)),
    };
    let config = Config::builder()
        .appender(Appender::builder().build("queue", Box::new(appender)))
        .build(Root::builder().appender("queue").build(LevelFilter::Info))?;
    log4rs::init_config(config)?;
    log_panics(writer.clone());
    Ok(writer)
}

/// Logs a panic, beside the message on standard error, and has the log written.
fn log_panics(writer: Writer) {
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        report(info);
        let place = info.location().map(ToString::to_string);
        log::error!(target: STOP_LOG_TARGET, place:? = place; "panicked");
        writer.clone().close();
    }));
}

/// Appender that encodes records and puts them into the bounded queue.
#[derive(Debug)]
struct Queue {
    encoder: JsonEncoder,
    sender: SyncSender<Vec<u8>>,
    counts: Arc<Counts>,
    /// Start of the current one-second window, and the lines that it still allows.
    window: Mutex<(Instant, u32)>,
}

impl Queue {
    fn is_allowed(&self) -> bool {
        let Ok(mut window) = self.window.lock() else {
            return false;
        };
        if window.0.elapsed() >= Duration::from_secs(1) {
            *window = (Instant::now(), LINES_PER_SECOND);
        }
        let remaining = window.1;
        window.1 = remaining.saturating_sub(1);
        remaining > 0
    }
}

impl Append for Queue {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        if record.target() != STOP_LOG_TARGET && !self.is_allowed() {
            self.counts.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let mut line = SimpleWriter(Vec::with_capacity(256));
        self.encoder.encode(&mut line, record)?;
        let count = match self.sender.try_send(line.0) {
            Ok(()) => &self.counts.queued,
            Err(_) => &self.counts.dropped,
        };
        count.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }

    fn flush(&self) {}
}

/// Writes queued lines in batches until the process ends.
fn write_lines(lines: &Receiver<Vec<u8>>, counts: &Counts, output: Output) {
    while let Ok(first) = lines.recv() {
        std::thread::park_timeout(BATCH_DELAY);
        let mut batch = first;
        let mut count = 1;
        for line in lines.try_iter() {
            batch.extend(line);
            count += 1;
        }
        let missing = counts.dropped.swap(0, Ordering::Relaxed);
        if missing > 0 {
            let line = format!("{{\"level\":\"WARN\",\"message\":\"lines_left_out\",\"attributes\":{{\"count\":{missing}}}}}\n");
            batch.extend_from_slice(line.as_bytes());
        }
        let written = match output {
            Output::Stdout => io::stdout().write_all(&batch),
            Output::Stderr => io::stderr().write_all(&batch),
        };
        if written.is_err() {
            counts.dropped.fetch_add(1, Ordering::Relaxed);
        }
        counts.written.fetch_add(count, Ordering::Release);
    }
}

//! Logs as JSON lines, written by a dedicated thread, so that a blocked output doesn't block the
//! process.
//!
//! Lines above the rate limit, or that don't fit into the queue while the output is blocked, are
//! dropped. A `lines_left_out` line reports how many. The queue is bounded in lines and in bytes, and a text that a caller
//! chose, such as the id of its request, is cut. Requests that no VM can serve share a small part of the rate, so that clients
//! without a route don't displace the lines that explain other requests. Before the process ends, [`Writer::close`] waits for
//! the lines in the queue.

use std::io::{self, Write as _};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender};
use std::sync::{Arc, Mutex};
use std::thread::Thread;
use std::time::{Duration, Instant};

use hornbeamtiller_http::server::{INVALID_LOG_TARGET, STOP_LOG_TARGET};
use log::kv::{self, Key, Source, Value, VisitSource};
use log::{LevelFilter, Record};
use log4rs::append::Append;
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::writer::simple::SimpleWriter;
use log4rs::encode::Encode as _;

/// Capacity of the queue to the writer thread, in lines.
const QUEUE_LINES_MAX: usize = 4_096;
/// Bytes of the lines that are queued or being written.
const QUEUE_BYTES_MAX: usize = 1 << 20;
/// Longest line, in bytes. A longer one is dropped, as a part of one can't be parsed.
const LINE_BYTES_MAX: usize = 8 << 10;
/// Longest text of a field, in bytes; the rest is cut.
const TEXT_BYTES_MAX: usize = 256;
/// Rate limit, in lines per second.
const LINES_PER_SECOND: u32 = 1_500;
/// The same for requests that no VM can serve.
const INVALID_LINES_PER_SECOND: u32 = 100;
/// Size of a write, in bytes, from which on no more lines are collected into it.
const BATCH_BYTES_MAX: usize = 64 << 10;
/// Time for which lines are collected into one write.
const BATCH_DELAY: Duration = Duration::from_millis(50);
/// Interval after which lines that were left out are reported, if no other line is written.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
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
    /// Bytes of the lines that are queued or being written.
    bytes: AtomicUsize,
}

impl Counts {
    /// Takes room in the queue for a line; returns whether there is any.
    fn reserve(&self, bytes: usize) -> bool {
        let before = self.bytes.fetch_add(bytes, Ordering::Relaxed);
        let fits = before + bytes <= QUEUE_BYTES_MAX;
        if !fits {
            self.release(bytes);
        }
        fits
    }

    fn release(&self, bytes: usize) {
        self.bytes.fetch_sub(bytes, Ordering::Relaxed);
    }
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
        window: Mutex::new(Window::new()),
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

/// The lines that one second still allows.
#[derive(Debug)]
struct Window {
    started_at: Instant,
    lines: u32,
    /// Lines of requests that no VM can serve.
    invalid_lines: u32,
}

impl Window {
    fn new() -> Self {
        Self {
            started_at: Instant::now(),
            lines: LINES_PER_SECOND,
            invalid_lines: INVALID_LINES_PER_SECOND,
        }
    }

    /// Whether a line of a target is still allowed; counts it if so.
    fn take(&mut self, target: &str) -> bool {
        if self.started_at.elapsed() >= Duration::from_secs(1) {
            *self = Self::new();
        }
        let left = match target {
            INVALID_LOG_TARGET => &mut self.invalid_lines,
            _ => &mut self.lines,
        };
        let is_allowed = *left > 0;
        *left = left.saturating_sub(1);
        is_allowed
    }
}

/// Appender that encodes records and puts them into the bounded queue.
#[derive(Debug)]
struct Queue {
    encoder: JsonEncoder,
    sender: SyncSender<Vec<u8>>,
    counts: Arc<Counts>,
    window: Mutex<Window>,
}

impl Queue {
    fn is_allowed(&self, target: &str) -> bool {
        let window = self.window.lock();
        target == STOP_LOG_TARGET || window.is_ok_and(|mut window| window.take(target))
    }

    /// Puts a line into the queue; returns whether there was room.
    fn push(&self, line: Vec<u8>) -> bool {
        let bytes = line.len();
        if bytes > LINE_BYTES_MAX || !self.counts.reserve(bytes) {
            return false;
        }
        let is_queued = self.sender.try_send(line).is_ok();
        if !is_queued {
            self.counts.release(bytes);
        }
        is_queued
    }
}

impl Append for Queue {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        if !self.is_allowed(record.target()) {
            self.counts.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let fields = CutFields(record.key_values());
        let record = record.to_builder().key_values(&fields).build();
        let mut line = SimpleWriter(Vec::with_capacity(256));
        self.encoder.encode(&mut line, &record)?;
        let count = match self.push(line.0) {
            true => &self.counts.queued,
            false => &self.counts.dropped,
        };
        count.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }

    fn flush(&self) {}
}

/// The fields of a record, with long texts cut.
struct CutFields<'a>(&'a dyn Source);

impl Source for CutFields<'_> {
    fn visit<'kvs>(&'kvs self, visitor: &mut dyn VisitSource<'kvs>) -> Result<(), kv::Error> {
        self.0.visit(&mut Cutter(visitor))
    }
}

struct Cutter<'a, 'kvs>(&'a mut dyn VisitSource<'kvs>);

impl<'kvs> VisitSource<'kvs> for Cutter<'_, 'kvs> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let text = value.to_borrowed_str();
        let value = match text.filter(|text| text.len() > TEXT_BYTES_MAX) {
            Some(text) => Value::from(cut(text)),
            None => value,
        };
        self.0.visit_pair(key, value)
    }
}

/// The beginning of a text that is too long.
fn cut(text: &str) -> &str {
    let mut end = TEXT_BYTES_MAX;
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    &text[..end]
}

/// Writes queued lines in batches until the process ends.
fn write_lines(lines: &Receiver<Vec<u8>>, counts: &Counts, output: Output) {
    loop {
        let first = match lines.recv_timeout(REPORT_INTERVAL) {
            Ok(first) => Some(first),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        if first.is_some() {
            std::thread::park_timeout(BATCH_DELAY);
        }
        let mut next = first;
        loop {
            write_batch(next, lines, counts, output);
            next = lines.try_recv().ok();
            if next.is_none() {
                break;
            }
        }
    }
}

/// Writes a line together with those that follow it in the queue, and how many were left out.
fn write_batch(first: Option<Vec<u8>>, lines: &Receiver<Vec<u8>>, counts: &Counts, output: Output) {
    let mut count = u64::from(first.is_some());
    let mut batch = first.unwrap_or_default();
    while count > 0 && batch.len() < BATCH_BYTES_MAX {
        let Ok(line) = lines.try_recv() else {
            break;
        };
        batch.extend(line);
        count += 1;
    }
    let bytes = batch.len();
    let missing = counts.dropped.swap(0, Ordering::Relaxed);
    if missing > 0 {
        let line = format!("{{\"level\":\"WARN\",\"message\":\"lines_left_out\",\"attributes\":{{\"count\":{missing}}}}}\n");
        batch.extend_from_slice(line.as_bytes());
    }
    if batch.is_empty() {
        return;
    }
    let written = match output {
        Output::Stdout => io::stdout().write_all(&batch),
        Output::Stderr => io::stderr().write_all(&batch),
    };
    if written.is_err() {
        counts.dropped.fetch_add(1, Ordering::Relaxed);
    }
    counts.release(bytes);
    counts.written.fetch_add(count, Ordering::Release);
}

//! Log files of processes, as read by the commands that explain them.

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

use chrono::{DateTime, FixedOffset};
use error_stack::ResultExt as _;
use serde::Deserialize;

use crate::error::{Error, Result};

/// Time at which a line was written, by the clock of its process.
pub type Timestamp = DateTime<FixedOffset>;

/// One line of a log file.
#[derive(Debug, Clone, Deserialize)]
pub struct Line {
    /// When it was written.
    pub time: Timestamp,
    /// Name of the event.
    pub message: String,
    /// Its attributes.
    #[serde(default)]
    pub attributes: Attributes,
    /// Name of the process: the word before the JSON, or else the name of the file without its
    /// extension.
    #[serde(skip)]
    pub source: String,
}

/// Attributes of a line; the log writes numbers as strings.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct Attributes {
    /// Id of the request.
    pub request: Option<String>,
    /// The runner.
    pub runner: Option<String>,
    /// Number of the attempt.
    pub attempt: Option<String>,
    /// Outcome or reason.
    pub outcome: Option<String>,
    /// Why an exchange with a runner failed.
    pub cause: Option<String>,
    /// Version of the input that decided.
    pub version: Option<String>,
    /// Age of the input that decided, or the duration of what ended, in milliseconds.
    pub ms: Option<String>,
    /// Tokens of the prompt.
    pub tokens: Option<String>,
    /// Whether an attempt was connected to a runner, or a VM that was asked is known to reach some.
    pub connected: Option<String>,
    /// The endpoint.
    pub endpoint: Option<String>,
    /// What an attempt cost the retry budget.
    pub charge: Option<String>,
    /// Software version of the runner.
    pub build: Option<String>,
    /// Target latency, in milliseconds.
    pub target_ms: Option<String>,
    /// Parts of prompts.
    pub parts: Option<String>,
    /// Fingerprints of requests.
    pub fingerprint: Option<String>,
}
impl Line {
    /// Whether it says that an attempt failed or was cancelled.
    pub fn is_failed_attempt(&self) -> bool {
        matches!(self.message.as_str(), "attempt_failed" | "given_up")
    }
}

/// Reads the log lines of several files, one after the other; see [`read_lines`].
///
/// # Errors
///
/// [`Error::File`] if a file can't be read.
pub fn read_files(paths: &[PathBuf]) -> Result<Vec<Line>> {
    let mut lines = Vec::new();
    for path in paths {
        lines.extend(read_lines(path)?);
    }
    Ok(lines)
}

/// Reads the log lines of a file and skips all others. Text before the JSON names the process, for
/// files that several processes write to.
///
/// # Errors
///
/// [`Error::File`] if the file can't be read.
pub fn read_lines(path: &PathBuf) -> Result<Vec<Line>> {
    let unreadable = || Error::File(path.display().to_string());
    let file = std::fs::File::open(path).change_context_lazy(unreadable)?;
    let mut lines = Vec::new();
    for bytes in BufReader::new(file).split(b'\n') {
        let bytes = bytes.change_context_lazy(unreadable)?;
        lines.extend(parse_line(&String::from_utf8_lossy(&bytes), path));
    }
    Ok(lines)
}

fn parse_line(text: &str, path: &Path) -> Option<Line> {
    let (prefix, json) = text.split_at(text.find('{')?);
    // Text that isn't a log line comes from other programs that write to the file.
    let mut line: Line = serde_json::from_str(json).ok()?;
    let stem = path.file_stem().unwrap_or_default().to_string_lossy();
    line.source = match prefix.split_whitespace().last() {
        Some(name) => name.to_owned(),
        None => stem.into_owned(),
    };
    Some(line)
}

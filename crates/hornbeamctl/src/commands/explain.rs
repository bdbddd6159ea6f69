//! Explains how one request was handled, from the log files of several processes.
//!
//! A process logs its decisions on a request in order. Ahead of them, this prints the state on
//! which the process based them: the manifest in force, the state of the configuration service, and
//! what it knew of the runners that the request was sent to.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

use chrono::{DateTime, FixedOffset, TimeDelta};
use error_stack::ResultExt as _;
use serde::Deserialize;

use crate::cli::ExplainFlags;
use crate::error::{Error, Result};

/// Time at which a line was written, by the clock of its process.
type Timestamp = DateTime<FixedOffset>;

/// One line of a log file.
#[derive(Debug, Clone, Deserialize)]
struct Line {
    time: Timestamp,
    message: String,
    #[serde(default)]
    attributes: Attributes,
    /// Name of the process: the word before the JSON, or else the name of the file without its
    /// extension.
    #[serde(skip)]
    source: String,
}

/// Attributes of a line; the log writes numbers as strings.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
struct Attributes {
    request: Option<String>,
    runner: Option<String>,
    attempt: Option<String>,
    outcome: Option<String>,
    version: Option<String>,
    ms: Option<String>,
}

/// Prints how each process handled a request.
///
/// # Errors
///
/// [`Error::NotFound`] if no file has a line on the request, [`Error::File`] if a file can't be
/// read.
pub fn run(flags: &ExplainFlags) -> Result<()> {
    let mut logs: BTreeMap<String, Vec<Line>> = BTreeMap::new();
    for path in &flags.files {
        for line in read_lines(path)? {
            logs.entry(line.source.clone()).or_default().push(line);
        }
    }
    let mut found = false;
    for (source, lines) in &logs {
        if let Some(explanation) = explain_process(source, lines, &flags.request) {
            found = true;
            print!("{explanation}");
        }
    }
    if !found {
        let what = format!("no line on request {}", flags.request);
        return Err(error_stack::Report::new(Error::NotFound(what)));
    }
    Ok(())
}

/// Reads the log lines of a file and skips all others. Text before the JSON names the process, for
/// files that several processes write to.
fn read_lines(path: &PathBuf) -> Result<Vec<Line>> {
    let unreadable = || Error::File(path.display().to_string());
    let file = std::fs::File::open(path).change_context_lazy(unreadable)?;
    let mut lines = Vec::new();
    for text in BufReader::new(file).split(b'\n') {
        let text = text.change_context_lazy(unreadable)?;
        lines.extend(parse_line(&String::from_utf8_lossy(&text), path));
    }
    Ok(lines)
}

fn parse_line(text: &str, path: &Path) -> Option<Line> {
    let (before, json) = text.split_at(text.find('{')?);
    // Text that isn't a log line comes from other programs that write to the file.
    let mut line: Line = serde_json::from_str(json).ok()?;
    let stem = path.file_stem().unwrap_or_default().to_string_lossy();
    line.source = match before.split_whitespace().last() {
        Some(name) => name.to_owned(),
        None => stem.into_owned(),
    };
    Some(line)
}

/// Explains a request from the log of one process; `None` if the log has no line on it.
fn explain_process(source: &str, lines: &[Line], request: &str) -> Option<String> {
    let is_of_request = |line: &&Line| line.attributes.request.as_deref() == Some(request);
    let request_lines: Vec<&Line> = lines.iter().filter(is_of_request).collect();
    let (first, last) = (request_lines.first()?, request_lines.last()?);
    let runners: BTreeSet<&str> = request_lines
        .iter()
        .filter_map(|line| line.attributes.runner.as_deref())
        .collect();
    let is_context = |line: &&Line| {
        let runner = line.attributes.runner.as_deref();
        line.attributes.request.is_none() && runner.is_none_or(|runner| runners.contains(runner))
    };
    let context: Vec<&Line> = lines.iter().filter(is_context).collect();
    let mut before: BTreeMap<(&str, Option<&str>), &Line> = BTreeMap::new();
    for line in context.iter().filter(|line| line.time < first.time) {
        before.insert((&line.message, line.attributes.runner.as_deref()), line);
    }
    let mut before: Vec<&Line> = before.into_values().collect();
    before.sort_by_key(|line| line.time);
    let mut history = request_lines.clone();
    history.extend(
        context
            .iter()
            .filter(|line| line.time >= first.time && line.time <= last.time),
    );
    history.sort_by_key(|line| line.time);

    let mut text = format!("request {request} on {source}\n  believed when it came\n");
    for line in before {
        text.push_str(&format_row(line, first.time));
    }
    text.push_str("  decided\n");
    for line in history {
        text.push_str(&format_row(line, first.time));
    }
    text.push_str(&format!("  in the end: {}\n", describe_end(last)));
    Some(text)
}

fn format_row(line: &Line, start: Timestamp) -> String {
    format!(
        "  {:>11}  {}\n",
        format_offset(line.time - start),
        describe(line)
    )
}

fn format_offset(offset: TimeDelta) -> String {
    format!(
        "{:+.3} s",
        offset.num_microseconds().unwrap_or(i64::MAX) as f64 / 1e6
    )
}

/// Describes a line in a sentence.
fn describe(line: &Line) -> String {
    let attributes = &line.attributes;
    let text = |value: &Option<String>| value.clone().unwrap_or_else(|| "?".to_owned());
    let (runner, outcome) = (text(&attributes.runner), text(&attributes.outcome));
    let (attempt, version, ms) = (
        text(&attributes.attempt),
        text(&attributes.version),
        text(&attributes.ms),
    );
    match line.message.as_str() {
        "accepted" => format!("read whole; route {outcome} of manifest {version}"),
        "dispatched" => format!(
            "attempt {attempt}: {outcome} at {runner}, by its entry of revision {version} and its word on its \
             load, {ms} ms old"
        ),
        "attempt_failed" => format!("attempt {attempt} at {runner} failed after {ms} ms: {outcome}"),
        "given_up" => format!("attempt {attempt} at {runner} was given up: {outcome}"),
        "waits" => "waits for capacity at an engine".to_owned(),
        "answered" => format!("attempt {attempt}: {runner} answered {outcome} after {ms} ms; passed on"),
        "stream_ended" => format!("attempt {attempt}: the stream of {runner} was complete after {ms} ms"),
        "stream_cut" => format!("the caller's stream was cut after {ms} ms: {outcome}"),
        "refused" => format!("refused after {ms} ms: {outcome}"),
        "caller_gone" => format!("its caller disconnected after {ms} ms"),
        "manifest_in_force" => format!("manifest {version} came into force: {outcome}"),
        "runner_listed" if attributes.runner.is_some() => {
            format!("runner {runner} was listed as {outcome}, revision {version}")
        }
        "runner_listed" => format!("the list was read: {outcome}, revision {version}"),
        "runner_rests" => format!("runner {runner} is left alone for {ms} ms: {outcome}"),
        "source" => format!("the configuration service was {outcome}; manifest {version} is held"),
        kind => match &attributes.outcome {
            Some(outcome) => format!("{kind}: {outcome}"),
            None => kind.to_owned(),
        },
    }
}

fn describe_end(last: &Line) -> String {
    let outcome = last.attributes.outcome.as_deref().unwrap_or_default();
    let (claim, reason) = outcome.split_once(' ').unwrap_or((outcome, ""));
    let reason = match reason {
        "full" => "no runner had capacity",
        "no_runner" => "no runner of the endpoint was known",
        "no_manifest" => "the process had no manifest yet",
        "runners_failed" => "the runners that were tried gave no usable answer",
        "timed_out" => "its deadline passed",
        other => other,
    };
    match (last.message.as_str(), claim) {
        ("refused", "not_run") => format!("it has not run and never will, since {reason}"),
        ("refused", "unknown" | "unknown_timed_out") => {
            format!("it may have run, and its answer is lost: {reason}")
        }
        ("refused", _) => format!("it can't be served as it is: {outcome}"),
        ("answered", _) => format!("the runner's answer, status {outcome}, was passed on"),
        ("stream_ended", _) => "the complete stream was passed on".to_owned(),
        ("stream_cut", _) => {
            format!(
                "the stream was cut, so that the caller can tell that it is incomplete: {outcome}"
            )
        }
        ("caller_gone", _) => "its caller disconnected; what could be cancelled was".to_owned(),
        _ => "the log ends before its final answer".to_owned(),
    }
}

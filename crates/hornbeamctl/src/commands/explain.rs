//! Explains how one request was handled, from the log files of several processes.
//!
//! A process logs its decisions on a request in order. Ahead of them, this prints the state on
//! which the process based them, such as the manifest in force, whether the configuration service
//! was reachable, and what it knew of the runners that the request was sent to.

use std::collections::{BTreeMap, BTreeSet};

use chrono::TimeDelta;

use crate::cli::ExplainFlags;
use crate::commands::log_file::{read_lines, Line, Timestamp};
use crate::commands::{losses, retries};
use crate::error::{Error, Result};

/// Prints how each process handled a request.
///
/// # Errors
///
/// [`Error::NotFound`] if no file has a line on the request, [`Error::File`] if a file can't be
/// read.
pub fn run(flags: &ExplainFlags) -> Result<()> {
    if let Some(files) = &flags.losses {
        return losses::run(files, flags.json);
    }
    if let Some(files) = &flags.retries {
        return retries::run(files);
    }
    // The flags require a request unless losses or retries are asked for.
    let request = flags.request.as_deref().unwrap_or_default();
    let mut logs: BTreeMap<String, Vec<Line>> = BTreeMap::new();
    for path in &flags.files {
        for line in read_lines(path)? {
            logs.entry(line.source.clone()).or_default().push(line);
        }
    }
    let mut found = false;
    for (source, lines) in &logs {
        if let Some(explanation) = explain_process(source, lines, request) {
            found = true;
            print!("{explanation}");
        }
    }
    if !found {
        let message = format!("no log line for request {request}");
        return Err(error_stack::Report::new(Error::NotFound(message)));
    }
    Ok(())
}

/// Explains a request from the log of one process; `None` if the log has no line on it.
fn explain_process(source: &str, lines: &[Line], request: &str) -> Option<String> {
    let is_for_request = |line: &&Line| line.attributes.request.as_deref() == Some(request);
    let request_lines: Vec<&Line> = lines.iter().filter(is_for_request).collect();
    let (first, last) = (request_lines.first()?, request_lines.last()?);
    let runners: BTreeSet<&str> = request_lines
        .iter()
        .filter_map(|line| line.attributes.runner.as_deref())
        .collect();
    // Lines without a request, on the process itself or on a runner that the request was sent to.
    let is_context = |line: &&Line| {
        let runner = line.attributes.runner.as_deref();
        line.attributes.request.is_none() && runner.is_none_or(|runner| runners.contains(runner))
    };
    let context: Vec<&Line> = lines.iter().filter(is_context).collect();
    // The last line of each kind, and for each runner, shows the state that the process knew.
    let mut latest: BTreeMap<(&str, Option<&str>), &Line> = BTreeMap::new();
    for line in context.iter().filter(|line| line.time < first.time) {
        latest.insert((&line.message, line.attributes.runner.as_deref()), line);
    }
    let mut known: Vec<&Line> = latest.into_values().collect();
    known.sort_by_key(|line| line.time);
    let mut history = request_lines.clone();
    history.extend(
        context
            .iter()
            .filter(|line| line.time >= first.time && line.time <= last.time),
    );
    history.sort_by_key(|line| line.time);

    let mut explanation = format!("request {request} on {source}\n  known on receipt\n");
    for line in known {
        explanation.push_str(&format_row(line, first.time));
    }
    explanation.push_str("  decided\n");
    for line in history {
        explanation.push_str(&format_row(line, first.time));
    }
    explanation.push_str(&format!("  result: {}\n", describe_result(last)));
    Some(explanation)
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

/// Describes a line in a sentence; `?` stands for a missing attribute.
fn describe(line: &Line) -> String {
    let attributes = &line.attributes;
    let field = |value: &Option<String>| value.clone().unwrap_or_else(|| "?".to_owned());
    let (runner, outcome) = (field(&attributes.runner), field(&attributes.outcome));
    let (attempt, version, ms) = (
        field(&attributes.attempt),
        field(&attributes.version),
        field(&attributes.ms),
    );
    match line.message.as_str() {
        "accepted" => {
            let asked = attributes.fingerprint.iter();
            let asked: String = asked.map(|asked| format!("; fingerprint {asked}")).collect();
            format!("request received in full; route {outcome} of manifest {version}{asked}")
        }
        "dispatched" => format!(
            "attempt {attempt}: {outcome} request dispatched to {runner} (entry revision {version}, load \
             reported {ms} ms ago)"
        ),
        "attempt_failed" => format!("attempt {attempt}: failed at {runner} after {ms} ms: {outcome}"),
        "exchange_failed" => format!("attempt {attempt}: exchange with {runner} failed: {}", field(&attributes.cause)),
        "stands_by" => format!("attempt {attempt}: silent at {runner}; stays while another runner is prepared"),
        "given_up" => format!("attempt {attempt}: cancelled at {runner}: {outcome}"),
        "retry_denied" => format!("no retry left in the budget: {outcome}"),
        "waits" => "waiting for capacity at a runner".to_owned(),
        "granted" => {
            format!("{outcome} granted capacity at {runner} after {ms} ms (grant {version})")
        }
        "origin" => {
            let build = attributes.build.as_deref().unwrap_or("not known");
            format!("software version that began the stream: {build} ({outcome}, after {ms} ms)")
        }
        "first_event" => {
            format!("attempt {attempt}: first event forwarded {ms} ms after the request")
        }
        "paused" => format!("attempt {attempt}: stream paused for {ms} ms"),
        "answered" => format!(
            "attempt {attempt}: {runner} responded with status {outcome} after {ms} ms; response \
             forwarded"
        ),
        "stream_ended" => format!("attempt {attempt}: stream of {runner} complete after {ms} ms"),
        "stream_cut" => format!("stream to the caller aborted after {ms} ms: {outcome}"),
        "refused" => format!("request refused after {ms} ms: {outcome}"),
        "caller_gone" => format!("caller disconnected after {ms} ms"),
        "manifest_in_force" => format!("manifest {version} took effect: {outcome}"),
        "runner_listed" if attributes.runner.is_some() => {
            format!("runner list entry of {runner} updated: {outcome} (revision {version})")
        }
        "runner_listed" => format!("runner list read: {outcome} (revision {version})"),
        // Logged for an open circuit breaker and for a prefill runner whose KV caches expire.
        "runner_rests" => format!("runner {runner} is in cooldown for {ms} ms: {outcome}"),
        "runner_crashed" => format!(
            "runner {runner} has ended; it had not begun to respond to the requests {}, with the parts {}",
            field(&attributes.fingerprint),
            field(&attributes.parts)
        ),
        "rest_asked" => format!("runner {runner} asks for no requests for {ms} ms"),
        "runner_departs" => format!("runner {runner} has said that it leaves, {ms} ms ago: {outcome}"),
        "reach" => format!("runners of {} {outcome} to this VM", field(&attributes.endpoint)),
        "delegated" if attributes.connected.as_deref() == Some("true") => format!(
            "attempt {attempt}: {outcome} asked to run the request, which reached runners {ms} ms ago"
        ),
        "delegated" => format!("attempt {attempt}: {outcome} asked to run the request"),
        "delegated_here" => format!("request delegated by {outcome}, which reaches no runner for it"),
        "overload" => format!("plain endpoint {outcome}"),
        "admission" => format!("admitted of a plain endpoint: {outcome}"),
        "limit_named" => format!("limit of {runner}: {outcome}"),
        "over_cap" => format!("refused for the organisation's quota ({outcome} since the last such line)"),
        "part_tried" => format!("quarantined part {} let through once", field(&attributes.parts)),
        "part_quarantined" => format!("part {} quarantined: {outcome}", field(&attributes.parts)),
        "request_tried" => format!(
            "quarantined request {} let through once",
            field(&attributes.fingerprint)
        ),
        "request_quarantined" => {
            format!("request {} quarantined: {outcome}", field(&attributes.fingerprint))
        }
        "request_released" => {
            format!("request {} released: {outcome}", field(&attributes.fingerprint))
        }
        "part_released" => format!("part {} released: {outcome}", field(&attributes.parts)),
        "source" => format!(
            "connection to the configuration service {outcome}; manifest {version} in force"
        ),
        kind => match &attributes.outcome {
            Some(outcome) => format!("{kind}: {outcome}"),
            None => kind.to_owned(),
        },
    }
}

/// Describes how a request ended, from the last line on it.
fn describe_result(last: &Line) -> String {
    let outcome = last.attributes.outcome.as_deref().unwrap_or_default();
    let (claim, reason) = outcome.split_once(' ').unwrap_or((outcome, ""));
    let reason = match reason {
        "full" => "no runner had capacity",
        "no_memory" => "the process had no memory left for it",
        "body_too_slow" => "its body arrived too slowly",
        "no_runner" => "no runner of the endpoint was known",
        "no_manifest" => "the process had not read a manifest yet",
        "runners_failed" => "the runners that were tried returned no usable response",
        "build_gone" => "no runner of the software version that began the stream was left",
        "prompt_quarantined" => "a part of its prompt crashes runners",
        "request_quarantined" => "the same request crashed runners before",
        "out_of_reach" => "this VM reached no runner, nor did the one that asked it",
        "timed_out" => "the deadline passed",
        "resting" => "all runners have asked for no requests for a while",
        "overloaded" => "the runners get more requests than they can do, and others go first",
        "limited" => "the runners name limits, and others were sent to them first",
        "no_retry_left" => "the retry budget had no retry left",
        "leaving" => "the process was shutting down",
        "leaving_unsent" => "the VM that another one asked was shutting down; no runner got it",
        "origin_unknown" => "no VM knew which software version began the stream",
        "origin_unreachable" => {
            "the VMs that may know which software version began the stream were not reached"
        }
        other => other,
    };
    match (last.message.as_str(), claim) {
        ("refused", "not_run") => {
            format!("the request was not executed and never will be: {reason}")
        }
        ("refused", "unknown" | "unknown_timed_out") => {
            format!("the request may have been executed; its response is lost: {reason}")
        }
        ("refused", _) => format!("the request can't be served as sent: {outcome}"),
        ("answered", _) => format!("response with status {outcome} forwarded"),
        ("stream_ended", _) => "complete stream forwarded".to_owned(),
        ("stream_cut", _) => {
            format!(
                "stream aborted, so that the caller can't mistake it for a complete one: {outcome}"
            )
        }
        ("caller_gone", _) => {
            "caller disconnected; work that can be cancelled was cancelled".to_owned()
        }
        _ => "the log ends before the final response or refusal".to_owned(),
    }
}

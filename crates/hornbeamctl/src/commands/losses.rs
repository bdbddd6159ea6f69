//! Counts the requests of log files under the decisions that lost them: each request once, by how it
//! ended and by what kept it from ending well.

use std::collections::{BTreeMap, HashMap};
use std::path::PathBuf;

use serde::Serialize;

use crate::commands::log_file::{read_files, Line, Timestamp};
use crate::error::{Error, Result};

/// Length of the moments that losses are counted by, in seconds.
const MOMENT_SECONDS: i64 = 2;

/// What the log says of one request.
#[derive(Debug, Clone, Default)]
struct History {
    lines: Vec<Line>,
    /// Whether its process started anew after the last line.
    process_ended: bool,
}

/// One row: requests that ended in one way for one reason.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Row {
    /// `model` or `plain`.
    pub kind: &'static str,
    /// How the requests ended, and why.
    pub cause: String,
    /// Number of requests.
    pub requests: u64,
    /// Tokens of their prompts.
    pub prompt_tokens: u64,
    /// Tokens that were prefilled for them and not used.
    pub vain_tokens: u64,
    /// Median age of the load that their last dispatch went by, in milliseconds, if there was any.
    pub load_age_ms: Option<f64>,
    /// Start of the moment with most of them, in seconds after the first line of the log.
    pub worst_moment_s: i64,
    /// Number of requests by the moment of their arrival.
    pub by_moment: BTreeMap<i64, u64>,
    /// Number of requests by route.
    pub by_route: BTreeMap<String, u64>,
}

/// How one request ended.
#[derive(Debug, Clone, PartialEq)]
struct Loss {
    kind: &'static str,
    cause: String,
    arrived_at: Timestamp,
    route: String,
    prompt_tokens: u64,
    vain_tokens: u64,
    load_age_ms: Option<f64>,
}

/// Prints the losses of log files.
///
/// # Errors
///
/// [`Error::File`] if a file can't be read, [`Error::NotFound`] if none has a line on a request.
pub fn run(files: &[PathBuf], json: bool) -> Result<()> {
    let lines = read_files(files)?;
    let rows = count(lines);
    if rows.is_empty() {
        let message = "no log line for any request".to_owned();
        return Err(error_stack::Report::new(Error::NotFound(message)));
    }
    if json {
        crate::bench::report::print(true, &rows);
    } else {
        print!("{}", format_rows(&rows));
    }
    Ok(())
}

/// Counts the requests of a log, the largest rows of each kind first.
fn count(lines: Vec<Line>) -> Vec<Row> {
    let Some(start) = lines.iter().map(|line| line.time).min() else {
        return Vec::new();
    };
    let mut last_starts: HashMap<String, Timestamp> = HashMap::new();
    for line in lines.iter().filter(|line| line.message == "started") {
        let last = last_starts.entry(line.source.clone()).or_insert(line.time);
        *last = line.time.max(*last);
    }
    let mut histories: HashMap<String, History> = HashMap::new();
    for line in lines {
        if let Some(request) = line.attributes.request.clone() {
            histories.entry(request).or_default().lines.push(line);
        }
    }
    let mut rows: BTreeMap<(&'static str, String), (Row, Vec<f64>)> = BTreeMap::new();
    for history in histories.values_mut() {
        history.lines.sort_by_key(|line| line.time);
        history.process_ended = history.lines.last().is_some_and(|last| {
            let restarted = last_starts.get(&last.source);
            restarted.is_some_and(|start| *start > last.time)
        });
        let Some(loss) = history.find_loss() else {
            continue;
        };
        let moment = (loss.arrived_at - start).num_seconds() / MOMENT_SECONDS * MOMENT_SECONDS;
        let (row, ages) = rows.entry((loss.kind, loss.cause.clone())).or_default();
        row.kind = loss.kind;
        row.cause = loss.cause;
        row.requests += 1;
        row.prompt_tokens += loss.prompt_tokens;
        row.vain_tokens += loss.vain_tokens;
        *row.by_moment.entry(moment).or_default() += 1;
        *row.by_route.entry(loss.route).or_default() += 1;
        ages.extend(loss.load_age_ms);
    }
    let mut rows: Vec<Row> = rows.into_values().map(complete).collect();
    rows.sort_by(|one, other| (one.kind, other.requests).cmp(&(other.kind, one.requests)));
    rows
}

/// Fills in what is known once all requests of a row are counted.
fn complete((row, mut ages): (Row, Vec<f64>)) -> Row {
    ages.sort_by(f64::total_cmp);
    let worst = row.by_moment.iter().max_by_key(|(_, requests)| **requests);
    Row {
        load_age_ms: ages.get(ages.len() / 2).copied(),
        worst_moment_s: worst.map_or(0, |(moment, _)| *moment),
        ..row
    }
}

fn format_rows(rows: &[Row]) -> String {
    let mut text = format!(
        "{:<6} {:>8} {:>6} {:>12} {:>12} {:>9} {:>8}  {}\n",
        "kind", "requests", "%", "prompts", "in vain", "load ms", "worst s", "how it ended"
    );
    for row in rows {
        let of_kind = rows.iter().filter(|other| other.kind == row.kind);
        let sum: u64 = of_kind.map(|other| other.requests).sum();
        let share = row.requests as f64 * 100.0 / sum.max(1) as f64;
        let age = row
            .load_age_ms
            .map_or("-".to_owned(), |age| format!("{age:.0}"));
        text.push_str(&format!(
            "{:<6} {:>8} {:>6.1} {:>12} {:>12} {:>9} {:>8}  {}\n",
            row.kind,
            row.requests,
            share,
            row.prompt_tokens,
            row.vain_tokens,
            age,
            row.worst_moment_s,
            row.cause
        ));
    }
    text
}

impl History {
    fn find(&self, message: &str) -> Option<&Line> {
        self.lines.iter().find(|line| line.message == message)
    }

    fn find_loss(&self) -> Option<Loss> {
        let first = self.lines.first()?;
        let accepted = self.find("accepted");
        let attributes = accepted.map(|line| &line.attributes);
        let prompt_tokens = attributes.and_then(|known| parse(&known.tokens));
        let target = attributes.and_then(|known| parse::<f64>(&known.target_ms));
        let dispatched = self
            .lines
            .iter()
            .rev()
            .find(|line| line.message == "dispatched");
        Some(Loss {
            kind: if prompt_tokens.is_some() {
                "model"
            } else {
                "plain"
            },
            cause: self.cause(target),
            arrived_at: first.time,
            route: attributes
                .and_then(|known| known.outcome.clone())
                .unwrap_or_else(|| "none".to_owned()),
            prompt_tokens: prompt_tokens.unwrap_or(0),
            vain_tokens: self.vain_prefills() * prompt_tokens.unwrap_or(0),
            load_age_ms: dispatched.and_then(|line| parse(&line.attributes.ms)),
        })
    }

    /// How the request ended, and for a late or lost one what kept it.
    fn cause(&self, target: Option<f64>) -> String {
        let Some(end) = self.lines.iter().rev().find(|line| is_end(&line.message)) else {
            return match self.process_ended {
                true => format!("lost with its process, {}", self.last_phase()),
                false => "unknown: the log ends first".to_owned(),
            };
        };
        let outcome = end.attributes.outcome.as_deref().unwrap_or("?");
        match end.message.as_str() {
            "refused" if self.find("accepted").is_none() => {
                let reason: Vec<&str> = outcome.split(' ').take(2).collect();
                format!("refused on arrival: {}", reason.join(" "))
            }
            "refused" => format!("refused: {outcome}, {}", self.last_phase()),
            "stream_cut" => format!("cut: {outcome}, {}", self.last_phase()),
            "caller_gone" => format!("caller gone, {}", self.last_phase()),
            "answered" if outcome.starts_with('5') => {
                format!("failed: status {outcome} of a runner")
            }
            "answered" => match self.is_late(end, target) {
                true => format!("late: {}", self.delay()),
                false => "in time".to_owned(),
            },
            _ => self.stream_cause(target),
        }
    }

    /// Why a stream that ended completely was late, if it was.
    fn stream_cause(&self, target: Option<f64>) -> String {
        let first_event = self.find("first_event");
        let took = first_event.and_then(|line| parse::<f64>(&line.attributes.ms));
        match (took, target) {
            (Some(took), Some(target)) if took > target => {
                format!("late first event: {}", self.delay())
            }
            (Some(_), _) if self.find("paused").is_some() => {
                format!("late by a pause: {}", self.pause())
            }
            (Some(_), _) => "in time".to_owned(),
            (None, _) => "unknown: no first event logged".to_owned(),
        }
    }

    fn is_late(&self, end: &Line, target: Option<f64>) -> bool {
        let took = self.find("accepted").map(|line| end.time - line.time);
        let took = took.and_then(|took| took.num_microseconds());
        match (took, target) {
            (Some(took), Some(target)) => took as f64 / 1e3 > target,
            _ => false,
        }
    }

    /// What took longest before the first event or the answer.
    fn delay(&self) -> String {
        let until = self.find("first_event").map(|line| line.time);
        let failed = self
            .lines
            .iter()
            .find(|line| line.is_failed_attempt() && until.is_none_or(|until| line.time <= until));
        if let Some(failed) = failed {
            let outcome = failed.attributes.outcome.as_deref().unwrap_or("?");
            return format!("an attempt failed ({outcome})");
        }
        let parts = [
            ("waited for capacity", "accepted", "granted"),
            ("waited for the prefill", "granted", "generate"),
            ("waited for the runner", "generate", "first_event"),
        ];
        let longest = parts
            .iter()
            .filter_map(|(name, from, to)| Some((*name, self.time_of(to)? - self.time_of(from)?)))
            .max_by_key(|(_, took)| *took);
        longest
            .map_or("waited for the runner", |(name, _)| name)
            .to_owned()
    }

    /// When a step was first taken: an event of the log, or the dispatch of a generation.
    fn time_of(&self, step: &str) -> Option<Timestamp> {
        let is_step = |line: &&Line| match step {
            "generate" => is_dispatch(line, &["generate", "read_and_generate"]),
            other => line.message == other,
        };
        self.lines.iter().find(is_step).map(|line| line.time)
    }

    /// What made a stream pause.
    fn pause(&self) -> String {
        let paused_at = self.find("paused").map(|line| line.time);
        let started_at = self.find("first_event").map(|line| line.time);
        let moved = self.lines.iter().find(|line| {
            line.is_failed_attempt()
                && Some(line.time) >= started_at
                && Some(line.time) <= paused_at
        });
        match moved {
            Some(line) => {
                let outcome = line.attributes.outcome.as_deref().unwrap_or("?");
                format!("resumed elsewhere ({outcome})")
            }
            None => "the runner paused".to_owned(),
        }
    }

    /// What the request was doing when it ended.
    fn last_phase(&self) -> &'static str {
        let last = self.lines.iter().rev().find(|line| {
            matches!(
                line.message.as_str(),
                "waits"
                    | "granted"
                    | "dispatched"
                    | "attempt_failed"
                    | "given_up"
                    | "stands_by"
                    | "first_event"
            )
        });
        match last {
            None => "not dispatched",
            Some(line) => match line.message.as_str() {
                "waits" => "waiting for capacity",
                "granted" | "dispatched" | "stands_by" => "at a runner",
                "first_event" => "streaming",
                _ => "after a failed attempt",
            },
        }
    }

    /// Number of prefills whose result was not used for a complete stream.
    fn vain_prefills(&self) -> u64 {
        let is_prefill = |line: &&Line| is_dispatch(line, &["prefill", "read_and_generate"]);
        let begun = self
            .lines
            .iter()
            .filter(is_prefill)
            .filter(|line| !self.was_refused(line));
        let used = u64::from(self.find("stream_ended").is_some());
        (begun.count() as u64).saturating_sub(used)
    }

    /// Whether an attempt failed before its runner did any work.
    fn was_refused(&self, dispatched: &Line) -> bool {
        self.lines.iter().any(|line| {
            let outcome = line.attributes.outcome.as_deref().unwrap_or_default();
            line.message == "attempt_failed"
                && line.attributes.attempt == dispatched.attributes.attempt
                && (outcome == "Unwritten" || outcome.starts_with("Declined"))
        })
    }
}

fn is_end(message: &str) -> bool {
    matches!(
        message,
        "refused" | "answered" | "stream_ended" | "stream_cut" | "caller_gone"
    )
}

fn is_dispatch(line: &Line, operations: &[&str]) -> bool {
    let outcome = line.attributes.outcome.as_deref();
    line.message == "dispatched" && outcome.is_some_and(|outcome| operations.contains(&outcome))
}

fn parse<T: std::str::FromStr>(value: &Option<String>) -> Option<T> {
    value.as_deref()?.parse().ok()
}

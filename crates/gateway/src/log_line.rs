//! Writes the reducer's decision log as structured log lines.

use std::time::Duration;

use hornbeamtiller_http::server::{INVALID_LOG_TARGET, STOP_LOG_TARGET};
use hornbeamtiller_relay::decision_log::{Entry, Kind};
use log::kv::{Error, Key, Source, Value, VisitSource};

/// Target of lines that are not needed to examine a stop.
const TARGET: &str = "relay";

/// The fields of an entry that are set, as key-value pairs.
struct Fields<'a>(&'a Entry);

impl Source for Fields<'_> {
    fn visit<'kvs>(&'kvs self, visitor: &mut dyn VisitSource<'kvs>) -> Result<(), Error> {
        let entry = self.0;
        let mut text = |key: &'static str, value: Option<&'kvs str>| match value {
            Some(value) => visitor.visit_pair(Key::from_str(key), Value::from(value)),
            None => Ok(()),
        };
        text("request", entry.request.as_deref())?;
        text("first_request", entry.first_request.as_deref())?;
        text("runner", entry.runner.as_deref())?;
        text("outcome", entry.outcome.as_deref())?;
        text("endpoint", entry.endpoint.as_deref())?;
        text("organisation", entry.organisation.as_deref())?;
        text("charge", entry.charge.map(Into::into))?;
        text("build", entry.build.as_deref())?;
        if let Some(attempt) = entry.attempt {
            visitor.visit_pair(Key::from_str("attempt"), Value::from(attempt))?;
        }
        if let Some(version) = entry.version {
            visitor.visit_pair(Key::from_str("version"), Value::from(version))?;
        }
        if let Some(age) = entry.age {
            visitor.visit_pair(Key::from_str("ms"), Value::from(millis(age)))?;
        }
        if let Some(tokens) = entry.tokens {
            visitor.visit_pair(Key::from_str("tokens"), Value::from(tokens))?;
        }
        if let Some(connected) = entry.connected {
            visitor.visit_pair(Key::from_str("connected"), Value::from(connected))?;
        }
        if !entry.parts.0.is_empty() {
            visitor.visit_pair(Key::from_str("parts"), Value::from_display(&entry.parts))?;
        }
        if !entry.fingerprints.0.is_empty() {
            let value = Value::from_display(&entry.fingerprints);
            visitor.visit_pair(Key::from_str("fingerprint"), value)?;
        }
        if let Some(target) = entry.target {
            visitor.visit_pair(Key::from_str("target_ms"), Value::from(millis(target)))?;
        }
        Ok(())
    }
}

fn millis(duration: Duration) -> f64 {
    duration.as_micros() as f64 / 1e3
}

/// Writes an entry at level `info`, with its kind as the message.
pub fn write(entry: &Entry) {
    if !log::log_enabled!(log::Level::Info) {
        return;
    }
    let kind: &'static str = entry.kind.into();
    let target = match entry.kind {
        Kind::Leaving | Kind::Left | Kind::StreamCut => STOP_LOG_TARGET,
        _ if entry.is_invalid => INVALID_LOG_TARGET,
        _ => TARGET,
    };
    let fields = Fields(entry);
    log::logger().log(
        &log::Record::builder()
            .level(log::Level::Info)
            .target(target)
            .args(format_args!("{kind}"))
            .key_values(&fields)
            .build(),
    );
}

//! The JSON format of a ticket, and its validation.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::id;

/// Maximum number of runners of one endpoint.
const RUNNERS_MAX: usize = 10_000;

/// Kind of an endpoint's runners.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Model engines, split into prefill and decode.
    Model,
    /// A plain HTTP service.
    Service,
}

/// What a runner of a model endpoint is used for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Computes the KV cache of prompts.
    Prefill,
    /// Generates tokens.
    Decode,
    /// Both; the only role in a plain service.
    #[default]
    Both,
}

/// Configuration of a runner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunnerItem {
    /// Name, unique within the endpoint.
    pub id: id::Runner,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: id::Zone,
    /// What it is used for.
    #[serde(default)]
    pub role: Role,
    /// Whether it is being drained and gets no new requests.
    #[serde(default)]
    pub leaving: bool,
    /// Maximum number of concurrent requests.
    #[serde(default = "default_slots")]
    pub slots: u32,
}

fn default_slots() -> u32 {
    20
}

/// A pattern of calls that may be repeated: a method and a path or path prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallPattern {
    /// HTTP method, in upper case.
    pub method: String,
    /// Path relative to the endpoint, with its leading slash; a trailing `/*` matches everything
    /// below it.
    pub path: String,
}

impl CallPattern {
    /// Returns whether a call matches the pattern. The query of `path` is ignored.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let path = path.split('?').next().unwrap_or(path);
        let is_match = match self.path.strip_suffix("/*") {
            Some(prefix) => path
                .strip_prefix(prefix)
                .is_some_and(|rest| rest.starts_with('/')),
            None => path == self.path,
        };
        is_match && method == self.method
    }
}

/// Configuration of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointItem {
    /// Kind of its runners.
    pub kind: Kind,
    /// Its runners.
    pub runners: Vec<RunnerItem>,
    /// Patterns of the calls that may be repeated; every other call runs at most once.
    #[serde(default)]
    pub repeatable: Vec<CallPattern>,
    /// Scheduling class of its requests.
    #[serde(default = "default_class")]
    pub class: id::Class,
    /// Idle timeout of a runner within an exchange, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
}

fn default_class() -> id::Class {
    "interactive".into()
}

fn default_timeout_ms() -> u64 {
    10_000
}

impl EndpointItem {
    /// Returns the idle timeout of a runner within an exchange.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// Returns whether a call may be run again when its outcome is unknown.
    pub fn is_repeatable(&self, method: &str, path: &str) -> bool {
        self.repeatable
            .iter()
            .any(|pattern| pattern.matches(method, path))
    }
}

/// Configuration of a scheduling class.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassItem {
    /// Priority in the queue and at engines; lower values go first.
    pub priority: u8,
    /// Maximum time in the queue, in milliseconds.
    pub wait_ms: u64,
    /// Target for the time to the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Target for the time between tokens, in milliseconds.
    pub token_interval_ms: u64,
}

/// Limits of one organisation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// Maximum number of requests in progress at one VM.
    pub concurrent: u32,
}

/// Scheduled shutdown of the service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shutdown {
    /// When new requests begin to be refused, in seconds since the Unix epoch.
    pub at_unix: u64,
}

/// The value of one configuration item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Item {
    /// `endpoint/NAME`.
    Endpoint(EndpointItem),
    /// `class/NAME`.
    Class(ClassItem),
    /// `organisation/NAME`.
    Organisation(Limit),
    /// `service/shutdown`.
    Shutdown(Shutdown),
    /// `null`: the item is removed.
    Removed,
}

/// The validated value of an item, with its JSON.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ItemValue {
    /// The value.
    pub item: Item,
    /// Its JSON, for passing it on to peers.
    pub text: Arc<str>,
}

/// A validated ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    /// Its number; the first is 1.
    pub number: id::Ticket,
    /// The complete new value of every item that it changes.
    pub items: BTreeMap<String, ItemValue>,
    /// Its JSON, for passing it on to peers.
    pub text: Arc<str>,
}

/// Why a ticket is invalid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The text is not JSON, or not an object with `number` and `items`.
    #[error("ticket does not have the documented format: {0}")]
    Format(String),
    /// The number is zero.
    #[error("ticket number is 0; the first ticket is 1")]
    Number,
    /// An item's name has no known prefix.
    #[error("item {0:?} is not endpoint/NAME, class/NAME, organisation/NAME or service/shutdown")]
    Name(String),
    /// An item's value does not match its schema.
    #[error("item {item:?}: {reason}")]
    Value {
        /// The item.
        item: String,
        /// Message of the schema check.
        reason: String,
    },
    /// Two runners of an endpoint have the same name.
    #[error("item {item:?}: runner {runner:?} is listed twice")]
    DuplicateRunner {
        /// The item.
        item: String,
        /// The runner.
        runner: id::Runner,
    },
    /// An endpoint has too many runners.
    #[error("item {0:?}: more than 10000 runners")]
    TooManyRunners(String),
    /// A plain service's runner has the role prefill or decode.
    #[error("item {0:?}: a runner of a plain service has the role prefill or decode")]
    ServiceRole(String),
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawTicket {
    number: id::Ticket,
    items: BTreeMap<String, Value>,
}

impl Ticket {
    /// Parses and validates a ticket.
    ///
    /// # Errors
    ///
    /// All faults found, so that the author can fix them together.
    pub fn parse(text: &str) -> Result<Self, Vec<Fault>> {
        let value =
            serde_json::from_str(text).map_err(|error| vec![Fault::Format(error.to_string())])?;
        Self::check(value)
    }

    /// Reads the number of a ticket that may be invalid otherwise.
    pub fn number_of(text: &str) -> Option<id::Ticket> {
        let value: Value = serde_json::from_str(text).ok()?;
        value.get("number")?.as_u64()
    }

    /// Validates a ticket that is already parsed as JSON.
    ///
    /// # Errors
    ///
    /// As [`Ticket::parse`].
    pub fn check(value: Value) -> Result<Self, Vec<Fault>> {
        let text = value.to_string().into();
        let raw = RawTicket::deserialize(value)
            .map_err(|error| vec![Fault::Format(error.to_string())])?;
        let mut faults = Vec::new();
        if raw.number == 0 {
            faults.push(Fault::Number);
        }
        let mut items = BTreeMap::new();
        for (name, value) in raw.items {
            let text: Arc<str> = value.to_string().into();
            match validate_item(&name, value, &mut faults) {
                Ok(item) => _ = items.insert(name, ItemValue { item, text }),
                Err(fault) => faults.push(fault),
            }
        }
        if faults.is_empty() {
            Ok(Self {
                number: raw.number,
                items,
                text,
            })
        } else {
            Err(faults)
        }
    }
}

impl Item {
    /// Parses and validates the value of one item.
    ///
    /// # Errors
    ///
    /// All faults found.
    pub fn parse(name: &str, text: &str) -> Result<Self, Vec<Fault>> {
        let value =
            serde_json::from_str(text).map_err(|error| vec![Fault::Format(error.to_string())])?;
        let mut faults = Vec::new();
        let item = validate_item(name, value, &mut faults).map_err(|fault| vec![fault])?;
        if faults.is_empty() {
            Ok(item)
        } else {
            Err(faults)
        }
    }
}

fn validate_item(name: &str, value: Value, faults: &mut Vec<Fault>) -> Result<Item, Fault> {
    let (prefix, suffix) = name.split_once('/').unwrap_or((name, ""));
    let is_known = match prefix {
        "endpoint" | "class" | "organisation" => !suffix.is_empty() && !suffix.contains('/'),
        "service" => suffix == "shutdown",
        _ => false,
    };
    if !is_known {
        return Err(Fault::Name(name.to_owned()));
    }
    if value.is_null() {
        return Ok(Item::Removed);
    }
    let item = match prefix {
        "endpoint" => EndpointItem::deserialize(value).map(Item::Endpoint),
        "class" => ClassItem::deserialize(value).map(Item::Class),
        "organisation" => Limit::deserialize(value).map(Item::Organisation),
        _ => Shutdown::deserialize(value).map(Item::Shutdown),
    };
    let item = item.map_err(|error| Fault::Value {
        item: name.to_owned(),
        reason: error.to_string(),
    })?;
    if let Item::Endpoint(endpoint) = &item {
        validate_runners(name, endpoint, faults);
    }
    Ok(item)
}

fn validate_runners(name: &str, endpoint: &EndpointItem, faults: &mut Vec<Fault>) {
    if endpoint.runners.len() > RUNNERS_MAX {
        faults.push(Fault::TooManyRunners(name.to_owned()));
    }
    let mut names = BTreeSet::new();
    for runner in &endpoint.runners {
        if !names.insert(&runner.id) {
            faults.push(Fault::DuplicateRunner {
                item: name.to_owned(),
                runner: runner.id.clone(),
            });
        }
    }
    let has_model_role = endpoint
        .runners
        .iter()
        .any(|runner| runner.role != Role::Both);
    if endpoint.kind == Kind::Service && has_model_role {
        faults.push(Fault::ServiceRole(name.to_owned()));
    }
}

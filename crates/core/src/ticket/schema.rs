//! The JSON form of a ticket and the checks on it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::id;

/// Largest number of runners in one endpoint.
const RUNNERS_MAX: usize = 10_000;

/// What kind of back end an endpoint has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Model engines, split into prefill and decode.
    Model,
    /// A plain HTTP service.
    Service,
}

/// What a runner of a model endpoint does.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Computes the KV cache of prompts.
    Prefill,
    /// Generates tokens.
    Decode,
    /// Does both; the only role in a plain service.
    #[default]
    Both,
}

/// A runner as a ticket states it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunnerItem {
    /// Name, unique within the endpoint.
    pub id: id::Runner,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: id::Zone,
    /// What it does.
    #[serde(default)]
    pub role: Role,
    /// Whether it gets no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Requests that it runs at a time.
    #[serde(default = "default_slots")]
    pub slots: u32,
}

fn default_slots() -> u32 {
    20
}

/// Calls that may be repeated: a method and the start of a path.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallPattern {
    /// HTTP method, in capitals.
    pub method: String,
    /// Path below the endpoint, with its leading slash; `/*` at the end takes all below it.
    pub path: String,
}

impl CallPattern {
    /// Tells whether a call is one of these.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let path = path.split('?').next().unwrap_or(path);
        let fits = match self.path.strip_suffix("/*") {
            Some(start) => path
                .strip_prefix(start)
                .is_some_and(|rest| rest.starts_with('/')),
            None => path == self.path,
        };
        fits && method == self.method
    }
}

/// An endpoint as a ticket states it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointItem {
    /// Kind of its back ends.
    pub kind: Kind,
    /// Its runners.
    pub runners: Vec<RunnerItem>,
    /// Calls that may be repeated; every other call runs at most once.
    #[serde(default)]
    pub repeatable: Vec<CallPattern>,
    /// Class of its work.
    #[serde(default = "default_class")]
    pub class: id::Class,
    /// Longest silence of a runner within an exchange, in milliseconds.
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
    /// Longest silence of a runner within an exchange.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// Tells whether a call may be run again when its outcome is not known.
    pub fn is_repeatable(&self, method: &str, path: &str) -> bool {
        self.repeatable
            .iter()
            .any(|call| call.matches(method, path))
    }
}

/// A class of work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassItem {
    /// Order in the queue and at engines; lower goes first.
    pub priority: u8,
    /// Longest wait for a runner, in milliseconds.
    pub wait_ms: u64,
    /// Target of the time to first token, in milliseconds.
    pub first_token_ms: u64,
    /// Target of the time between tokens, in milliseconds.
    pub token_interval_ms: u64,
}

/// A limit of one organisation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// Requests in progress at one VM.
    pub concurrent: u32,
}

/// The end of the service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shutdown {
    /// From when new work is refused, in seconds since the Unix epoch.
    pub at_unix: u64,
}

/// The value of one item.
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
    /// Null: the item is removed.
    Removed,
}

/// A checked value with its JSON.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ItemValue {
    /// The value.
    pub item: Item,
    /// Its JSON, to be passed on.
    pub text: Arc<str>,
}

/// A checked ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    /// Its number; the first is 1.
    pub number: id::Ticket,
    /// The whole new value of every item that it touches.
    pub items: BTreeMap<String, ItemValue>,
    /// Its JSON, to be passed on.
    pub text: Arc<str>,
}

/// What is wrong with a ticket.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// Not JSON, or not an object with `number` and `items`.
    #[error("ticket is not of the documented shape: {0}")]
    Shape(String),
    /// The number is zero.
    #[error("ticket number is 0; the first ticket is 1")]
    Number,
    /// An item's name has no known prefix.
    #[error("item {0:?} is not endpoint/NAME, class/NAME, organisation/NAME or service/shutdown")]
    Name(String),
    /// An item's value does not fit its schema.
    #[error("item {item:?}: {reason}")]
    Value {
        /// The item.
        item: String,
        /// What the schema check said.
        reason: String,
    },
    /// Two runners of an endpoint have one name.
    #[error("item {item:?}: runner {runner:?} stands twice")]
    DuplicateRunner {
        /// The item.
        item: String,
        /// The runner.
        runner: id::Runner,
    },
    /// An endpoint has too many runners.
    #[error("item {0:?}: more than 10000 runners")]
    TooManyRunners(String),
    /// A plain service's runner has a role.
    #[error("item {0:?}: a runner of a plain service has the role prefill or decode")]
    ServiceRole(String),
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    number: id::Ticket,
    items: BTreeMap<String, Value>,
}

impl Ticket {
    /// Reads and checks a ticket.
    ///
    /// # Errors
    ///
    /// All faults found, so that the author mends them in one go.
    pub fn parse(text: &str) -> Result<Self, Vec<Fault>> {
        let value =
            serde_json::from_str(text).map_err(|error| vec![Fault::Shape(error.to_string())])?;
        Self::check(value)
    }

    /// Reads the number of a ticket that may fail its check.
    pub fn number_of(text: &str) -> Option<id::Ticket> {
        let value: Value = serde_json::from_str(text).ok()?;
        value.get("number")?.as_u64()
    }

    /// Checks a ticket that is already JSON.
    ///
    /// # Errors
    ///
    /// As [`Ticket::parse`].
    pub fn check(value: Value) -> Result<Self, Vec<Fault>> {
        let text = value.to_string().into();
        let raw = Raw::deserialize(value).map_err(|error| vec![Fault::Shape(error.to_string())])?;
        let mut faults = Vec::new();
        if raw.number == 0 {
            faults.push(Fault::Number);
        }
        let mut items = BTreeMap::new();
        for (name, value) in raw.items {
            let text: Arc<str> = value.to_string().into();
            match check_item(&name, value, &mut faults) {
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
    /// Reads the value of one item.
    ///
    /// # Errors
    ///
    /// All faults found.
    pub fn parse(name: &str, text: &str) -> Result<Self, Vec<Fault>> {
        let value =
            serde_json::from_str(text).map_err(|error| vec![Fault::Shape(error.to_string())])?;
        let mut faults = Vec::new();
        let item = check_item(name, value, &mut faults).map_err(|fault| vec![fault])?;
        if faults.is_empty() {
            Ok(item)
        } else {
            Err(faults)
        }
    }
}

fn check_item(name: &str, value: Value, faults: &mut Vec<Fault>) -> Result<Item, Fault> {
    let (prefix, rest) = name.split_once('/').unwrap_or((name, ""));
    let known = match prefix {
        "endpoint" | "class" | "organisation" => !rest.is_empty() && !rest.contains('/'),
        "service" => rest == "shutdown",
        _ => false,
    };
    if !known {
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
        check_runners(name, endpoint, faults);
    }
    Ok(item)
}

fn check_runners(name: &str, endpoint: &EndpointItem, faults: &mut Vec<Fault>) {
    if endpoint.runners.len() > RUNNERS_MAX {
        faults.push(Fault::TooManyRunners(name.to_owned()));
    }
    let mut seen = BTreeSet::new();
    for runner in &endpoint.runners {
        if !seen.insert(&runner.id) {
            faults.push(Fault::DuplicateRunner {
                item: name.to_owned(),
                runner: runner.id.clone(),
            });
        }
    }
    let has_role = endpoint
        .runners
        .iter()
        .any(|runner| runner.role != Role::Both);
    if endpoint.kind == Kind::Service && has_role {
        faults.push(Fault::ServiceRole(name.to_owned()));
    }
}

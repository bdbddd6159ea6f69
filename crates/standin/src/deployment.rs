//! The two sample deployments: their endpoints, runners and zones, and their first ticket.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{json, Value};
use strum::{Display, EnumString};

/// A sample deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Deployment {
    /// Myto Szlak sp. z o.o.
    Myto,
    /// Lakeshore Safelight Labs.
    Lakeshore,
}

/// The role of a runner, as the ticket names it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// A model engine that prefills.
    Prefill,
    /// A model engine that decodes.
    Decode,
    /// A plain service.
    Both,
}

/// A runner to start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Runner {
    /// ID of the runner.
    pub id: String,
    /// Endpoint that it serves.
    pub endpoint: &'static str,
    /// Availability zone.
    pub zone: &'static str,
    /// Role of the runner.
    pub role: Role,
}

impl Deployment {
    /// Returns the availability zones.
    pub fn zones(self) -> [&'static str; 3] {
        match self {
            Self::Myto => ["pl-central-a", "pl-central-b", "pl-central-c"],
            Self::Lakeshore => ["north-wing", "harbor-hall", "south-annex"],
        }
    }

    /// Returns the name of the model endpoint.
    pub fn model(self) -> &'static str {
        match self {
            Self::Myto => "summarizer",
            Self::Lakeshore => "digest-llm",
        }
    }

    /// Returns the name of the plain service's endpoint.
    pub fn service(self) -> &'static str {
        match self {
            Self::Myto => "payments-app",
            Self::Lakeshore => "booking-app",
        }
    }

    /// Returns a service path whose calls may be repeated, and one whose calls may not.
    pub fn service_paths(self) -> (&'static str, &'static str) {
        match self {
            Self::Myto => ("/balance/fleet-7", "/top-up"),
            Self::Lakeshore => ("/availability/room-3", "/bookings"),
        }
    }

    /// Returns the numbers of prefill, decode and service runners.
    fn runner_counts(self) -> (usize, usize, usize) {
        match self {
            Self::Myto => (3, 6, 3),
            Self::Lakeshore => (4, 7, 3),
        }
    }

    /// Returns the runners.
    pub fn runners(self) -> Vec<Runner> {
        let (prefill, decode, service) = self.runner_counts();
        let zones = self.zones();
        let group = |count: usize, letter: &'static str, endpoint, role| {
            (0..count).map(move |at| Runner {
                id: format!("{letter}{}", at + 1),
                endpoint,
                zone: zones[at % zones.len()],
                role,
            })
        };
        let mut all: Vec<Runner> =
            group(prefill, "prefill-", self.model(), Role::Prefill).collect();
        all.extend(group(decode, "decode-", self.model(), Role::Decode));
        all.extend(group(service, "app-", self.service(), Role::Both));
        all
    }

    /// Returns the items of the first ticket, with the runners at the given addresses.
    pub fn ticket_items(self, runners: &[(Runner, SocketAddr)]) -> Value {
        let runner_items = |endpoint: &str| -> Vec<Value> {
            let matching = runners
                .iter()
                .filter(|(runner, _)| runner.endpoint == endpoint);
            matching
                .map(|(runner, address)| {
                    json!({
                        "id": runner.id, "address": address.to_string(), "zone": runner.zone,
                        "role": runner.role.to_string(), "slots": 20,
                    })
                })
                .collect()
        };
        let (read, _) = self.service_paths();
        let start = read.split('/').nth(1).unwrap_or_default();
        let mut items = serde_json::Map::new();
        items.insert(
            format!("endpoint/{}", self.model()),
            json!({ "kind": "model", "class": "summary", "timeout_ms": 10_000, "runners": runner_items(self.model()) }),
        );
        items.insert(
            format!("endpoint/{}", self.service()),
            json!({
                "kind": "service", "class": "interactive", "timeout_ms": 3_000, "runners": runner_items(self.service()),
                "repeatable": [{ "method": "GET", "path": format!("/{start}/*") }],
            }),
        );
        items.insert("class/interactive".to_owned(), class(10, 2_000));
        items.insert("class/summary".to_owned(), class(50, 30_000));
        Value::Object(items)
    }
}

fn class(priority: u8, wait_ms: u64) -> Value {
    json!({ "priority": priority, "wait_ms": wait_ms, "first_token_ms": 690, "token_interval_ms": 27 })
}

/// Usual time that a plain service takes for a call.
pub const SERVICE_TIME: Duration = Duration::from_millis(2);

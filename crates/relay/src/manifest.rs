//! The configuration of routes and endpoints, replaced whole by each higher version.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use crate::id;

/// What may be done with a request more than once.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumString, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// It may run any number of times.
    Idempotent,
    /// It runs at most once.
    NonIdempotent,
    /// Its answer is a stream of numbered events.
    Streaming,
}

/// One way from a host and a path to an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name, for logs.
    pub name: Arc<str>,
    /// The `Host` that it serves, in lower case.
    pub host: Arc<str>,
    /// Start of the paths that it serves; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: Kind,
    /// Endpoints and their weights; at least one weight is above zero.
    pub targets: Vec<(id::Endpoint, u32)>,
    /// Longest time that a request is kept without its final answer.
    pub timeout: Duration,
    /// Time to the answer, or to the first event of a stream, that callers want.
    pub target_latency: Duration,
    /// Rank among requests; 0 goes first.
    pub priority: u8,
    /// Most runners that one request may run at.
    pub max_attempts: u32,
    /// Whether a broken stream may go on at another runner.
    pub resumable: bool,
    /// Longest pause between events that callers want.
    pub target_event_gap: Duration,
}

impl Route {
    /// Tells whether a request may be sent again when it may have run.
    pub fn is_retryable(&self) -> bool {
        match self.kind {
            Kind::Idempotent => true,
            Kind::NonIdempotent => false,
            Kind::Streaming => self.resumable,
        }
    }

    /// Picks an endpoint by weight.
    pub fn pick_endpoint(&self, rng: &mut impl Rng) -> Option<&id::Endpoint> {
        let sum: u32 = self.targets.iter().map(|(_, weight)| weight).sum();
        if sum == 0 {
            return None;
        }
        let mut left = rng.random_range(0..sum);
        for (endpoint, weight) in &self.targets {
            if left < *weight {
                return Some(endpoint);
            }
            left -= weight;
        }
        None
    }
}

/// Facts of the model engines of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Engine {
    /// Requests that an engine runs at once.
    pub slots: u32,
    /// Tokens that its KV memory holds.
    pub kv_capacity_tokens: u64,
}

/// A pool of runners.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// Set where the runners are model engines.
    pub engine: Option<Engine>,
}

/// Bounds on what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a head.
    pub head_bytes: usize,
    /// Bytes of a body.
    pub body_bytes: usize,
    /// Time for a head to come.
    pub head_timeout: Duration,
    /// Time that a connection may stay idle.
    pub idle_timeout: Duration,
}

/// One version of the configuration.
#[derive(Debug, Clone)]
pub struct Manifest {
    /// Its version.
    pub version: id::Version,
    /// The endpoints.
    pub endpoints: BTreeMap<id::Endpoint, Endpoint>,
    /// Bounds on what callers may send.
    pub limits: Limits,
    /// The manifest as the configuration service holds it.
    pub source: Arc<[u8]>,
    routes: HashMap<Arc<str>, HashMap<Arc<str>, Arc<Route>>>,
}

impl Manifest {
    /// Makes a manifest and its index of routes.
    pub fn new(
        version: id::Version,
        routes: Vec<Route>,
        endpoints: BTreeMap<id::Endpoint, Endpoint>,
        limits: Limits,
        source: Arc<[u8]>,
    ) -> Self {
        let mut index: HashMap<Arc<str>, HashMap<Arc<str>, Arc<Route>>> = HashMap::new();
        for route in routes {
            let paths = index.entry(route.host.clone()).or_default();
            paths.insert(route.prefix.clone(), Arc::new(route));
        }
        Self {
            version,
            endpoints,
            limits,
            source,
            routes: index,
        }
    }

    /// Finds the route with the longest prefix of the path; `host` is in lower case.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let paths = self.routes.get(host)?;
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(route) = paths.get(&path[..=slash]) {
                return Some(route);
            }
            end = slash;
        }
        None
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(HashMap::len).sum()
    }
}

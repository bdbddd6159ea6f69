//! Configuration of routes and endpoints; each higher version replaces the one before completely.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use crate::id;
use crate::organisation::{self, Credential, Identity, Unauthorized};

/// Whether a request may be executed more than once.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumString, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// It may be executed any number of times.
    Idempotent,
    /// It is executed at most once.
    NonIdempotent,
    /// The response is a stream of numbered events.
    Streaming,
}

/// Maps a host and a path prefix to an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name, for the log.
    pub name: Arc<str>,
    /// Value of `Host` that it matches, in lower case.
    pub host: Arc<str>,
    /// Path prefix that it matches; starts and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether requests may be executed more than once.
    pub kind: Kind,
    /// Endpoints and their weights; at least one weight is not zero.
    pub targets: Vec<(id::Endpoint, u32)>,
    /// Longest time until the final response.
    pub timeout: Duration,
    /// Target time to the response, or to the first event of a stream.
    pub target_latency: Duration,
    /// Priority of the requests; 0 is the highest.
    pub priority: u8,
    /// Maximum number of attempts that runners may execute for one request.
    pub attempts_max: u32,
    /// Whether a broken stream may be resumed at another runner.
    pub resumable: bool,
    /// Target for the longest gap between two events of a stream.
    pub target_event_gap: Duration,
    /// How long callers wait for the next event of a stream, or the first, before they leave.
    pub event_patience: Duration,
    /// Whether requests need no key of an organisation.
    pub allows_anonymous: bool,
}

impl Route {
    /// Whether a request may be sent again after it may have been executed.
    pub fn is_retryable(&self) -> bool {
        match self.kind {
            Kind::Idempotent => true,
            Kind::NonIdempotent => false,
            Kind::Streaming => self.resumable,
        }
    }

    /// Picks an endpoint at random by weight; none if all weights are zero.
    pub fn pick_endpoint(&self, rng: &mut impl Rng) -> Option<&id::Endpoint> {
        let weights = self.targets.iter().map(|(_, weight)| u64::from(*weight));
        let sum: u64 = weights.sum();
        if sum == 0 {
            return None;
        }
        let mut remaining = rng.random_range(0..sum);
        for (endpoint, weight) in &self.targets {
            let weight = u64::from(*weight);
            if remaining < weight {
                return Some(endpoint);
            }
            remaining -= weight;
        }
        None
    }
}

/// Limits of an endpoint's model engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Engine {
    /// Requests that an engine executes concurrently.
    pub slots: u32,
    /// Capacity of its KV memory, in tokens.
    pub kv_capacity_tokens: u64,
}

/// A pool of interchangeable runners.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// Limits of an engine, if the runners are model engines.
    pub engine: Option<Engine>,
}

/// Limits on requests from callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Time limit for receiving a request head.
    pub head_timeout: Duration,
    /// Time limit for an idle connection.
    pub idle_timeout: Duration,
}

/// One version of the configuration.
#[derive(Clone)]
pub struct Manifest {
    /// Its version.
    pub version: id::Version,
    /// The endpoints.
    pub endpoints: BTreeMap<id::Endpoint, Endpoint>,
    /// Limits on requests from callers.
    pub limits: Limits,
    /// The organisations whose callers may send requests; without a table, anybody may.
    pub organisations: Option<organisation::Table>,
    /// The manifest in the configuration service's encoding.
    pub source: Arc<[u8]>,
    /// Longest timeout of a route of streams; zero if there is none.
    pub stream_timeout_max: Duration,
    /// Least target latency of the routes to each endpoint.
    target_latencies: HashMap<id::Endpoint, Duration>,
    routes: HashMap<Arc<str>, HashMap<Arc<str>, Arc<Route>>>,
    /// Length of the longest prefix of a route, in bytes.
    prefix_bytes_max: usize,
}

impl Manifest {
    /// Creates a manifest and indexes its routes.
    pub fn new(
        version: id::Version,
        routes: Vec<Route>,
        endpoints: BTreeMap<id::Endpoint, Endpoint>,
        limits: Limits,
        organisations: Option<organisation::Table>,
        source: Arc<[u8]>,
    ) -> Self {
        let streaming = routes.iter().filter(|route| route.kind == Kind::Streaming);
        let stream_timeout_max = streaming.map(|route| route.timeout).max();
        let mut target_latencies: HashMap<id::Endpoint, Duration> = HashMap::new();
        for route in &routes {
            for (endpoint, _) in &route.targets {
                let least = target_latencies.entry(endpoint.clone());
                let least = least.or_insert(route.target_latency);
                *least = route.target_latency.min(*least);
            }
        }
        let prefix_bytes_max = routes.iter().map(|route| route.prefix.len()).max();
        let mut index: HashMap<Arc<str>, HashMap<Arc<str>, Arc<Route>>> = HashMap::new();
        for route in routes {
            let paths = index.entry(route.host.clone()).or_default();
            paths.insert(route.prefix.clone(), Arc::new(route));
        }
        Self {
            version,
            endpoints,
            limits,
            organisations,
            source,
            stream_timeout_max: stream_timeout_max.unwrap_or_default(),
            target_latencies,
            routes: index,
            prefix_bytes_max: prefix_bytes_max.unwrap_or(0),
        }
    }

    /// Finds the route with the longest prefix that matches the path; `host` must be in lower case.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let paths = self.routes.get(host)?;
        // A path may have thousands of slashes; no prefix is found beyond the longest one.
        let mut end = path.len().min(self.prefix_bytes_max);
        while !path.is_char_boundary(end) {
            end -= 1;
        }
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(route) = paths.get(&path[..=slash]) {
                return Some(route);
            }
            end = slash;
        }
        None
    }

    /// Finds out who sent a request, by its credential and its route, if it has one.
    ///
    /// # Errors
    ///
    /// [`Unauthorized`] if the request needs a key and has none, or has one that is not valid.
    pub fn authenticate(
        &self,
        credential: &Credential,
        request: &str,
        route: Option<&Route>,
    ) -> Result<Identity, Unauthorized> {
        let Some(organisations) = &self.organisations else {
            return Ok(Identity::Open);
        };
        let allows_anonymous = route.is_some_and(|route| route.allows_anonymous);
        organisations.authenticate(credential, request, allows_anonymous)
    }

    /// Least target latency of the routes to an endpoint; none if no route leads there.
    pub fn target_latency(&self, endpoint: &id::Endpoint) -> Option<Duration> {
        self.target_latencies.get(endpoint).copied()
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(HashMap::len).sum()
    }
}

impl std::fmt::Debug for Manifest {
    /// Leaves out the encoded manifest, which contains API keys.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Manifest")
            .field("version", &self.version)
            .field("endpoints", &self.endpoints)
            .field("limits", &self.limits)
            .field("organisations", &self.organisations)
            .field("routes", &self.routes)
            .finish_non_exhaustive()
    }
}

//! Which software versions hold the prompts of streams.
//!
//! A decode engine keeps the parts of a prompt for some time after the stream has broken off. The last part
//! belongs to the request or to its session, so an engine that holds it has been given the request, or an earlier one
//! of the session, at its software version. Where no VM knows any more which software version began a stream, that is
//! the evidence left. It counts only if no engine of another version can have begun the stream: engines of two
//! versions that hold the part contradict each other; those of a version of which none has listed what it holds may hold it
//! too, and so may those of a version that has lost all of them since the stream may have begun. A prefill engine proves nothing,
//! as it begins no stream.
//!
//! A version that has lost some of its engines may have lost the one that began the stream. That matters only where sessions
//! move between versions, as a session of one version is held by no other. Once engines of two versions are found
//! to hold the prompt of one stream, sessions do move, and what other versions hold counts only while each engine of
//! the rest has listed what it holds.
//!
//! Engines work more slowly while they list what they hold, so one VM asks them for all others, all of an endpoint at
//! once and at most once per interval. What an engine has held still counts after it has dropped it, for as long as
//! a stream may go on.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::Duration;

use crate::id;
use crate::origin::{Origin, Record, Table};
use crate::pool::Instance;

/// Interval after which the engines of an endpoint are asked again.
pub const LISTING_INTERVAL: Duration = Duration::from_secs(2);
/// How long engines have to answer.
pub const LISTING_TIMEOUT: Duration = Duration::from_millis(400);
/// How long the history of the list of runners is awaited.
pub const HISTORY_TIMEOUT: Duration = Duration::from_millis(800);

/// Where the prompt of a stream is held.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holding {
    /// The endpoint, and the only software version there that has held it.
    pub origin: Origin,
    /// An engine that held it when it was last asked.
    pub engine: Option<id::Runner>,
}

/// One time that the engines of an endpoint are asked.
#[derive(Debug)]
struct Listing {
    started_at: Duration,
    awaited: BTreeSet<Instance>,
    /// All engines of the endpoint.
    known: BTreeSet<Instance>,
    /// The engines that have not listed what they hold, with their software versions.
    unlisted: BTreeMap<Instance, id::Build>,
    /// Software versions of which an engine has listed what it holds, now or before.
    listed_builds: BTreeSet<id::Build>,
    held: HashMap<id::Runner, HashSet<id::Part>>,
}

/// What the decode engines have listed.
#[derive(Debug, Default)]
pub struct Index {
    /// Where parts are held or were, by the number of the part.
    origins: Table,
    listings: HashMap<id::Endpoint, Listing>,
    /// Until when sessions of an endpoint count as ones that move between software versions.
    moving_until: HashMap<id::Endpoint, Duration>,
    /// When an engine of a software version of an endpoint was dropped from the pool that never listed what it held.
    dropped_unlisted: BTreeMap<Origin, Duration>,
}

impl Index {
    /// Whether the engines of an endpoint are to be asked, for the first time or again.
    pub fn is_due(&self, endpoint: &id::Endpoint, now: Duration) -> bool {
        let last = self.listings.get(endpoint);
        last.is_none_or(|last| last.started_at + LISTING_INTERVAL <= now)
    }

    /// Records that engines of an endpoint are asked: those of `asked`. `engines` are all of the endpoint, with their
    /// software versions; one that has answered before need not do so again, as evidence outlasts the listing.
    pub fn start(
        &mut self,
        endpoint: &id::Endpoint,
        asked: BTreeSet<Instance>,
        engines: BTreeMap<Instance, id::Build>,
        now: Duration,
    ) {
        let last = self.listings.get(endpoint);
        let unlisted = last.into_iter().flat_map(|last| &last.unlisted);
        let dropped = unlisted.filter(|(engine, _)| !engines.contains_key(*engine));
        for (_, build) in dropped {
            let origin = Origin {
                endpoint: endpoint.clone(),
                build: build.clone(),
            };
            self.dropped_unlisted.insert(origin, now);
        }
        let is_unlisted = |engine: &Instance| {
            last.is_none_or(|last| {
                !last.known.contains(engine) || last.unlisted.contains_key(engine)
            })
        };
        let listed_builds = last.map(|last| last.listed_builds.clone());
        let known = engines.keys().cloned().collect();
        let unlisted = engines
            .into_iter()
            .filter(|(engine, _)| is_unlisted(engine))
            .collect();
        let listing = Listing {
            started_at: now,
            awaited: asked,
            known,
            unlisted,
            listed_builds: listed_builds.unwrap_or_default(),
            held: HashMap::new(),
        };
        self.listings.insert(endpoint.clone(), listing);
    }

    /// Records that an engine has listed what it holds, or has not in time.
    pub fn end(&mut self, endpoint: &id::Endpoint, engine: &Instance, is_listed: bool) {
        let Some(listing) = self.listings.get_mut(endpoint) else {
            return;
        };
        listing.awaited.remove(engine);
        if is_listed {
            let build = listing.unlisted.remove(engine);
            listing.listed_builds.extend(build);
        }
    }

    /// Whether another software version has engines of which none has listed what it holds, so that they may hold any part.
    /// One that has not, beside others of its version, may be on its way out.
    pub fn is_unlisted_elsewhere(&self, origin: &Origin) -> bool {
        let listing = self.listings.get(&origin.endpoint);
        listing.is_some_and(|listing| {
            let mut builds = listing.unlisted.values();
            builds.any(|build| *build != origin.build && !listing.listed_builds.contains(build))
        })
    }

    /// Records that the origin of a stream with this prompt is looked for. If engines of two software versions hold its last part, or
    /// held it, sessions move between versions, for all that `lifetime` says of evidence.
    pub fn note_question(
        &mut self,
        endpoint: &id::Endpoint,
        part: id::Part,
        lifetime: Duration,
        now: Duration,
    ) {
        if self.origins.is_contradictory(part, now) {
            self.moving_until.insert(endpoint.clone(), now + lifetime);
        }
    }

    /// Whether sessions of an endpoint have lately moved between software versions.
    pub fn has_moving_sessions(&self, endpoint: &id::Endpoint, now: Duration) -> bool {
        let until = self.moving_until.get(endpoint);
        until.is_some_and(|until| *until > now)
    }

    /// Whether an engine of another software version has not listed what it holds, or has been gone since a time without
    /// having done so.
    pub fn lacks_engine_elsewhere(&self, origin: &Origin, since: Duration) -> bool {
        let listing = self.listings.get(&origin.endpoint);
        let unlisted = listing
            .into_iter()
            .flat_map(|listing| listing.unlisted.values());
        let dropped = self.dropped_unlisted.iter();
        let dropped =
            dropped.filter(|(lost, at)| lost.endpoint == origin.endpoint && **at >= since);
        let mut builds = unlisted.chain(dropped.map(|(lost, _)| &lost.build));
        builds.any(|build| *build != origin.build)
    }

    /// Records the parts that an engine holds, as evidence that counts for `lifetime`.
    pub fn record(
        &mut self,
        engine: &id::Runner,
        origin: &Origin,
        parts: &[id::Part],
        lifetime: Duration,
        now: Duration,
    ) {
        for part in parts {
            let record = Record {
                stream: *part,
                session: None,
                origin: origin.clone(),
                lifetime,
            };
            self.origins.insert(record, now);
        }
        if let Some(listing) = self.listings.get_mut(&origin.endpoint) {
            let parts = parts.iter().copied().collect();
            listing.held.insert(engine.clone(), parts);
        }
    }

    /// Whether engines of an endpoint have still to answer, or were not asked at all.
    pub fn is_pending(&self, endpoint: &id::Endpoint, now: Duration) -> bool {
        let last = self.listings.get(endpoint);
        last.is_none_or(|last| !last.awaited.is_empty() && last.started_at + LISTING_TIMEOUT > now)
    }

    /// Where a part is held, if the engines that hold it are all of one software version.
    pub fn find(&self, part: id::Part, now: Duration) -> Option<Holding> {
        let origin = self.origins.get(part, now)?.clone();
        let listing = self.listings.get(&origin.endpoint);
        let mut held = listing.into_iter().flat_map(|listing| &listing.held);
        let engine = held.find(|(_, parts)| parts.contains(&part));
        Some(Holding {
            origin,
            engine: engine.map(|(engine, _)| engine.clone()),
        })
    }

    /// Number of parts.
    pub fn len(&self) -> usize {
        self.origins.len()
    }

    /// Whether no part is known.
    pub fn is_empty(&self) -> bool {
        self.origins.is_empty()
    }

    /// Drops the evidence that has expired, and what was noticed of engines before `since`.
    pub fn evict(&mut self, now: Duration, since: Duration) {
        self.origins.evict(now);
        self.moving_until.retain(|_, until| *until > now);
        self.dropped_unlisted.retain(|_, at| *at >= since);
    }
}

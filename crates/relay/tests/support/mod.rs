//! Test harness: the reducer of one VM, with a small fleet of runners and a manual clock.

#![allow(dead_code, reason = "each test file uses its own part")]

pub mod caps;
pub mod cases;
pub mod check;
pub mod fleet;
pub mod limits;
pub mod observe;
pub mod order;
pub mod overload;
pub mod poison;
pub mod reach;
pub mod resume;
pub mod storm;
pub mod uneven;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hornbeamtiller_relay::allocation::{self, Claim};
use hornbeamtiller_relay::crash::Circumstance;
use hornbeamtiller_relay::event::{Arrival, Dispatch, Effect, Event, Operation, Outcome, Prompt};
use hornbeamtiller_relay::id;
use hornbeamtiller_relay::manifest::{Endpoint, Engine, Kind, Limits, Manifest, Route};
use hornbeamtiller_relay::member::{Descriptor as MemberDescriptor, ManifestWish, Status, View};
use hornbeamtiller_relay::organisation::Credential;
use hornbeamtiller_relay::pool::{Descriptor, Load, Role};
use hornbeamtiller_relay::reduce::reduce;
use hornbeamtiller_relay::refusal::Refusal;
use hornbeamtiller_relay::settings::Settings;
use hornbeamtiller_relay::state::State;

/// Host of all routes.
pub const HOST: &str = "pay.example";
/// Path of requests that are executed at most once.
pub const NON_IDEMPOTENT: &str = "/once/1";
/// Path of requests that may be repeated.
pub const IDEMPOTENT: &str = "/read/1";
/// Path of streams that may be resumed at another runner.
pub const STREAM: &str = "/stream/1";
/// Path of streams that may not be resumed.
pub const STREAM_NOT_RESUMABLE: &str = "/stream-once/1";
/// Software version of all runners, unless a test sets another.
pub const BUILD: &str = "v1";
/// KV memory of an engine, in tokens.
pub const KV_TOKENS: u64 = 100_000;

/// Size of a prompt, and of the response to it, in tokens.
const PROMPT_TOKENS: u64 = 5_000;
const OUTPUT_TOKENS: u64 = 4_000;
/// Weight of `vm-1`, so high that it allocates all engines.
const ALLOCATOR_WEIGHT: u32 = 1 << 30;

pub const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Removes the items that are due and returns them.
pub fn take_due<T>(items: &mut Vec<T>, is_due: impl Fn(&T) -> bool) -> Vec<T> {
    let (due, rest) = std::mem::take(items).into_iter().partition(is_due);
    *items = rest;
    due
}

/// The address of a host of the tests.
fn address(host: u16, port: u16) -> SocketAddr {
    let [high, low] = host.to_be_bytes();
    SocketAddr::from(([127, 0, high, low], port))
}

pub fn settings() -> Settings {
    Settings {
        vm: "vm-1".into(),
        zone: "a".into(),
        retry_ratio: 0.2,
        retry_slack: 50.0,
        retry_window: Duration::from_secs(10),
        directory_ttl: Duration::from_secs(1),
        grace_period: Duration::from_secs(8),
        drain_timeout: Duration::from_secs(2),
        quota_window: Duration::from_secs(8),
        quota_overage: 0.25,
        quota_slack: 120_000.0,
        overload_control: false,
        revocation_timeout: None,
    }
}

pub fn member(vm: &str, host: u8, incarnation: u64) -> MemberDescriptor {
    MemberDescriptor {
        vm: vm.into(),
        incarnation,
        version: 1,
        zone: "a".into(),
        caller_address: address(host.into(), 8080),
        peer_address: address(host.into(), 8081),
        status: Status::Ready,
        weight: 1,
    }
}

pub fn descriptor(runner: &str, endpoint: &str, host: u8, role: Option<Role>) -> Descriptor {
    Descriptor {
        runner: runner.into(),
        endpoint: endpoint.into(),
        address: address(host.into(), 8080),
        zone: "a".into(),
        slots: 6,
        draining: false,
        role,
        build: BUILD.into(),
        started_at_ms: 1,
        revision: 5,
    }
}

pub fn route(prefix: &str, kind: Kind, endpoint: &str, resumable: bool) -> Route {
    Route {
        name: prefix.into(),
        host: HOST.into(),
        prefix: prefix.into(),
        kind,
        targets: vec![(endpoint.into(), 1)],
        timeout: if kind == Kind::Streaming {
            ms(14_000)
        } else {
            ms(800)
        },
        target_latency: if kind == Kind::Streaming {
            ms(900)
        } else {
            ms(300)
        },
        priority: 1,
        attempts_max: 2,
        resumable,
        target_event_gap: ms(300),
        event_patience: ms(3_600),
        allows_anonymous: false,
    }
}

pub fn routes() -> Vec<Route> {
    vec![
        route("/once/", Kind::NonIdempotent, "pay", false),
        route("/read/", Kind::Idempotent, "pay", false),
        route("/stream/", Kind::Streaming, "llm", true),
        route("/stream-once/", Kind::Streaming, "llm", false),
    ]
}

pub fn manifest(version: id::Version, routes: Vec<Route>) -> Arc<Manifest> {
    let engine = Engine {
        slots: 16,
        kv_capacity_tokens: KV_TOKENS,
    };
    let endpoints = BTreeMap::from([
        (Arc::from("pay"), Endpoint { engine: None }),
        (
            Arc::from("llm"),
            Endpoint {
                engine: Some(engine),
            },
        ),
    ]);
    let limits = Limits {
        head_bytes: 16 << 10,
        body_bytes: 1 << 20,
        head_timeout: ms(3_000),
        idle_timeout: ms(15_000),
    };
    Arc::new(Manifest::new(
        version,
        routes,
        endpoints,
        limits,
        None,
        Arc::from([]),
    ))
}

/// Three plain runners, two prefill runners and two decode runners.
pub fn descriptors() -> Vec<Descriptor> {
    vec![
        descriptor("pay-1", "pay", 11, None),
        descriptor("pay-2", "pay", 12, None),
        descriptor("pay-3", "pay", 13, None),
        descriptor("read-1", "llm", 21, Some(Role::Prefill)),
        descriptor("read-2", "llm", 22, Some(Role::Prefill)),
        descriptor("make-1", "llm", 31, Some(Role::Decode)),
        descriptor("make-2", "llm", 32, Some(Role::Decode)),
    ]
}

/// More runners: so many plain ones, prefill runners and decode runners.
pub fn many_descriptors(plain: u8, prefill: u8, decode: u8) -> Vec<Descriptor> {
    let named = |start: &str, endpoint: &str, role: Option<Role>, hosts: std::ops::Range<u8>| {
        let listed = hosts.enumerate().map(|(index, host)| {
            let name = format!("{start}-{}", index + 1);
            descriptor(&name, endpoint, host, role)
        });
        listed.collect::<Vec<_>>()
    };
    let mut all = named("pay", "pay", None, 1..1 + plain);
    all.extend(named("read", "llm", Some(Role::Prefill), 80..80 + prefill));
    all.extend(named("make", "llm", Some(Role::Decode), 160..160 + decode));
    all
}

/// A reducer with a manual clock.
pub struct Harness {
    pub state: State,
    pub now: Duration,
    pub last_call: id::Call,
    /// Sequence of the last claim received from `vm-2`.
    pub last_claim: u64,
}

impl Harness {
    /// A process without a manifest and runners.
    pub fn unconfigured(seed: u64) -> Self {
        let local = MemberDescriptor {
            weight: ALLOCATOR_WEIGHT,
            ..member("vm-1", 1, 100)
        };
        let state = State::new(settings(), local, Vec::new(), seed);
        Self {
            state,
            now: Duration::ZERO,
            last_call: 0,
            last_claim: 0,
        }
    }

    /// A process with a manifest and runners, which has run for long enough to have its share of the
    /// retry slack.
    pub fn new(seed: u64) -> Self {
        let mut harness = Self::just_started(seed);
        harness.now = harness.state.settings.retry_window;
        harness
    }

    /// A process that has just read a manifest and runners.
    pub fn just_started(seed: u64) -> Self {
        let mut harness = Self::unconfigured(seed);
        harness.apply(Event::ManifestRead {
            manifest: manifest(2, routes()),
        });
        harness.apply(Event::PoolRead {
            descriptors: descriptors(),
            revision: 10,
        });
        harness
    }

    /// A process that places calls by the loads that VMs tell each other, without allocators.
    pub fn with_shared_loads(seed: u64) -> Self {
        let mut harness = Self::new(seed);
        harness.state.policy.allocators = false;
        harness
    }

    /// Delivers a claim of `vm-2` that has this load at one engine, and asks for nothing.
    pub fn receive_claim(&mut self, engine: &str, load: Load) -> Vec<Effect> {
        self.last_claim += 1;
        let claim = Claim {
            vm: "vm-2".into(),
            incarnation: 1,
            peer_address: member("vm-2", 2, 1).peer_address,
            sequence: self.last_claim,
            last_grant: 0,
            loads: vec![(engine.into(), load)],
            asks: Vec::new(),
            readings: Vec::new(),
        };
        self.apply(Event::ClaimReceived { claim })
    }

    /// Time since the harness was made by [`Harness::new`].
    pub fn elapsed(&self) -> Duration {
        self.now - self.state.settings.retry_window
    }

    pub fn apply(&mut self, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        reduce(&mut self.state, self.now, event, &mut effects);
        effects
    }

    /// Advances the clock, then ticks.
    pub fn advance(&mut self, time: Duration) -> Vec<Effect> {
        self.now += time;
        self.apply(Event::Tick)
    }

    /// Delivers a request.
    pub fn arrive(&mut self, path: &str) -> Vec<Effect> {
        self.arrive_with(path, None, None)
    }

    pub fn arrive_with(
        &mut self,
        path: &str,
        prompt: Option<u64>,
        resume_after: Option<u64>,
    ) -> Vec<Effect> {
        self.last_call += 1;
        let call = self.last_call;
        let is_model = path.starts_with("/stream");
        let prompt = is_model.then(|| Prompt {
            tokens: prompt.unwrap_or(PROMPT_TOKENS),
            output_tokens: OUTPUT_TOKENS,
        });
        self.apply(Event::Arrived(Arrival {
            prompt,
            resume_after,
            ..stream_arrival(call, path)
        }))
    }

    /// Delivers a request whose prompt has these parts.
    pub fn arrive_with_parts(&mut self, path: &str, parts: &[id::Part]) -> Vec<Effect> {
        self.last_call += 1;
        let arrival = stream_arrival(self.last_call, path);
        let prompt = arrival.prompt.filter(|_| path.starts_with("/stream"));
        self.apply(Event::Arrived(Arrival {
            prompt,
            parts: parts.into(),
            ..arrival
        }))
    }

    /// Delivers a request that asks for what this number stands for.
    pub fn arrive_asking(&mut self, path: &str, fingerprint: id::Fingerprint) -> Vec<Effect> {
        self.arrive_asking_with_parts(path, fingerprint, &[])
    }

    /// The same with these parts in its prompt.
    pub fn arrive_asking_with_parts(
        &mut self,
        path: &str,
        fingerprint: id::Fingerprint,
        parts: &[id::Part],
    ) -> Vec<Effect> {
        self.last_call += 1;
        let arrival = stream_arrival(self.last_call, path);
        let prompt = arrival.prompt.filter(|_| path.starts_with("/stream"));
        self.apply(Event::Arrived(Arrival {
            prompt,
            fingerprint,
            parts: parts.into(),
            ..arrival
        }))
    }

    pub fn end_attempt(&mut self, attempt: id::Attempt, outcome: Outcome) -> Vec<Effect> {
        self.apply(Event::AttemptEnded {
            attempt,
            outcome,
            reported: None,
        })
    }

    pub fn stream_event(&mut self, attempt: id::Attempt, position: u64) -> Vec<Effect> {
        self.apply(Event::StreamEvent {
            attempt,
            position: Some(position),
        })
    }

    /// Delivers a request and completes its prefill, up to the attempt that generates the stream.
    pub fn start_stream(&mut self, path: &str) -> Dispatch {
        let effects = self.arrive(path);
        let prefill = dispatch(&effects);
        assert_eq!(prefill.operation, Operation::Prefill);
        self.now += ms(90);
        let effects = self.end_attempt(prefill.attempt, prefilled());
        dispatch(&effects)
    }

    /// Delivers a view of a peer that has no load.
    pub fn receive_view(&mut self, sender: MemberDescriptor, reply_requested: bool) -> Vec<Effect> {
        let view = view(sender, reply_requested);
        self.apply(Event::ViewReceived { view: view.into() })
    }
}

/// A request for a stream.
pub fn stream_arrival(call: id::Call, path: &str) -> Arrival {
    Arrival {
        call,
        id: format!("request-{call}").into(),
        host: HOST.into(),
        path: path.into(),
        time_limit: Some(ms(14_000)),
        prompt: Some(Prompt {
            tokens: PROMPT_TOKENS,
            output_tokens: OUTPUT_TOKENS,
        }),
        stated_tokens: Some(PROMPT_TOKENS + OUTPUT_TOKENS),
        resume_after: None,
        resumes: None,
        parts: Arc::from([]),
        fingerprint: call,
        delegated_by: None,
        credential: Credential::Missing,
    }
}

pub fn view(sender: MemberDescriptor, reply_requested: bool) -> View {
    View {
        sender,
        members: Vec::new(),
        manifest_version: 2,
        manifest: None,
        revision: 10,
        last_change: 0,
        runners: None,
        source_reached: true,
        loads: Vec::new(),
        waiting_calls: 0,
        digest: 0,
        limits: Vec::new(),
        crashes: None,
        departure_digest: 0,
        departures: Vec::new(),
        unreached: Vec::new(),
        reached: Vec::new(),
        has_slowdowns: false,
        manifest_wish: ManifestWish::Always,
        reply_requested,
    }
}

/// A batch of the harness's allocator that refuses a call of a group of engines.
pub fn refuse_grant(call: id::Call, group: allocation::Group) -> Event {
    let refusal = allocation::Refusal {
        call,
        group,
        retry_after: ms(1_234),
    };
    let batch = allocation::Batch {
        allocator: "vm-1".into(),
        incarnation: 100,
        grants: Vec::new(),
        refusals: vec![refusal],
    };
    Event::GrantsReceived { batch }
}

/// How a runner had the part at a position of a prompt when it crashed.
pub fn circumstance(position: u32) -> Circumstance {
    Circumstance {
        position,
        held: Duration::ZERO,
        is_late: false,
    }
}

pub fn prefilled() -> Outcome {
    Outcome::Prefilled {
        handle: "kv-1".into(),
    }
}

/// The views that are sent to peers.
pub fn published_views(effects: &[Effect]) -> Vec<View> {
    let views = effects.iter().filter_map(|effect| match effect {
        Effect::PublishView { view, .. } => Some(view.clone()),
        _ => None,
    });
    views.collect()
}

pub fn dispatches(effects: &[Effect]) -> Vec<Dispatch> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Dispatch(dispatch) => Some(dispatch.clone()),
            _ => None,
        })
        .collect()
}

/// The only attempt that is started.
pub fn dispatch(effects: &[Effect]) -> Dispatch {
    let all = dispatches(effects);
    assert_eq!(all.len(), 1, "exactly one attempt must start: {effects:?}");
    all[0].clone()
}

pub fn refusal(effects: &[Effect]) -> Option<Refusal> {
    effects.iter().find_map(|effect| match effect {
        Effect::Refuse { refusal, .. } => Some(*refusal),
        _ => None,
    })
}

/// Whether any effect matches.
pub fn has(effects: &[Effect], matches: impl Fn(&Effect) -> bool) -> bool {
    effects.iter().any(matches)
}

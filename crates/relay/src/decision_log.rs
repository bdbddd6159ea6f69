//! Log of decisions and their inputs; the driver writes the entries as log lines.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use crate::budget::Charge;
use crate::crash::Feature;
use crate::id;
use crate::refusal::Claim;

/// Event of an entry; its name is the event name of the log line.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, strum::Display, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// A request was accepted.
    Accepted,
    /// An attempt began.
    Dispatched,
    /// An attempt ended without a usable response.
    AttemptFailed,
    /// The attempt at a silent runner was put on standby while another runner is prepared.
    StandsBy,
    /// An attempt was cancelled because its runner was unresponsive, or another attempt faster.
    GivenUp,
    /// A request waits for capacity.
    Waits,
    /// The retry budget had no retry left for a request.
    RetryDenied,
    /// A request was granted capacity by an allocator.
    Granted,
    /// The first event of a stream was forwarded.
    FirstEvent,
    /// A stream paused for longer than its target gap, for the first time.
    Paused,
    /// It was found out, or not, which software version began a stream that is to go on.
    Origin,
    /// A request stays at the software version that has the prompts of its session, or does not, while others serve too.
    Session,
    /// An engine was asked which parts of prompts it holds.
    PartsListed,
    /// The history of the list of runners was read, for engines that have left.
    HistoryRead,
    /// A runner's response was forwarded.
    Answered,
    /// A stream ended completely.
    StreamEnded,
    /// A stream was aborted.
    StreamCut,
    /// A request was refused.
    Refused,
    /// A caller disconnected before its response was complete.
    CallerGone,
    /// A manifest took effect.
    ManifestInForce,
    /// The list of runners or one of its entries changed.
    RunnerListed,
    /// A runner gets no requests, or no prefills, for a while.
    RunnerRests,
    /// The limit that a runner names has changed.
    LimitNamed,
    /// Requests of an organisation were refused for its cap; at most one entry a second for each organisation.
    OverCap,
    /// The number of organisations has changed for whose caps this VM is the granter.
    GrantsCaps,
    /// A VM does not answer asks for the cost of requests.
    GranterSilent,
    /// This VM, as its monitor, finds that a plain endpoint has become overloaded or has ceased to be.
    Overload,
    /// This VM admits only a part of the requests to a plain endpoint, or all again.
    Admission,
    /// A runner asks for no requests for a while.
    RestAsked,
    /// A runner says that it leaves.
    RunnerDeparts,
    /// An attempt was lost: whether that may tell that its runner has ended.
    LossExamined,
    /// It was checked whether the process of a runner has ended.
    RunnerChecked,
    /// The process of a runner has ended while it had requests.
    RunnerCrashed,
    /// Another VM told of the crash of a runner.
    CrashTold,
    /// A part or a request is not suspect any more of the crashes so far.
    SuspectCleared,
    /// Runners are sent no requests with a part of prompts any more.
    PartQuarantined,
    /// A request with a part that is quarantined was let through.
    PartTried,
    /// A part of prompts is not quarantined any more.
    PartReleased,
    /// Runners are not sent a request any more, since it crashes them.
    RequestQuarantined,
    /// A request that is quarantined was let through.
    RequestTried,
    /// A request is not quarantined any more.
    RequestReleased,
    /// This VM reaches the runners of an endpoint, or does not any more.
    Reach,
    /// Another VM was asked to run a request, as this one reaches no runner for it.
    Delegated,
    /// This VM was asked to run a request for another one.
    DelegatedHere,
    /// The configuration service became reachable or unreachable.
    Source,
    /// The status of a VM changed.
    Member,
    /// The settings were reloaded.
    Reloaded,
    /// The process began to shut down.
    Leaving,
    /// The process finished shutting down.
    Left,
}

/// One entry.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// The event.
    pub kind: Kind,
    /// Whether it is of a request that can't be served as it is, of which clients may send any number.
    pub is_invalid: bool,
    /// Id of the request.
    pub request: Option<Arc<str>>,
    /// Id of the request that brought the first event of the stream with which this one goes on.
    pub first_request: Option<Arc<str>>,
    /// The runner.
    pub runner: Option<id::Runner>,
    /// The attempt.
    pub attempt: Option<id::Attempt>,
    /// Outcome or reason.
    pub outcome: Option<String>,
    /// Version of the input that decided, such as a manifest or a list entry.
    pub version: Option<u64>,
    /// Age of the input that decided, or the duration of what ended.
    pub age: Option<Duration>,
    /// Tokens of the prompt of a model request.
    pub tokens: Option<u64>,
    /// Target latency of the request.
    pub target: Option<Duration>,
    /// The endpoint.
    pub endpoint: Option<id::Endpoint>,
    /// The organisation.
    pub organisation: Option<id::Organisation>,
    /// What the attempt cost the retry budget.
    pub charge: Option<Charge>,
    /// Software version of the runner.
    pub build: Option<id::Build>,
    /// Whether an attempt of the request was connected to a runner.
    pub connected: Option<bool>,
    /// Parts of prompts.
    pub parts: Parts,
    /// What callers ask for.
    pub fingerprints: Fingerprints,
}

/// Parts of prompts; shown as hexadecimal numbers, the first few only.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Parts(pub Vec<id::Part>);

/// What callers ask for; shown as hexadecimal numbers, the first few only.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Fingerprints(pub Vec<id::Fingerprint>);

/// Maximum number of parts or fingerprints that are shown.
const SHOWN_MAX: usize = 16;

impl fmt::Display for Parts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_list(f, self.0.iter().copied().map(Feature::Part))
    }
}

impl fmt::Display for Fingerprints {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_list(f, self.0.iter().copied().map(Feature::Request))
    }
}

fn write_list(f: &mut fmt::Formatter<'_>, list: impl Iterator<Item = Feature>) -> fmt::Result {
    for (index, feature) in list.take(SHOWN_MAX).enumerate() {
        let separator = if index == 0 { "" } else { "," };
        write!(f, "{separator}{feature}")?;
    }
    Ok(())
}

impl Entry {
    /// Marks the entry as one of a request that was refused with this claim.
    pub fn claim(mut self, claim: Claim) -> Self {
        self.is_invalid = claim == Claim::Invalid;
        self
    }

    /// Creates an entry without any fields.
    pub fn new(kind: Kind) -> Self {
        Self {
            kind,
            is_invalid: false,
            request: None,
            first_request: None,
            runner: None,
            attempt: None,
            outcome: None,
            version: None,
            age: None,
            tokens: None,
            target: None,
            endpoint: None,
            organisation: None,
            charge: None,
            build: None,
            connected: None,
            parts: Parts::default(),
            fingerprints: Fingerprints::default(),
        }
    }

    /// Sets the request.
    pub fn request(mut self, id: &Arc<str>) -> Self {
        self.request = Some(id.clone());
        self
    }

    /// Sets the request that began the stream, if the caller names one.
    pub fn first_request(mut self, id: Option<&Arc<str>>) -> Self {
        self.first_request = id.cloned();
        self
    }

    /// Sets the runner.
    pub fn runner(mut self, runner: &id::Runner) -> Self {
        self.runner = Some(runner.clone());
        self
    }

    /// Sets the attempt.
    pub fn attempt(mut self, attempt: id::Attempt) -> Self {
        self.attempt = Some(attempt);
        self
    }

    /// Sets the outcome or reason.
    pub fn outcome(mut self, outcome: impl ToString) -> Self {
        self.outcome = Some(outcome.to_string());
        self
    }

    /// Sets the version of the input that decided.
    pub fn version(mut self, version: u64) -> Self {
        self.version = Some(version);
        self
    }

    /// Sets the age of the input that decided, or the duration of what ended.
    pub fn age(mut self, age: Duration) -> Self {
        self.age = Some(age);
        self
    }

    /// Sets the tokens of the prompt, if there is one.
    pub fn tokens(mut self, tokens: Option<u64>) -> Self {
        self.tokens = tokens;
        self
    }

    /// Sets the endpoint.
    pub fn endpoint(mut self, endpoint: &id::Endpoint) -> Self {
        self.endpoint = Some(endpoint.clone());
        self
    }

    /// Sets the organisation.
    pub fn organisation(mut self, organisation: &id::Organisation) -> Self {
        self.organisation = Some(organisation.clone());
        self
    }

    /// Sets what the attempt cost the retry budget.
    pub fn charge(mut self, charge: Charge) -> Self {
        self.charge = Some(charge);
        self
    }

    /// Sets the software version of the runner.
    pub fn build(mut self, build: &id::Build) -> Self {
        self.build = Some(build.clone());
        self
    }

    /// Sets whether an attempt of the request was connected to a runner.
    pub fn connected(mut self, connected: bool) -> Self {
        self.connected = Some(connected);
        self
    }

    /// Sets the parts of prompts.
    pub fn parts(mut self, parts: impl IntoIterator<Item = id::Part>) -> Self {
        self.parts = Parts(parts.into_iter().collect());
        self
    }

    /// Adds what the caller asks for.
    pub fn fingerprint(mut self, fingerprint: id::Fingerprint) -> Self {
        self.fingerprints.0.push(fingerprint);
        self
    }

    /// Adds parts and fingerprints.
    pub fn features(mut self, features: impl IntoIterator<Item = Feature>) -> Self {
        for feature in features {
            match feature {
                Feature::Part(part) => self.parts.0.push(part),
                Feature::Request(fingerprint) => self.fingerprints.0.push(fingerprint),
            }
        }
        self
    }

    /// Sets the target latency.
    pub fn target(mut self, target: Duration) -> Self {
        self.target = Some(target);
        self
    }
}

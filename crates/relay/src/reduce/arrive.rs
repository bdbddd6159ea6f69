//! Arrivals of requests, and disconnects of callers.

use std::sync::Arc;
use std::time::Duration;

use crate::arrivals::Arrivals;
use crate::budget::Budget;
use crate::call::{Call, Execution, Phase, Progress, TOKENS_MAX};
use crate::cap::{Charge, Entrance};
use crate::decision_log::{Entry, Kind};
use crate::event::{Arrival, Effect, Ending, Prompt};
use crate::id;
use crate::manifest::Kind as RouteKind;
use crate::origin;
use crate::refusal::{Reason, Refusal};

use super::Reducer;

/// Retry delay advised by a process that has no configuration yet.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(100);
/// How long before the end of the caller's time limit a call gets its final response at the latest.
/// A caller that states no limit is assumed to wait for the route's timeout.
const RESPONSE_MARGIN: Duration = Duration::from_millis(15);

/// A caller may name any number of tokens.
fn bound_tokens(prompt: Prompt) -> Prompt {
    Prompt {
        tokens: prompt.tokens.min(TOKENS_MAX),
        output_tokens: prompt.output_tokens.min(TOKENS_MAX),
    }
}

impl Reducer<'_> {
    pub(super) fn handle_arrival(&mut self, arrival: Arrival) {
        self.state.counters.arrived += 1;
        if self.state.exited {
            let reason = match arrival.delegated_by {
                Some(_) => Reason::LeavingUnsent,
                None => Reason::Leaving,
            };
            let refusal = Refusal::not_run(reason, NOT_READY_RETRY_AFTER);
            return self.refuse_arrival(&arrival, refusal);
        }
        let Some(manifest) = self.state.manifest.clone() else {
            let refusal = Refusal::not_run(Reason::NoManifest, NOT_READY_RETRY_AFTER);
            return self.refuse_arrival(&arrival, refusal);
        };
        let route = manifest.find_route(&arrival.host, &arrival.path).cloned();
        let authenticated =
            manifest.authenticate(&arrival.credential, &arrival.id, route.as_deref());
        let Ok(identity) = authenticated else {
            // The key may be one of a manifest that the VM which delegates the request has in force.
            let refusal = match arrival.delegated_by {
                Some(_) => Refusal::not_run(Reason::Unauthorized, NOT_READY_RETRY_AFTER),
                None => Refusal::invalid(Reason::Unauthorized),
            };
            return self.refuse_arrival(&arrival, refusal);
        };
        if identity.organisation().is_some() && self.state.are_keys_outdated(self.now) {
            let refusal = Refusal::not_run(Reason::KeysOutdated, NOT_READY_RETRY_AFTER);
            return self.refuse_arrival(&arrival, refusal);
        }
        let Some(route) = route else {
            return self.refuse_arrival(&arrival, Refusal::invalid(Reason::NoRoute));
        };
        let Some(endpoint) = route.pick_endpoint(&mut self.state.rng).cloned() else {
            return self.refuse_arrival(&arrival, Refusal::invalid(Reason::NoRoute));
        };
        let limit = arrival.time_limit.unwrap_or(route.timeout);
        let limit = route.timeout.min(limit.saturating_sub(RESPONSE_MARGIN));
        let is_model = manifest
            .endpoints
            .get(&endpoint)
            .is_some_and(|known| known.engine.is_some());
        // Who delegates a call counts its attempts: this VM runs it once at most.
        let is_delegated = arrival.delegated_by.is_some();
        let execution_count = if is_delegated {
            route.attempts_max.saturating_sub(1)
        } else {
            0
        };
        let call = Call {
            id: arrival.id.clone(),
            route,
            manifest_version: manifest.version,
            identity,
            charge: Charge::None,
            endpoint,
            arrived_at: self.now,
            deadline: self.now + limit,
            prompt: arrival.prompt.filter(|_| is_model).map(bound_tokens),
            parts: arrival.parts.clone(),
            fingerprint: arrival.fingerprint,
            phase: Phase::Waiting { retry_at: self.now },
            build: None,
            session_build: None,
            standby: None,
            stream: origin::stream(&arrival.id),
            search: None,
            origin_recorded: false,
            execution: Execution::NotRun,
            execution_count,
            arrivals: Arrivals::default(),
            retry_denied: false,
            tried: Vec::new(),
            sent_to: Vec::new(),
            lost_at: Vec::new(),
            unreached: Vec::new(),
            delegated_by: arrival.delegated_by.clone(),
            delegations: 0,
            delegates_out_of_reach: 0,
            is_bound_elsewhere: false,
            is_trial: false,
            holder: None,
            kv: None,
            reserved_decode: None,
            ask: None,
            grant: None,
            kv_unavailable: false,
            progress: Progress {
                last_position: arrival.resume_after,
                ..Progress::default()
            },
            disconnected: false,
        };
        let cost = call.identity.organisation().and_then(|organisation| {
            let cap = organisation.cap.as_ref()?;
            Some(cap.cost(arrival.stated_tokens.map(|tokens| tokens.min(TOKENS_MAX))))
        });
        let entrance = Entrance {
            is_resumption: call.route.kind == RouteKind::Streaming && arrival.is_resumption(),
            resumes: arrival.resumes,
        };
        self.state.calls.insert(arrival.call, call);
        match cost {
            Some(cost) => self.admit_by_cap(arrival.call, cost, entrance),
            None => self.enter(arrival.call, &entrance),
        }
    }

    /// Goes on with a request that its organisation's cap allows.
    pub(super) fn enter(&mut self, number: id::Call, entrance: &Entrance) {
        let Some(call) = self.state.calls.get(&number) else {
            return;
        };
        let accepted = Entry::new(Kind::Accepted)
            .request(&call.id)
            .first_request(entrance.resumes.as_ref())
            .version(call.manifest_version)
            .outcome(&call.route.name)
            .tokens(call.prompt.map(|prompt| prompt.tokens))
            .parts(call.parts.iter().copied())
            .fingerprint(call.fingerprint)
            .target(call.route.target_latency);
        let delegated_here = call.delegated_by.as_ref().map(|vm| {
            let entry = Entry::new(Kind::DelegatedHere).request(&call.id);
            entry.outcome(vm)
        });
        self.log(accepted);
        if let Some(entry) = delegated_here {
            self.log(entry);
        }
        if entrance.is_resumption {
            self.start_search(number, entrance.resumes.as_deref());
        } else {
            self.start_trial(number);
            self.enter_session(number);
        }
    }

    /// Counts a request at its endpoint and starts its first attempt. A delegated one is counted where it came from.
    pub(super) fn admit(&mut self, number: id::Call) {
        let Some(call) = self.state.calls.get(&number) else {
            return;
        };
        if call.delegated_by.is_some() {
            return self.advance(number);
        }
        let endpoint = call.endpoint.clone();
        if self.refuse_overload(number) {
            return;
        }
        let share = self.state.retry_share(self.now);
        self.budget(&endpoint).record_request(share);
        self.advance(number);
    }

    /// Counts and logs a request that was rejected by its head.
    pub(super) fn handle_rejection(&mut self, request: &Arc<str>) {
        self.state.counters.arrived += 1;
        let refusal = Refusal::invalid(Reason::Unauthorized);
        let outcome = format!("{} {}", refusal.claim, refusal.reason);
        self.record_refusal(request, refusal, outcome);
    }

    fn refuse_arrival(&mut self, arrival: &Arrival, refusal: Refusal) {
        let refusal = refusal.for_sender(arrival.delegated_by.is_some());
        let outcome = format!("{} {} {}", refusal.claim, refusal.reason, arrival.path);
        self.record_refusal(&arrival.id, refusal, outcome);
        self.emit(Effect::Refuse {
            call: arrival.call,
            refusal,
        });
        self.emit(Effect::ReleaseCall { call: arrival.call });
    }

    /// Counts and logs the refusal of a request that does not become a call.
    fn record_refusal(&mut self, request: &Arc<str>, refusal: Refusal, outcome: String) {
        self.count_refusal(refusal);
        self.log(
            Entry::new(Kind::Refused)
                .claim(refusal.claim)
                .request(request)
                .version(self.manifest_version())
                .outcome(outcome),
        );
    }

    pub(super) fn count_refusal(&mut self, refusal: Refusal) {
        let key = (refusal.reason.into(), refusal.claim.to_string());
        *self.state.counters.refused.entry(key).or_default() += 1;
    }

    /// The retry budget of an endpoint.
    pub(super) fn budget(&mut self, endpoint: &id::Endpoint) -> &mut Budget {
        let settings = &self.state.settings;
        let create = || {
            Budget::new(
                settings.retry_ratio,
                settings.retry_slack,
                settings.retry_window,
            )
        };
        self.state
            .budgets
            .entry(endpoint.clone())
            .or_insert_with(create)
    }

    /// Stops the work for a caller that disconnected. A request that is executed at most once
    /// continues, as cancelling it halfway would help nobody.
    pub(super) fn handle_disconnect(&mut self, number: id::Call) {
        let Some(call) = self.state.calls.get_mut(&number) else {
            return;
        };
        call.disconnected = true;
        let id = call.id.clone();
        let elapsed = self.now.saturating_sub(call.arrived_at);
        let continues =
            call.route.kind == RouteKind::NonIdempotent && call.phase.attempt().is_some();
        self.state.counters.callers_disconnected += 1;
        self.log(Entry::new(Kind::CallerGone).request(&id).age(elapsed));
        if !continues {
            self.record_duration(number, Ending::CallerGone);
            self.end_call(number);
        }
    }
}

//! Admission of incoming requests: resolves the owner of an id, deduplicates, and applies limits.

use rand::Rng;

use crate::event::{Arrival, Effect, Work};
use crate::id::{Call, Exchange, Key};
use crate::refusal::{Claim, Reason, Refusal};
use crate::state::{Lifecycle, Outcome, Phase, RemoteRequest, Request, Tombstone};
use crate::ticket::Kind as EndpointKind;
use crate::timeline::{Detail, Draft, Kind};
use crate::token::{self, Instance, Token};

use super::Reducer;

/// Value of `Retry-After` for refusals because this VM is not ready, the organisation is at its
/// limit, or the queue or record store is full.
const BUSY_RETRY_AFTER: std::time::Duration = std::time::Duration::from_secs(1);

/// Properties of a new call that its request does not carry.
pub(super) struct CallOptions {
    /// Whether the caller supplied the id.
    pub id_from_caller: bool,
    /// Whether the call may run again when its outcome is unknown.
    pub repeatable: bool,
    /// Number of tokens of the answer that the caller already has.
    pub base: u64,
    /// Whether an earlier owner may have executed the call.
    pub may_have_run: bool,
}

impl Reducer<'_> {
    pub(super) fn handle_arrival(&mut self, arrival: Arrival) {
        match arrival.id.clone() {
            None => self.handle_arrival_without_id(arrival),
            Some(id) => match Token::parse_id(&id, &self.state.keyring) {
                Ok(token) => self.handle_arrival_with_id(arrival, id, token),
                Err(token::Error::Malformed) => {
                    self.refuse(
                        arrival.exchange,
                        None,
                        Refusal::not_run(Reason::IdMalformed),
                    );
                }
                // The id may be signed with a key that has been retired since, so the refusal
                // claims nothing about whether the request ran.
                Err(token::Error::Forged) => {
                    self.refuse(arrival.exchange, None, Refusal::unknown(Reason::IdForged));
                }
            },
        }
    }

    /// Generates an id that is owned by this process.
    fn handle_arrival_without_id(&mut self, arrival: Arrival) {
        let instance = self.state.instance;
        let zone = self.state.settings.zone.clone();
        let token = self.mint_token(instance, &zone);
        let id = format!(
            "{}.{:016x}",
            token.encode(&self.state.keyring),
            self.state.rng.random::<u64>()
        );
        self.admit(arrival, id, token, false);
    }

    fn handle_arrival_with_id(&mut self, arrival: Arrival, id: String, token: Token) {
        let key = Key::of(&id);
        // This also finds calls taken over from a dead owner.
        if let Some(&call) = self.state.by_key.get(&key) {
            self.handle_repeat(call, &arrival);
            return;
        }
        if token.owner != self.state.instance {
            let arrived_at = self.now.up;
            self.route_to_owner(RemoteRequest {
                arrival,
                id,
                key,
                token,
                arrived_at,
            });
            return;
        }
        if let Some(tombstone) = self.state.tombstones.get(&key).copied() {
            let refusal = if tombstone.fingerprint == arrival.fingerprint {
                self.weaken_if_leaving(tombstone.refusal, &arrival.endpoint, &arrival.work)
            } else {
                Refusal::unknown(Reason::IdReused)
            };
            self.refuse(arrival.exchange, Some(key), refusal);
            return;
        }
        if self.now.unix >= token.expiry {
            let refusal = Refusal::unknown(Reason::IdExpired);
            self.refuse(arrival.exchange, Some(key), refusal);
            return;
        }
        self.admit(arrival, id, token, true);
    }

    /// Returns whether the owner must have recorded an intent at the witness before it dispatched
    /// this call, so that a sealed id proves that the call never ran.
    ///
    /// The owner skips the intent only under an endpoint configuration that was in force when the
    /// token was minted and that allows repeats. If this process has that same configuration and it
    /// forbids repeats, no dispatch can have bypassed the seal.
    pub(super) fn is_seal_conclusive(&self, arrival: &Arrival, token: &Token) -> bool {
        self.agreed_repeatability(arrival, token) == Some(false)
    }

    /// Returns whether a call may be repeated, if the endpoint's configuration here was already in
    /// force when the token was minted. In that case every process that can respond gives the same
    /// result.
    fn agreed_repeatability(&self, arrival: &Arrival, token: &Token) -> Option<bool> {
        let Work::Service { method, path } = &arrival.work else {
            return None;
        };
        let table = &self.state.table;
        let is_same_state = table.newest() >= token.ticket
            && table.endpoint_version(&arrival.endpoint) <= token.ticket;
        let endpoint = table
            .endpoint(&arrival.endpoint)
            .filter(|_| is_same_state)?;
        Some(endpoint.is_repeatable(method, path))
    }

    /// Handles a request whose id is known: attaches it to the running call, or replays the result.
    pub(super) fn handle_repeat(&mut self, call: Call, arrival: &Arrival) {
        let Some(request) = self.state.requests.get(&call) else {
            return;
        };
        let key = request.key;
        let phase = request.phase.clone();
        if request.fingerprint != arrival.fingerprint {
            let is_running = request.is_active();
            let refusal = Refusal {
                claim: if is_running {
                    Claim::InProgress
                } else {
                    Claim::Unknown
                },
                reason: Reason::IdReused,
                retry_after: None,
            };
            self.refuse(arrival.exchange, Some(key), refusal);
            return;
        }
        if arrival.resume_after < request.base {
            // The tokens before `base` were delivered by a process that has ended, so they can't be
            // replayed.
            self.refuse(
                arrival.exchange,
                Some(key),
                Refusal::unknown(Reason::AnswerDropped),
            );
            return;
        }
        self.state.counters.repeated += 1;
        self.record_event(Draft::new(Kind::Repeated).request(key));
        match phase {
            Phase::Done(Outcome::Refused(refusal)) => {
                let refusal = self.weaken_if_leaving(refusal, &arrival.endpoint, &arrival.work);
                self.refuse(arrival.exchange, Some(key), refusal)
            }
            Phase::Done(Outcome::Answered { .. }) => self.replay_answer(call, arrival),
            Phase::Parked if self.state.lifecycle == Lifecycle::Ended => {
                self.refuse_after_exit(arrival.exchange, key);
            }
            Phase::Parked => {
                self.attach_exchange(call, arrival);
                self.unpark(call);
            }
            _ => self.attach_exchange(call, arrival),
        }
    }

    fn replay_answer(&mut self, call: Call, arrival: &Arrival) {
        let is_model = self
            .state
            .requests
            .get(&call)
            .is_some_and(Request::is_model);
        let exchange = arrival.exchange;
        self.emit(if is_model {
            Effect::Attach {
                exchange,
                call,
                resume_after: arrival.resume_after,
            }
        } else {
            Effect::Answer {
                exchange,
                call,
                replay: true,
            }
        });
    }

    /// Makes the exchange of `arrival` the one that receives the answer of a running call. The
    /// exchange that was attached before is refused with [`Reason::TakenOver`].
    fn attach_exchange(&mut self, call: Call, arrival: &Arrival) {
        let Some(request) = self.state.requests.get_mut(&call) else {
            return;
        };
        let previous = request.exchange.replace(arrival.exchange);
        request.resume_after = arrival.resume_after;
        request.disconnected_at = None;
        request.attached = request.emitted > request.base;
        let attached = request.attached;
        let key = request.key;
        if let Some(previous) = previous {
            self.state.by_exchange.remove(&previous);
            self.refuse(previous, Some(key), Refusal::in_progress(Reason::TakenOver));
        }
        self.state.by_exchange.insert(arrival.exchange, call);
        if attached {
            self.emit(Effect::Attach {
                exchange: arrival.exchange,
                call,
                resume_after: arrival.resume_after,
            });
        }
    }

    /// Admits or refuses a new request. A refusal as "not run" is final for the request's id.
    fn admit(&mut self, arrival: Arrival, id: String, token: Token, id_from_caller: bool) {
        let key = Key::of(&id);
        match self.check_admission(&arrival) {
            Ok(()) => self.accept(arrival, id, token, id_from_caller),
            Err(refusal) => {
                let refusal = self.store_tombstone(key, &arrival, token, id_from_caller, refusal);
                self.refuse(arrival.exchange, Some(key), refusal);
            }
        }
    }

    /// Stores a refusal that claims "not run", so that it holds until the id expires. If there is
    /// no capacity to store it, or this process can't uphold it, the refusal is changed to one that
    /// claims nothing.
    fn store_tombstone(
        &mut self,
        key: Key,
        arrival: &Arrival,
        token: Token,
        id_from_caller: bool,
        refusal: Refusal,
    ) -> Refusal {
        if !id_from_caller {
            return refusal;
        }
        let refusal = self.weaken_if_leaving(refusal, &arrival.endpoint, &arrival.work);
        if refusal.claim != Claim::NotRun {
            return refusal;
        }
        if self.state.tombstones.len() >= self.state.settings.tombstones_max {
            return Refusal {
                claim: Claim::Unknown,
                ..refusal
            };
        }
        let tombstone = Tombstone {
            refusal,
            fingerprint: arrival.fingerprint,
            expiry: token.expiry,
        };
        self.state.tombstones.insert(key, tombstone);
        refusal
    }

    pub(super) fn check_admission(&self, arrival: &Arrival) -> Result<(), Refusal> {
        let state = &self.state;
        match state.lifecycle {
            Lifecycle::Running => {}
            Lifecycle::Leaving { serve_until } if self.now.up < serve_until => {}
            _ => return Err(Refusal::not_run(Reason::Leaving)),
        }
        if let Some(at) = state.table.shutdown_at() {
            if self.now.unix.as_secs() >= at {
                return Err(Refusal::not_run(Reason::ShutDown));
            }
        }
        let is_leaving = state.lifecycle != Lifecycle::Running;
        if !is_leaving && state.unready_reason(self.now.up).is_some() {
            return Err(Refusal::not_run(Reason::NotReady).retry_after(BUSY_RETRY_AFTER));
        }
        let endpoint = state.table.endpoint(&arrival.endpoint);
        let kind = match arrival.work {
            Work::Model { .. } => EndpointKind::Model,
            Work::Service { .. } => EndpointKind::Service,
        };
        if endpoint.is_none_or(|endpoint| endpoint.kind != kind) {
            return Err(Refusal::not_run(Reason::UnknownEndpoint));
        }
        let limit = state.table.organisation(&arrival.organisation);
        let running = state
            .active_by_organisation
            .get(&arrival.organisation)
            .copied()
            .unwrap_or(0);
        if limit.is_some_and(|limit| running >= limit.concurrent) {
            return Err(Refusal::not_run(Reason::OrganisationLimit).retry_after(BUSY_RETRY_AFTER));
        }
        let queued = state
            .queues
            .get(&arrival.endpoint)
            .map_or(0, |queue| queue.len());
        if queued >= state.settings.queue_max || state.requests.len() >= state.settings.calls_max {
            return Err(Refusal::not_run(Reason::Busy).retry_after(BUSY_RETRY_AFTER));
        }
        Ok(())
    }

    fn accept(&mut self, arrival: Arrival, id: String, token: Token, id_from_caller: bool) {
        let repeatable = self.can_skip_intent(&arrival, &token);
        let call = self.create_call(
            arrival,
            id,
            token,
            CallOptions {
                id_from_caller,
                repeatable,
                base: 0,
                may_have_run: false,
            },
        );
        self.start_call(call);
    }

    /// Creates the record of a call and indexes it.
    pub(super) fn create_call(
        &mut self,
        arrival: Arrival,
        id: String,
        token: Token,
        options: CallOptions,
    ) -> Call {
        let CallOptions {
            id_from_caller,
            repeatable,
            base,
            may_have_run,
        } = options;
        let call = self.state.next_number();
        let key = Key::of(&id);
        self.emit(Effect::RetainRequest {
            exchange: arrival.exchange,
            call,
            id: id.clone(),
            base,
        });
        self.record_event(
            Draft::new(Kind::Accepted)
                .request(key)
                .endpoint(&arrival.endpoint),
        );
        self.state.counters.accepted += 1;
        self.activate(call, arrival.organisation.clone());
        self.state.by_key.insert(key, call);
        self.state.by_exchange.insert(arrival.exchange, call);
        let request = Request {
            id,
            key,
            id_from_caller,
            expiry: token.expiry,
            fingerprint: arrival.fingerprint,
            organisation: arrival.organisation,
            endpoint: arrival.endpoint,
            work: arrival.work,
            repeatable,
            witness: token.witness,
            exchange: Some(arrival.exchange),
            resume_after: arrival.resume_after,
            attached: false,
            phase: Phase::Queued,
            attempts: 0,
            may_have_run,
            failed_runners: Vec::new(),
            accepted_at: self.now.up,
            disconnected_at: None,
            emitted: base,
            base,
            stream: None,
            backup_witness: None,
            answer_bytes: 0,
            answer: None,
        };
        self.state.requests.insert(call, request);
        call
    }

    /// Returns whether a call may be dispatched without an intent at the witness. This holds for
    /// model work, and for calls that may be repeated under an endpoint configuration that was
    /// already in force when the token was minted.
    fn can_skip_intent(&self, arrival: &Arrival, token: &Token) -> bool {
        let is_model = matches!(arrival.work, Work::Model { .. });
        is_model || self.agreed_repeatability(arrival, token) == Some(true)
    }

    pub(super) fn handle_disconnect(&mut self, exchange: Exchange) {
        self.state.pending_seals.remove(&exchange);
        self.state.forwarded.remove(&exchange);
        self.state.recoveries.remove(&exchange);
        let Some(call) = self.state.by_exchange.remove(&exchange) else {
            return;
        };
        let up = self.now.up;
        let Some(request) = self.state.requests.get_mut(&call) else {
            return;
        };
        if request.exchange != Some(exchange) {
            return;
        }
        request.exchange = None;
        request.attached = false;
        request.disconnected_at = Some(up);
        let key = request.key;
        let (active, id_from_caller) = (request.is_active(), request.id_from_caller);
        if active {
            self.record_event(Draft::new(Kind::CallerGone).request(key));
        }
        if active && !id_from_caller {
            self.cancel_disconnected(call);
        }
    }

    /// Refuses an exchange and counts the refusal.
    pub(super) fn refuse(&mut self, exchange: Exchange, key: Option<Key>, refusal: Refusal) {
        let claim: &'static str = refusal.claim.into();
        let reason: &'static str = refusal.reason.into();
        *self
            .state
            .counters
            .refused
            .entry((claim, reason))
            .or_default() += 1;
        let draft =
            Draft::new(Kind::Refused).detail(Detail::Refusal(refusal.claim, refusal.reason));
        self.record_event(Draft {
            request: key,
            ..draft
        });
        let elsewhere = match refusal.reason {
            Reason::Leaving | Reason::NotReady | Reason::WitnessUnreachable | Reason::Sealed => {
                self.alternative_addresses()
            }
            _ => Vec::new(),
        };
        self.emit(Effect::Refuse {
            exchange,
            refusal,
            elsewhere,
        });
    }

    /// Mints a token for requests to `owner`, with a witness in another zone if there is one.
    pub(super) fn mint_token(&mut self, owner: Instance, zone: &str) -> Token {
        Token {
            owner,
            witness: self.pick_witness(owner, zone),
            expiry: std::time::Duration::from_secs(
                (self.now.unix + self.state.settings.token_lifetime).as_secs(),
            ),
            ticket: self.state.table.newest(),
            salt: self.state.rng.random(),
        }
    }
}

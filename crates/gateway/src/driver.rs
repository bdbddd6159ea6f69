//! The driver of the reducer: feeds events in and performs the effects that come out.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::channel::{mpsc, oneshot};
use hornbeamtiller_http::body::{BoundedSender, Channel, Truncated};
use hornbeamtiller_http::cancel;
use hornbeamtiller_http::client::{self, Client, Reuse};
use hornbeamtiller_http::memory::{Budget, Guard, Holder};
use hornbeamtiller_http::server;
use hornbeamtiller_relay::cache_index::LISTING_TIMEOUT;
use hornbeamtiller_relay::event::{Dispatch, Effect, Event, KvCache};
use hornbeamtiller_relay::id::{Attempt, Call, Endpoint};
use hornbeamtiller_relay::member::View;
use hornbeamtiller_relay::pool::Instance;
use hornbeamtiller_relay::reduce::reduce;
use hornbeamtiller_relay::refusal::Refusal;
use hornbeamtiller_relay::state::State;
use http::{response, Request};
use http_body_util::Full;

use crate::metrics::Metrics;
use crate::peer::Connections;
use crate::protocol::{CallerRequest, Protocol};
use crate::{attempt, fingerprint, log_line, presence, source};

/// Maximum size of an engine's list of the parts that it holds, in bytes.
const PART_LIST_BYTES_MAX: usize = 1 << 20;
/// Timeout of the request that frees a KV cache at a prefill runner, and of each chunk of its
/// response.
const KV_FREE_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum size of that response, in bytes.
const KV_FREE_BYTES_MAX: usize = 1 << 10;

/// Bytes of a stream's events that may wait for its client: two of the largest ones. A client that reads as it should
/// leaves far fewer.
const STREAM_BYTES_MAX: usize = 512 << 10;

/// The reducer's decision on how a caller's request is answered.
#[derive(Debug)]
pub enum Decision {
    /// A runner's complete response.
    Buffered(response::Parts, Bytes),
    /// A stream that has started.
    Stream(response::Parts, Channel),
    /// A final response of this process.
    Refused(Refusal),
}

/// Data that arrives with an event and that its effects may forward to the caller.
#[derive(Debug)]
pub enum Payload {
    /// No data.
    Empty,
    /// A runner's complete response.
    Response(response::Parts, Bytes),
    /// The head of a stream.
    Head(response::Parts),
    /// An event of a stream, byte for byte, with the blocks without an id that precede it.
    Event(Bytes),
}

/// A call whose request is buffered until the reducer releases it.
struct CallRecord {
    caller_request: Rc<CallerRequest>,
    /// `None` once the decision was sent.
    decision_sender: Option<oneshot::Sender<Decision>>,
    /// Sends the body of a streamed response, from its start to its end.
    body_sender: Option<BoundedSender>,
    /// The connection of the caller.
    connection: Option<server::Handle>,
    /// Memory held for the head of the request, and for the call.
    _guard: Guard,
}

/// The driver of one process; clones share it.
pub struct Driver<P>(Rc<Inner<P>>);

impl<P> Clone for Driver<P> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

struct Inner<P> {
    protocol: P,
    state: RefCell<State>,
    started_at: Instant,
    client: Client,
    calls: RefCell<HashMap<Call, CallRecord>>,
    attempts: RefCell<HashMap<Attempt, cancel::Guard>>,
    connections: Connections,
    metrics: Metrics,
    budget: Budget,
    fingerprint_key: fingerprint::Key,
    last_call: Cell<Call>,
    exited: Cell<bool>,
    /// Takes what is to be read from the configuration service, if one is followed.
    source: RefCell<Option<mpsc::UnboundedSender<source::Request>>>,
}

impl<P: Protocol> Driver<P> {
    /// Creates the driver of a process.
    pub fn new(
        protocol: P,
        state: State,
        client: Client,
        metrics: Metrics,
        budget: Budget,
        fingerprint_key: fingerprint::Key,
    ) -> Self {
        Self(Rc::new(Inner {
            protocol,
            state: RefCell::new(state),
            started_at: Instant::now(),
            client,
            calls: RefCell::default(),
            attempts: RefCell::default(),
            connections: Connections::default(),
            metrics,
            budget,
            fingerprint_key,
            last_call: Cell::new(0),
            exited: Cell::new(false),
            source: RefCell::default(),
        }))
    }

    /// Time since the process started.
    pub fn now(&self) -> Duration {
        self.0.started_at.elapsed()
    }

    /// The protocol of callers and runners.
    pub fn protocol(&self) -> &P {
        &self.0.protocol
    }

    /// The HTTP client for requests to runners.
    pub fn client(&self) -> &Client {
        &self.0.client
    }

    /// The key under which requests are hashed.
    pub fn fingerprint_key(&self) -> &fingerprint::Key {
        &self.0.fingerprint_key
    }

    /// The connections to peers.
    pub(crate) fn connections(&self) -> &Connections {
        &self.0.connections
    }

    /// What is to be read from the configuration service, for the task that does so.
    pub fn source_requests(&self) -> mpsc::UnboundedReceiver<source::Request> {
        let (sender, receiver) = mpsc::unbounded();
        self.0.source.replace(Some(sender));
        receiver
    }

    /// The memory that this process may hold for others.
    pub fn budget(&self) -> &Budget {
        &self.0.budget
    }

    /// The metrics of this process.
    pub fn metrics(&self) -> &Metrics {
        &self.0.metrics
    }

    /// Whether the process has left the fleet and may exit. Calls may still be in progress if the
    /// grace period was too short for them.
    pub fn has_exited(&self) -> bool {
        self.0.exited.get()
    }

    /// Calls a function with the reducer's state.
    pub fn with_state<T>(&self, f: impl FnOnce(&State) -> T) -> T {
        f(&self.0.state.borrow())
    }

    /// Applies an event to the state and performs its effects.
    pub fn apply(&self, event: Event) {
        self.apply_with(event, Payload::Empty);
    }

    /// Applies an event whose effects may forward a payload.
    pub fn apply_with(&self, event: Event, mut payload: Payload) {
        let mut effects = Vec::new();
        reduce(
            &mut self.0.state.borrow_mut(),
            self.now(),
            event,
            &mut effects,
        );
        for effect in effects {
            self.perform(effect, &mut payload);
        }
    }

    /// Registers a call and returns its number and the receiver of its decision. The memory of `guard` is held until the
    /// call is released; `connection` is cut if the caller leaves too much of a stream unread.
    pub fn register_call(
        &self,
        caller_request: CallerRequest,
        connection: Option<server::Handle>,
        guard: Guard,
    ) -> (Call, oneshot::Receiver<Decision>) {
        let call = self.0.last_call.get() + 1;
        self.0.last_call.set(call);
        let (decision_sender, receiver) = oneshot::channel();
        let record = CallRecord {
            caller_request: Rc::new(caller_request),
            decision_sender: Some(decision_sender),
            body_sender: None,
            connection,
            _guard: guard,
        };
        self.0.calls.borrow_mut().insert(call, record);
        (call, receiver)
    }

    /// Removes an attempt, which cancels its task if that still runs.
    pub(crate) fn remove_attempt(&self, attempt: Attempt) {
        let guard = self.0.attempts.borrow_mut().remove(&attempt);
        drop(guard);
    }

    /// Aborts all attempts and closes the outgoing connections to peers.
    pub fn abort(&self) {
        let attempts = std::mem::take(&mut *self.0.attempts.borrow_mut());
        drop(attempts);
        self.0.connections.close();
    }

    fn perform(&self, effect: Effect, payload: &mut Payload) {
        match effect {
            Effect::Dispatch(dispatch) => self.dispatch(dispatch),
            Effect::AbortAttempt { attempt } => self.remove_attempt(attempt),
            Effect::ForwardResponse { call } => {
                if let Payload::Response(head, body) = std::mem::replace(payload, Payload::Empty) {
                    self.send_decision(call, Decision::Buffered(head, body));
                }
            }
            Effect::ForwardHead { call } => {
                if let Payload::Head(head) = std::mem::replace(payload, Payload::Empty) {
                    self.start_stream(call, head);
                }
            }
            Effect::ForwardEvent { call } => {
                if let Payload::Event(event) = std::mem::replace(payload, Payload::Empty) {
                    self.send_event(call, Ok(event));
                }
            }
            Effect::EndStream { call } => self.end_stream(call),
            Effect::AbortStream { call } => self.send_event(call, Err(Truncated)),
            Effect::Refuse { call, refusal } => {
                self.send_decision(call, Decision::Refused(refusal))
            }
            Effect::ReleaseCall { call } => {
                let removed = self.0.calls.borrow_mut().remove(&call);
                drop(removed);
            }
            Effect::FreeKv { kv } => self.free_kv(kv),
            Effect::PublishView { address, view } => self.publish_view(address, view),
            Effect::SendClaim { address, claim } => {
                self.0.connections.send_claim(self, address, claim)
            }
            Effect::SendGrants { address, batch } => {
                self.0.connections.send_grants(self, address, batch)
            }
            Effect::TellOrigins {
                address,
                records,
                is_retold,
            } => {
                let connections = &self.0.connections;
                connections.tell_origins(self, address, records, is_retold)
            }
            Effect::AskOrigin {
                address,
                call,
                question,
            } => {
                let connections = &self.0.connections;
                connections.ask_origin(self, address, call, question)
            }
            Effect::ListParts {
                endpoint,
                engine,
                address,
            } => self.list_parts(endpoint, engine, address),
            Effect::CheckList => self.ask_source(source::Request::Check),
            Effect::ReadHistory => self.ask_source(source::Request::History),
            Effect::AskPermit {
                address,
                instance,
                asker,
            } => {
                let connections = &self.0.connections;
                connections.ask_permit(self, address, instance, asker)
            }
            Effect::SendPermit { address, instance } => {
                let connections = &self.0.connections;
                connections.send_permit(self, address, instance, false)
            }
            Effect::ReturnPermit { address, instance } => {
                let connections = &self.0.connections;
                connections.send_permit(self, address, instance, true)
            }
            Effect::AskCredit { address, ask } => self.0.connections.ask_credit(self, address, ask),
            Effect::SendCredit { address, answers } => {
                self.0.connections.send_credit(self, address, answers)
            }
            Effect::ReportLoad { address, report } => {
                self.0.connections.report_load(self, address, report)
            }
            Effect::TellAdmission {
                address,
                endpoint,
                admission,
            } => {
                let connections = &self.0.connections;
                connections.tell_admission(self, address, endpoint, admission)
            }
            Effect::CheckRunner { instance, address } => self.check_runner(instance, address),
            Effect::Log(entry) => log_line::write(&entry),
            Effect::Measure(sample) => self.0.metrics.observe(sample),
            Effect::Exit => self.0.exited.set(true),
        }
    }

    fn dispatch(&self, dispatch: Dispatch) {
        let calls = self.0.calls.borrow();
        let Some(record) = calls.get(&dispatch.call) else {
            return;
        };
        let caller_request = record.caller_request.clone();
        drop(calls);
        let (guard, token) = cancel::Guard::new();
        self.0.attempts.borrow_mut().insert(dispatch.attempt, guard);
        let driver = self.clone();
        monoio::spawn(async move {
            let attempt = dispatch.attempt;
            _ = token
                .run_until_cancelled(attempt::run(driver.clone(), caller_request, dispatch))
                .await;
            driver.remove_attempt(attempt);
        });
    }

    fn send_decision(&self, call: Call, decision: Decision) {
        let sender = {
            let mut calls = self.0.calls.borrow_mut();
            calls
                .get_mut(&call)
                .and_then(|record| record.decision_sender.take())
        };
        if let Some(sender) = sender {
            // The guard of a disconnected caller reports to the reducer by itself.
            _ = sender.send(decision);
        }
    }

    fn start_stream(&self, call: Call, head: response::Parts) {
        let (sender, channel) = Channel::bounded(&self.0.budget, STREAM_BYTES_MAX);
        if let Some(record) = self.0.calls.borrow_mut().get_mut(&call) {
            record.body_sender = Some(sender);
        }
        self.send_decision(call, Decision::Stream(head, channel));
    }

    fn send_event(&self, call: Call, event: Result<Bytes, Truncated>) {
        let calls = self.0.calls.borrow();
        let Some(record) = calls.get(&call) else {
            return;
        };
        let sent = record.body_sender.as_ref().map(|sender| sender.send(event));
        // Closing the connection reports the caller as disconnected, which ends the attempt.
        if let (Some(Err(_)), Some(connection)) = (sent, &record.connection) {
            connection.cut();
        }
    }

    fn end_stream(&self, call: Call) {
        let sender = {
            let mut calls = self.0.calls.borrow_mut();
            calls
                .get_mut(&call)
                .and_then(|record| record.body_sender.take())
        };
        drop(sender);
    }

    fn ask_source(&self, request: source::Request) {
        let sender = self.0.source.borrow().clone();
        let sent = sender.is_some_and(|sender| sender.unbounded_send(request).is_ok());
        if !sent {
            self.apply(request.unanswered());
        }
    }

    /// Frees a KV cache. It expires soon by itself, so the request is not retried.
    fn free_kv(&self, kv: KvCache) {
        let driver = self.clone();
        let request = self.0.protocol.build_kv_free(&kv);
        monoio::spawn(async move {
            let freed = driver.exchange(kv.address, request, KV_FREE_BYTES_MAX, KV_FREE_TIMEOUT);
            if let Err(error) = freed.await {
                log::info!(runner = &*kv.runner, error:% = error; "kv_not_freed");
            }
        });
    }

    /// Asks an engine which parts of prompts it holds.
    fn list_parts(&self, endpoint: Endpoint, engine: Instance, address: SocketAddr) {
        let driver = self.clone();
        monoio::spawn(async move {
            let body = driver.read_part_list(&engine, address).await;
            let parts = body.and_then(|body| driver.protocol().parse_part_list(&body));
            driver.apply(Event::PartsListed {
                endpoint,
                engine,
                parts,
            });
        });
    }

    /// The body of an engine's answer; none if it did not answer with success in time.
    async fn read_part_list(&self, engine: &Instance, address: SocketAddr) -> Option<Bytes> {
        let request = self.protocol().build_part_list(engine, address);
        let listed = self.exchange(address, request, PART_LIST_BYTES_MAX, LISTING_TIMEOUT);
        let runner = &*engine.runner;
        match listed.await {
            Ok((head, body)) if head.status.is_success() => return Some(body),
            Ok((head, _)) => {
                let status = head.status.as_u16();
                log::info!(runner, status; "parts_not_listed");
            }
            Err(error) => log::info!(runner, error:% = error; "parts_not_listed"),
        }
        None
    }

    /// Checks whether anything listens at the address of a runner.
    fn check_runner(&self, instance: Instance, address: SocketAddr) {
        let driver = self.clone();
        monoio::spawn(async move {
            let presence = presence::check(address).await;
            driver.apply(Event::RunnerChecked { instance, presence });
        });
    }

    fn publish_view(&self, address: SocketAddr, view: View) {
        self.0.connections.publish(self, address, view);
    }

    /// Sends a request at most once and reads the complete response; `timeout` is that of its head and of each chunk.
    async fn exchange(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        bytes_max: usize,
        timeout: Duration,
    ) -> Result<(response::Parts, Bytes), client::Error> {
        let client = &self.0.client;
        let sent = client.send_once(address, request, Reuse::Allowed, timeout);
        let received = sent
            .await?
            .receive(bytes_max, timeout, &self.0.budget, Holder::Response);
        received.await
    }
}

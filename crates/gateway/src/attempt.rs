//! One HTTP exchange with one runner.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hornbeamtiller_http::client::{self, Response, Reuse};
use hornbeamtiller_http::memory::Holder;
use hornbeamtiller_http::sse;
use hornbeamtiller_relay::event::{Decline, Dispatch, Event, Operation, Outcome};
use hornbeamtiller_relay::limit::Statement;
use hornbeamtiller_relay::pool::Report;
use hornbeamtiller_relay::state::State;
use http::response;

use crate::driver::{Driver, Payload};
use crate::presence;
use crate::protocol::{CallerRequest, Protocol, ResponseKind};

/// Maximum size of a buffered response body, in bytes,
const RESPONSE_BYTES_MAX: usize = 16 << 20;
/// and as a part of the memory for what is held for others, so that no response takes all of it.
const RESPONSE_PART: usize = 2;
/// How much of a response that is not forwarded is read to keep its connection.
const DISCARDED_BYTES_MAX: usize = 64 << 10;
/// Size of a part of a stream, not yet a complete event, that counts as part of the call.
const UNCOUNTED_BYTES_MAX: usize = 16 << 10;
/// Added to the time limit given to the runner. The sum is the timeout for the response head, and
/// for each chunk of the body after it.
const TIME_LIMIT_SLACK: Duration = Duration::from_millis(100);

/// Runs an attempt and reports its outcome to the reducer.
pub async fn run<P: Protocol>(
    driver: Driver<P>,
    caller_request: Rc<CallerRequest>,
    dispatch: Dispatch,
) {
    let timeout = dispatch.time_limit + TIME_LIMIT_SLACK;
    let exchange = Exchange {
        driver,
        caller_request,
        dispatch,
        timeout,
    };
    exchange.run().await;
}

/// The exchange of an attempt.
struct Exchange<P> {
    driver: Driver<P>,
    caller_request: Rc<CallerRequest>,
    dispatch: Dispatch,
    /// Timeout for the response head, and for each chunk of the body after it.
    timeout: Duration,
}

impl<P: Protocol> Exchange<P> {
    async fn run(&self) {
        let request = self
            .driver
            .protocol()
            .build_request(&self.caller_request, &self.dispatch);
        let reuse = match self.dispatch.is_repeat {
            true => Reuse::Fresh,
            false => Reuse::Allowed,
        };
        let sent = self
            .driver
            .client()
            .send_once(self.dispatch.address, request, reuse, self.timeout)
            .await;
        let response = match sent {
            Ok(response) => response,
            Err(error) => {
                self.log_failure(error.cause().into());
                return self.end(classify_error(&error), None);
            }
        };
        let protocol = self.driver.protocol();
        let reported = protocol.parse_load(&response.head);
        let kind = protocol.classify_response(&self.caller_request, &self.dispatch, &response.head);
        if !matches!(
            kind,
            ResponseKind::Mismatched | ResponseKind::Declined(Decline::Displaced)
        ) {
            self.state_limit(&response.head);
            self.state_departure(&response.head);
            self.state_rest(&response.head);
        }
        match kind {
            ResponseKind::Declined(decline) => {
                // The outcome is known from the head; a broken body only costs the connection.
                response.discard(DISCARDED_BYTES_MAX, self.timeout).await;
                self.end(Outcome::Declined(decline), reported);
            }
            ResponseKind::Mismatched => self.end(Outcome::Mismatched, None),
            ResponseKind::Unusable => {
                self.log_failure(Failure::Unusable);
                self.end(Outcome::Lost, reported);
            }
            ResponseKind::Buffered => self.forward_buffered(response, reported).await,
            ResponseKind::Stream => self.forward_stream(response, reported).await,
        }
    }

    /// Reports what a response says of its runner's limit, unless there is none and never was one.
    fn state_limit(&self, head: &response::Parts) {
        let Some(statement) = self.driver.protocol().parse_limit(head) else {
            return;
        };
        let attempt = self.dispatch.attempt;
        let is_known = |state: &State| {
            let in_flight = state.in_flight.get(&attempt);
            in_flight.is_some_and(|in_flight| state.limits.contains(&in_flight.instance))
        };
        if statement != Statement::Unlimited || self.driver.with_state(is_known) {
            self.driver.apply(Event::LimitStated { attempt, statement });
        }
    }

    /// Reports the slowdown that the head of a stream states, which is old when the stream ends. Returns the
    /// rest of the load.
    fn state_load(&self, reported: Option<Report>) -> Option<Report> {
        let reported = reported?;
        if reported.slowdown.is_some() {
            let attempt = self.dispatch.attempt;
            self.driver.apply(Event::LoadStated { attempt, reported });
        }
        Some(Report {
            slowdown: None,
            ..reported
        })
    }

    /// Reports that a response says of a runner that it leaves.
    fn state_departure(&self, head: &response::Parts) {
        let protocol = self.driver.protocol();
        if let Some(instance) = protocol
            .parse_departure(head)
            .filter(|_| self.is_delegated())
        {
            self.driver.apply(Event::DepartureTold { instance });
        } else if protocol.says_departure(head) {
            let attempt = self.dispatch.attempt;
            self.driver.apply(Event::DepartureStated { attempt });
        }
    }

    /// Reports that a runner asks for no requests for a time.
    fn state_rest(&self, head: &response::Parts) {
        let attempt = self.dispatch.attempt;
        let asked = self.driver.protocol().parse_rest(head);
        if let Some(time) = asked.filter(|_| !self.is_delegated()) {
            self.driver.apply(Event::RestAsked { attempt, time });
        }
    }

    fn is_delegated(&self) -> bool {
        matches!(self.dispatch.operation, Operation::Delegate { .. })
    }

    /// Prepares the head of a runner's response for the caller, or for the VM that has delegated the request.
    fn finish_head(&self, head: &mut response::Parts) {
        let protocol = self.driver.protocol();
        protocol.strip_response_head(head);
        if self.caller_request.metadata.delegated_by.is_none() {
            return;
        }
        protocol.mark_answered(head);
        if !protocol.says_departure(head) {
            return;
        }
        let attempt = self.dispatch.attempt;
        let find = |state: &State| Some(state.in_flight.get(&attempt)?.instance.clone());
        if let Some(instance) = self.driver.with_state(find) {
            protocol.add_departure(head, &instance);
        }
    }

    fn end(&self, outcome: Outcome, reported: Option<Report>) {
        self.end_with(outcome, reported, Payload::Empty);
    }

    fn end_with(&self, outcome: Outcome, reported: Option<Report>, payload: Payload) {
        let event = Event::AttemptEnded {
            attempt: self.dispatch.attempt,
            outcome,
            reported,
        };
        self.driver.apply_with(event, payload);
    }

    /// Logs the cause of a failure, which the reducer does not need; its own entry has the same attempt.
    fn log_failure(&self, failure: Failure) {
        let Dispatch {
            attempt, runner, ..
        } = &self.dispatch;
        let request = &*self.caller_request.metadata.id;
        let cause = failure.name();
        log::info!(target: "relay", request, runner = &**runner, attempt, cause; "exchange_failed");
    }

    /// Whether a body that has ended may be only a part: it ended with its connection, and so did the runner's
    /// process.
    async fn may_be_cut(&self, ends_with_connection: bool) -> bool {
        ends_with_connection && presence::has_ended(self.dispatch.address).await
    }

    async fn forward_buffered(&self, response: Response, reported: Option<Report>) {
        let ends_with_connection = response.ends_with_connection();
        let budget = self.driver.budget();
        let bytes_max = RESPONSE_BYTES_MAX.min(budget.capacity() / RESPONSE_PART);
        let received = response.receive(bytes_max, self.timeout, budget, Holder::Response);
        let (mut head, body) = match received.await {
            Ok(complete) => complete,
            Err(error) => {
                self.log_failure(error.cause().into());
                return self.end(Outcome::Lost, reported);
            }
        };
        if self.may_be_cut(ends_with_connection).await {
            self.log_failure(Failure::RunnerEnded);
            return self.end(Outcome::Lost, reported);
        }
        if self.dispatch.operation == Operation::Prefill {
            let outcome = match self.driver.protocol().parse_cache_handle(&body) {
                Some(handle) => Outcome::Prefilled { handle },
                None => {
                    self.log_failure(Failure::Unusable);
                    Outcome::Lost
                }
            };
            return self.end(outcome, reported);
        }
        let status = head.status.as_u16();
        self.finish_head(&mut head);
        let payload = Payload::Response(head, body);
        self.end_with(Outcome::Answered { status }, reported, payload);
    }

    async fn forward_stream(&self, mut response: Response, reported: Option<Report>) {
        let ends_with_connection = response.ends_with_connection();
        let mut head = http::Response::new(()).into_parts().0;
        std::mem::swap(&mut head, &mut response.head);
        self.finish_head(&mut head);
        let attempt = self.dispatch.attempt;
        let reported = self.state_load(reported);
        let mut parser = sse::Parser::default();
        let mut guard = self.driver.budget().empty_guard(Holder::Stream);
        let mut unsent_head = Some(head);
        loop {
            let chunk = match response.chunk(self.timeout).await {
                Ok(Some(chunk)) => chunk,
                Ok(None) => break,
                Err(error) => {
                    self.log_failure(error.cause().into());
                    return self.end(Outcome::Lost, reported);
                }
            };
            if parser.push(&chunk).is_err() {
                self.log_failure(Failure::Unusable);
                return self.end(Outcome::Lost, reported);
            }
            let Some(events) = StreamEvents::take(&mut parser) else {
                self.log_failure(Failure::Unusable);
                return self.end(Outcome::Lost, reported);
            };
            let buffered = parser.buffered();
            let counted = if buffered > UNCOUNTED_BYTES_MAX {
                buffered
            } else {
                0
            };
            if self.driver.budget().resize(&mut guard, counted).is_err() {
                self.log_failure(client::Cause::Exhausted.into());
                return self.end(Outcome::Lost, reported);
            }
            for (event, position) in events.0 {
                // The head is forwarded with the first event, so that a stream that breaks before it
                // can still be retried or refused.
                if let Some(head) = unsent_head.take() {
                    self.driver
                        .apply_with(Event::StreamStarted { attempt }, Payload::Head(head));
                }
                self.driver.apply_with(
                    Event::StreamEvent { attempt, position },
                    Payload::Event(event),
                );
            }
        }
        let outcome = if parser.has_partial_block() || unsent_head.is_some() {
            self.log_failure(Failure::Incomplete);
            Outcome::Lost
        } else if self.may_be_cut(ends_with_connection).await {
            self.log_failure(Failure::RunnerEnded);
            Outcome::Lost
        } else {
            Outcome::Ended
        };
        self.end(outcome, reported);
    }
}

/// Why an exchange gave no usable response.
enum Failure {
    /// The exchange itself failed.
    Exchange(client::Cause),
    /// The response is complete or still going on, but can't be used.
    Unusable,
    /// The stream ended within an event or before the first one.
    Incomplete,
    /// The body ended with the connection, and the runner's process has ended.
    RunnerEnded,
}

impl From<client::Cause> for Failure {
    fn from(cause: client::Cause) -> Self {
        Self::Exchange(cause)
    }
}

impl Failure {
    fn name(&self) -> &'static str {
        match self {
            Self::Exchange(cause) => cause.into(),
            Self::Unusable => "unusable",
            Self::Incomplete => "incomplete",
            Self::RunnerEnded => "runner_ended",
        }
    }
}

fn classify_error(error: &client::Error) -> Outcome {
    if error.is_unwritten() {
        Outcome::Unwritten
    } else {
        Outcome::Lost
    }
}

/// The complete events that a parser has buffered, each with its position if it has one.
struct StreamEvents(Vec<(Bytes, Option<u64>)>);

impl StreamEvents {
    /// Takes what a parser has buffered; none if a part of it is no event.
    fn take(parser: &mut sse::Parser) -> Option<Self> {
        let mut events = Vec::new();
        // Blocks without an id are sent together with the next event that has one, or alone if no
        // such event is buffered.
        let mut pending = BytesMut::new();
        while let Some(block) = parser.next_block() {
            if !sse::is_event(&block) {
                return None;
            }
            match sse::parse_id(&block) {
                Some(position) if pending.is_empty() => events.push((block, Some(position))),
                Some(position) => {
                    pending.extend_from_slice(&block);
                    events.push((pending.split().freeze(), Some(position)));
                }
                None => pending.extend_from_slice(&block),
            }
        }
        if !pending.is_empty() {
            events.push((pending.freeze(), None));
        }
        Some(Self(events))
    }
}

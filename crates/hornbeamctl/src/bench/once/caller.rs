//! A caller that sends one request and retries it until it has a final outcome.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hornbeamtiller_http::client::Client;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use serde_json::{json, Value};

use super::tally::{Kind, Outcome, Tally};
use crate::caller::{self as api, Entry, Request};
use crate::fleet::Fleet;

/// Maximum number of times that a caller sends one request or query for entries.
const ATTEMPTS_MAX: u32 = 40;
/// Delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// Timeout of a plain call and of a query for entries.
const CALL_TIMEOUT: Duration = Duration::from_secs(6);
/// Share of non-repeatable calls among all requests.
const NON_REPEATABLE_SHARE: f64 = 0.5;
/// Share of repeatable calls among the rest; the others are streams.
const READ_SHARE: f64 = 0.4;
/// Share of streams whose caller disconnects before the end.
const DISCONNECT_SHARE: f64 = 0.25;
/// Number of tokens after which such a caller disconnects.
const DISCONNECT_AFTER_TOKENS: usize = 20;
/// Length of a stream that is followed to its end.
const STREAM_TOKENS: u64 = 60;
/// Length of a stream whose caller disconnects; too long to end before that.
const DISCONNECTED_STREAM_TOKENS: u64 = 20_000;
/// Share of non-repeatable calls that are sent once more after their outcome.
const REPEAT_SHARE: f64 = 0.2;

/// One caller with one request.
pub struct Caller {
    fleet: Rc<RefCell<Fleet>>,
    client: Client,
    tally: Rc<RefCell<Tally>>,
    number: u64,
    rng: SmallRng,
}

impl Caller {
    /// Creates a caller with its request number and the seed of its choices.
    pub fn new(
        fleet: Rc<RefCell<Fleet>>,
        client: Client,
        tally: Rc<RefCell<Tally>>,
        number: u64,
        seed: u64,
    ) -> Self {
        Self {
            fleet,
            client,
            tally,
            number,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Sends the request and records its final outcome.
    pub async fn run(mut self) {
        let Some(entry) = self.fetch_entry().await else {
            self.tally
                .borrow_mut()
                .record_outcome(String::new(), Kind::Read, Outcome::Unresolved);
            return;
        };
        let id = format!("{}.c{}", entry.token, self.number);
        if self.rng.random_bool(NON_REPEATABLE_SHARE) {
            self.send_plain_call(entry, id, true).await;
        } else if self.rng.random_bool(READ_SHARE) {
            self.send_plain_call(entry, id, false).await;
        } else if self.rng.random_bool(DISCONNECT_SHARE) {
            self.disconnect_from_stream(entry, id).await;
        } else {
            self.follow_stream(entry, id).await;
        }
    }

    fn random_address(&mut self) -> SocketAddr {
        let fleet = self.fleet.borrow();
        fleet.members[self.rng.random_range(0..fleet.members.len())].caller
    }

    /// Fetches the preferred entry from random VMs, with retries.
    async fn fetch_entry(&mut self) -> Option<Entry> {
        for _ in 0..ATTEMPTS_MAX {
            let address = self.random_address();
            let response =
                monoio::time::timeout(CALL_TIMEOUT, api::fetch_entries(&self.client, address))
                    .await;
            if let Ok(Ok(entries)) = response {
                if let Some(entry) = entries.entries.into_iter().next() {
                    return Some(entry);
                }
            }
            monoio::time::sleep(RETRY_DELAY).await;
        }
        None
    }

    async fn send_plain_call(mut self, entry: Entry, id: String, is_non_repeatable: bool) {
        let deployment = self.fleet.borrow().deployment;
        let (repeatable_path, non_repeatable_path) = deployment.service_paths();
        let (method, path) = if is_non_repeatable {
            (http::Method::POST, non_repeatable_path)
        } else {
            (http::Method::GET, repeatable_path)
        };
        let path = format!("/v1/services/{}{path}", deployment.service());
        let request = Request::new(method, &path)
            .header("idempotency-key", &id)
            .on_new_connection();
        let (outcome, body) = self.send_until_resolved(entry.address, &request).await;
        if let Some(body) = &body {
            let value: Value = serde_json::from_slice(body).unwrap_or_default();
            if value["id"] != id.as_str() {
                self.tally.borrow_mut().record_mixed_answer();
            }
        }
        if is_non_repeatable && self.rng.random_bool(REPEAT_SHARE) {
            self.repeat_call(entry.address, &request, &outcome, body.as_ref())
                .await;
        }
        self.tally.borrow_mut().record_outcome(
            id,
            if is_non_repeatable {
                Kind::Once
            } else {
                Kind::Read
            },
            outcome,
        );
    }

    /// Repeats a request after its outcome: its response must not change, and a request that was
    /// refused as `not_run` must not get a successful one.
    async fn repeat_call(
        &mut self,
        entry_address: SocketAddr,
        request: &Request,
        outcome: &Outcome,
        body: Option<&Bytes>,
    ) {
        let (_, repeated) = self.send_until_resolved(entry_address, request).await;
        let Some(repeated) = repeated else {
            return;
        };
        let is_proven_not_run =
            matches!(outcome, Outcome::Refused { code, .. } if code == "not_run");
        if is_proven_not_run || body.is_some_and(|body| *body != repeated) {
            self.tally.borrow_mut().record_double_answer();
        }
    }

    async fn send_until_resolved(
        &mut self,
        entry_address: SocketAddr,
        request: &Request,
    ) -> (Outcome, Option<Bytes>) {
        let mut address = entry_address;
        for attempt in 0..ATTEMPTS_MAX {
            if attempt > 0 {
                self.tally.borrow_mut().record_retry();
                monoio::time::sleep(RETRY_DELAY).await;
                address = self.random_address();
            }
            let sent = api::send(&self.client, address, request);
            let Ok(Ok(response)) = monoio::time::timeout(CALL_TIMEOUT, sent).await else {
                continue;
            };
            match response.refusal() {
                None if response.head.status.is_success() => {
                    return (Outcome::Answered, Some(response.body))
                }
                Some((code, reason)) if code != "in_progress" => {
                    return (Outcome::Refused { code, reason }, None)
                }
                _ => {}
            }
        }
        (Outcome::Unresolved, None)
    }

    fn completion_request(&self, id: &str, tokens: u64, last_event: usize) -> (String, Request) {
        let prompt = format!("journey log of request {} ", self.number).repeat(40);
        let model = self.fleet.borrow().deployment.model();
        let body =
            json!({ "model": model, "prompt": prompt, "max_tokens": tokens, "stream": true });
        let mut request = Request::post("/v1/completions", &body).header("idempotency-key", id);
        if last_event > 0 {
            request = request.header("last-event-id", &last_event.to_string());
        }
        (prompt, request)
    }

    async fn disconnect_from_stream(self, entry: Entry, id: String) {
        let (_, request) = self.completion_request(&id, DISCONNECTED_STREAM_TOKENS, 0);
        _ = api::stream(
            &self.client,
            entry.address,
            &request,
            DISCONNECT_AFTER_TOKENS,
        )
        .await;
        self.tally
            .borrow_mut()
            .record_outcome(id, Kind::Stream, Outcome::Disconnected);
    }

    /// Follows a stream to its end, resuming it in further exchanges if it breaks.
    async fn follow_stream(mut self, entry: Entry, id: String) {
        let mut address = entry.address;
        let mut text = String::new();
        let mut received = 0;
        for attempt in 0..ATTEMPTS_MAX {
            if attempt > 0 {
                self.tally.borrow_mut().record_retry();
                monoio::time::sleep(RETRY_DELAY).await;
                address = self.random_address();
            }
            let (prompt, request) = self.completion_request(&id, STREAM_TOKENS, received);
            let Ok(streamed) = api::stream(&self.client, address, &request, usize::MAX).await
            else {
                continue;
            };
            let next = received as u64 + 1;
            let is_contiguous = streamed
                .positions
                .iter()
                .zip(next..)
                .all(|(actual, expected)| *actual == expected);
            if !is_contiguous {
                self.tally.borrow_mut().record_mixed_answer();
            }
            if attempt > 0 && received > 0 && !streamed.positions.is_empty() {
                self.tally.borrow_mut().record_resumed_stream();
            }
            received += streamed.positions.len();
            text.push_str(&streamed.text);
            if streamed.done {
                self.check_stream_text(&prompt, &text, received);
                self.tally
                    .borrow_mut()
                    .record_outcome(id, Kind::Stream, Outcome::Answered);
                return;
            }
            if let Some(refusal) = streamed.refusal {
                if let Some(outcome) = parse_refusal(&refusal) {
                    self.tally
                        .borrow_mut()
                        .record_outcome(id, Kind::Stream, outcome);
                    return;
                }
            }
        }
        self.tally
            .borrow_mut()
            .record_outcome(id, Kind::Stream, Outcome::Unresolved);
    }

    /// Checks the text of a complete stream: each token of the stand-in contains the digest of its
    /// prompt and its position.
    fn check_stream_text(&self, prompt: &str, text: &str, received: usize) {
        let digest = hornbeamtiller_standin::engine::prompt_digest(prompt);
        let expected: String = (1..=STREAM_TOKENS)
            .map(|position| format!("{digest:08x}:{position} "))
            .collect();
        if text != expected || received as u64 != STREAM_TOKENS {
            self.tally.borrow_mut().record_mixed_answer();
        }
    }
}

fn parse_refusal(body: &str) -> Option<Outcome> {
    let value: Value = serde_json::from_str(body).ok()?;
    let code = value["error"]["code"].as_str()?.to_owned();
    let reason = value["error"]["reason"].as_str()?.to_owned();
    (code != "in_progress").then_some(Outcome::Refused { code, reason })
}

//! A caller that sends one request and asks for it again until it has its word.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hornbeamtiller_http::client::Client;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use serde_json::{json, Value};

use super::tally::{Sort, Tally, Word};
use crate::caller::{self as api, Ask, Entry};
use crate::fleet::Fleet;

/// Times that a caller asks for one request.
const ASKS_MAX: u32 = 40;
/// Pause between two of them.
const PAUSE: Duration = Duration::from_millis(400);
/// Longest wait for a plain call's answer.
const PATIENCE: Duration = Duration::from_secs(6);
/// Share of calls that may run only once; of the rest, share of reads.
const ONCE_SHARE: f64 = 0.5;
const READ_SHARE: f64 = 0.4;
/// Share of streams whose caller leaves before their end, after this many tokens at most.
const LEAVE_SHARE: f64 = 0.25;
const LEAVE_AFTER: usize = 20;
/// Tokens of a stream that is followed to its end, and of one that is left.
const TOKENS: u64 = 60;
const LEFT_TOKENS: u64 = 20_000;
/// Share of callers that ask once more after their word.
const AGAIN_SHARE: f64 = 0.2;

/// One caller with one request.
pub struct Caller {
    fleet: Rc<RefCell<Fleet>>,
    client: Client,
    tally: Rc<RefCell<Tally>>,
    number: u64,
    rng: SmallRng,
}

impl Caller {
    /// A caller.
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

    /// Sends the request and sees it through.
    pub async fn run(mut self) {
        let Some(entry) = self.entry().await else {
            self.tally
                .borrow_mut()
                .end(String::new(), Sort::Read, Word::Lost);
            return;
        };
        let id = format!("{}.c{}", entry.token, self.number);
        if self.rng.random_bool(ONCE_SHARE) {
            self.plain(entry, id, true).await;
        } else if self.rng.random_bool(READ_SHARE) {
            self.plain(entry, id, false).await;
        } else if self.rng.random_bool(LEAVE_SHARE) {
            self.left_stream(entry, id).await;
        } else {
            self.stream(entry, id).await;
        }
    }

    fn any_address(&mut self) -> SocketAddr {
        let fleet = self.fleet.borrow();
        fleet.members[self.rng.random_range(0..fleet.members.len())].caller
    }

    /// Asks any VM which address to use.
    async fn entry(&mut self) -> Option<Entry> {
        for _ in 0..ASKS_MAX {
            let address = self.any_address();
            let asked = monoio::time::timeout(PATIENCE, api::entries(&self.client, address)).await;
            if let Ok(Ok(entries)) = asked {
                if let Some(entry) = entries.entries.into_iter().next() {
                    return Some(entry);
                }
            }
            monoio::time::sleep(PAUSE).await;
        }
        None
    }

    async fn plain(mut self, entry: Entry, id: String, once: bool) {
        let deployment = self.fleet.borrow().deployment;
        let (read, top_up) = deployment.service_paths();
        let (method, path) = if once {
            (http::Method::POST, top_up)
        } else {
            (http::Method::GET, read)
        };
        let path = format!("/v1/services/{}{path}", deployment.service());
        let ask = Ask::new(method, &path)
            .header("idempotency-key", &id)
            .fresh();
        let (word, body) = self.ask_until_word(entry.address, &ask).await;
        if let Some(body) = &body {
            let value: Value = serde_json::from_slice(body).unwrap_or_default();
            if value["id"] != id.as_str() {
                self.tally.borrow_mut().mixed_answer();
            }
        }
        if once && self.rng.random_bool(AGAIN_SHARE) {
            self.ask_again(entry.address, &ask, &word, body.as_ref())
                .await;
        }
        self.tally
            .borrow_mut()
            .end(id, if once { Sort::Once } else { Sort::Read }, word);
    }

    /// Asks once more: the word must not change to another answer, nor a proof be taken back.
    async fn ask_again(&mut self, first: SocketAddr, ask: &Ask, word: &Word, body: Option<&Bytes>) {
        let (_, again) = self.ask_until_word(first, ask).await;
        let Some(again) = again else {
            return;
        };
        let proved = matches!(word, Word::Refused { code, .. } if code == "not_run");
        if proved || body.is_some_and(|body| *body != again) {
            self.tally.borrow_mut().double_answer();
        }
    }

    async fn ask_until_word(&mut self, first: SocketAddr, ask: &Ask) -> (Word, Option<Bytes>) {
        let mut address = first;
        for turn in 0..ASKS_MAX {
            if turn > 0 {
                self.tally.borrow_mut().retried();
                monoio::time::sleep(PAUSE).await;
                address = self.any_address();
            }
            let sent = api::send(&self.client, address, ask);
            let Ok(Ok(answer)) = monoio::time::timeout(PATIENCE, sent).await else {
                continue;
            };
            match answer.refusal() {
                None if answer.head.status.is_success() => {
                    return (Word::Answered, Some(answer.body))
                }
                Some((code, reason)) if code != "in_progress" => {
                    return (Word::Refused { code, reason }, None)
                }
                _ => {}
            }
        }
        (Word::Lost, None)
    }

    fn completion(&self, id: &str, tokens: u64, after: usize) -> (String, Ask) {
        let prompt = format!("journey log of request {} ", self.number).repeat(40);
        let model = self.fleet.borrow().deployment.model();
        let body =
            json!({ "model": model, "prompt": prompt, "max_tokens": tokens, "stream": true });
        let mut ask = Ask::post("/v1/completions", &body).header("idempotency-key", id);
        if after > 0 {
            ask = ask.header("last-event-id", &after.to_string());
        }
        (prompt, ask)
    }

    async fn left_stream(self, entry: Entry, id: String) {
        let (_, ask) = self.completion(&id, LEFT_TOKENS, 0);
        _ = api::stream(&self.client, entry.address, &ask, LEAVE_AFTER).await;
        self.tally.borrow_mut().end(id, Sort::Stream, Word::Left);
    }

    /// Follows a stream to its end, over as many exchanges as it takes.
    async fn stream(mut self, entry: Entry, id: String) {
        let mut address = entry.address;
        let mut text = String::new();
        let mut count = 0;
        for turn in 0..ASKS_MAX {
            if turn > 0 {
                self.tally.borrow_mut().retried();
                monoio::time::sleep(PAUSE).await;
                address = self.any_address();
            }
            let (prompt, ask) = self.completion(&id, TOKENS, count);
            let Ok(streamed) = api::stream(&self.client, address, &ask, usize::MAX).await else {
                continue;
            };
            let expected = count as u64 + 1;
            let gapless = streamed
                .positions
                .iter()
                .zip(expected..)
                .all(|(got, want)| *got == want);
            if !gapless {
                self.tally.borrow_mut().mixed_answer();
            }
            if turn > 0 && count > 0 && !streamed.positions.is_empty() {
                self.tally.borrow_mut().resumed();
            }
            count += streamed.positions.len();
            text.push_str(&streamed.text);
            if streamed.done {
                self.check_text(&prompt, &text, count);
                self.tally
                    .borrow_mut()
                    .end(id, Sort::Stream, Word::Answered);
                return;
            }
            if let Some(refusal) = streamed.refusal {
                if let Some(word) = refused_word(&refusal) {
                    self.tally.borrow_mut().end(id, Sort::Stream, word);
                    return;
                }
            }
        }
        self.tally.borrow_mut().end(id, Sort::Stream, Word::Lost);
    }

    /// Each token of the stand-in names its prompt and its position.
    fn check_text(&self, prompt: &str, text: &str, count: usize) {
        let digest = hornbeamtiller_standin::engine::prompt_digest(prompt);
        let expected: String = (1..=TOKENS)
            .map(|position| format!("{digest:08x}:{position} "))
            .collect();
        if text != expected || count as u64 != TOKENS {
            self.tally.borrow_mut().mixed_answer();
        }
    }
}

fn refused_word(body: &str) -> Option<Word> {
    let value: Value = serde_json::from_str(body).ok()?;
    let code = value["error"]["code"].as_str()?.to_owned();
    let reason = value["error"]["reason"].as_str()?.to_owned();
    (code != "in_progress").then_some(Word::Refused { code, reason })
}

//! What callers and runners speak, as the gateway needs it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hornbeamtiller_relay::event::{Decline, Dispatch, Kv, Prompt};
use hornbeamtiller_relay::manifest::Manifest;
use hornbeamtiller_relay::pool::Report;
use hornbeamtiller_relay::refusal::{Reason, Refusal};
use http::{request, response, Request, Response};
use http_body_util::Full;

/// What the head of a caller's request says.
#[derive(Debug, Clone, PartialEq)]
pub struct Facts {
    /// The request's own id.
    pub id: Arc<str>,
    /// The host that it names, in lower case.
    pub host: Arc<str>,
    /// How long its caller waits.
    pub time_limit: Option<Duration>,
    /// Its size, where it is for a model.
    pub prompt: Option<Prompt>,
    /// Position after which the caller wants the stream.
    pub after: Option<u64>,
}

/// A caller's request, kept until its answer has ended.
#[derive(Debug)]
pub struct Kept {
    /// Its head.
    pub head: request::Parts,
    /// Its whole body.
    pub body: Bytes,
    /// What the head says.
    pub facts: Facts,
}

/// What the head of a runner's answer says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The runner did not run the request.
    Declined(Decline),
    /// The answer is for another request.
    Foreign,
    /// The answer can't be passed on as it is.
    Unusable,
    /// The answer is to be read whole and passed on.
    Whole,
    /// A stream of events begins.
    Stream,
}

/// Reads and writes what one kind of callers and runners speak.
pub trait Dialect: Clone + 'static {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// The reason where the head is not well formed.
    fn facts(&self, head: &request::Parts) -> Result<Facts, Reason>;

    /// Writes a final answer that does not come from a runner.
    fn refusal(&self, refusal: &Refusal) -> Response<Bytes>;

    /// Writes the request of an attempt.
    fn request(&self, kept: &Kept, dispatch: &Dispatch) -> Request<Full<Bytes>>;

    /// Reads the head of a runner's answer.
    fn verdict(&self, kept: &Kept, dispatch: &Dispatch, head: &response::Parts) -> Verdict;

    /// Reads what a runner's answer tells of its load.
    fn told(&self, head: &response::Parts) -> Option<Report>;

    /// Drops from a runner's head what concerns its connection alone, or this process alone.
    fn forward(&self, head: &mut response::Parts);

    /// Reads a prefill runner's name for the KV cache from its answer.
    fn handle(&self, body: &[u8]) -> Option<Arc<str>>;

    /// Writes the request that has a prefill runner free a KV cache.
    fn free(&self, kv: &Kv) -> Request<Full<Bytes>>;

    /// Reads a manifest as the configuration service holds it.
    fn manifest(&self, bytes: &[u8]) -> Option<Manifest>;
}

//! The protocol of callers and runners, as far as the gateway needs it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hornbeamtiller_relay::event::{Decline, Dispatch, KvCache, Prompt};
use hornbeamtiller_relay::id;
use hornbeamtiller_relay::limit::Statement;
use hornbeamtiller_relay::manifest::Manifest;
use hornbeamtiller_relay::organisation::Credential;
use hornbeamtiller_relay::pool::{Instance, Report};
use hornbeamtiller_relay::refusal::{Reason, Refusal};
use http::{request, response, Request, Response};
use http_body_util::Full;

/// Metadata of a caller's request, parsed from its head.
#[derive(Debug, Clone, PartialEq)]
pub struct Metadata {
    /// The request id that the caller chose.
    pub id: Arc<str>,
    /// The host that the request names, in lower case.
    pub host: Arc<str>,
    /// How long the caller waits for the response.
    pub time_limit: Option<Duration>,
    /// Size of the prompt, for a model request.
    pub prompt: Option<Prompt>,
    /// Tokens that the request names, of its prompt and of the longest output.
    pub stated_tokens: Option<u64>,
    /// Position after which the caller resumes a stream.
    pub resume_after: Option<u64>,
    /// Id of the request that brought the first event of that stream.
    pub resumes: Option<Arc<str>>,
    /// The parts of the prompt, in order.
    pub parts: Arc<[id::Part]>,
    /// The VM that delegates the request to this one, if it does not come from a caller.
    pub delegated_by: Option<id::Vm>,
    /// What the request says of who sends it.
    pub credential: Credential,
    /// The organisation that sends it, once that is found out.
    pub organisation: Option<id::Organisation>,
}

/// A caller's request, buffered until its response has ended so that it can be sent again.
#[derive(Debug)]
pub struct CallerRequest {
    /// The head.
    pub head: request::Parts,
    /// The complete body.
    pub body: Bytes,
    /// Metadata parsed from the head.
    pub metadata: Metadata,
}

/// How the gateway handles a runner's response, by its head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseKind {
    /// The runner did not run the request.
    Declined(Decline),
    /// The response belongs to another request.
    Mismatched,
    /// The response must not be forwarded.
    Unusable,
    /// The response is buffered and then forwarded.
    Buffered,
    /// The response is a stream of events, forwarded as they come.
    Stream,
}

/// Decodes and encodes the HTTP messages of one platform's callers and runners.
pub trait Protocol: Clone + 'static {
    /// Parses the head of a caller's request.
    ///
    /// # Errors
    ///
    /// The reason why the head is malformed.
    fn parse_request_head(&self, head: &request::Parts) -> Result<Metadata, Reason>;

    /// Builds a final response that does not come from a runner.
    fn build_refusal(&self, refusal: &Refusal) -> Response<Bytes>;

    /// Builds the request of an attempt.
    fn build_request(
        &self,
        caller_request: &CallerRequest,
        dispatch: &Dispatch,
    ) -> Request<Full<Bytes>>;

    /// Classifies a runner's response by its head.
    fn classify_response(
        &self,
        caller_request: &CallerRequest,
        dispatch: &Dispatch,
        head: &response::Parts,
    ) -> ResponseKind;

    /// Parses the load that a runner reports in its response.
    fn parse_load(&self, head: &response::Parts) -> Option<Report>;

    /// Parses what a runner says of its limit; `None` if that can't be understood.
    fn parse_limit(&self, head: &response::Parts) -> Option<Statement>;

    /// Parses for how long a runner that declines a request asks for no further ones; none if it does not.
    fn parse_rest(&self, head: &response::Parts) -> Option<Duration>;

    /// Whether a response says that its runner leaves.
    fn says_departure(&self, head: &response::Parts) -> bool;

    /// Marks a response as a runner's, for the VM that has delegated the request. What a VM says of itself it marks in
    /// [`Protocol::build_refusal`]; no runner can set either mark.
    fn mark_answered(&self, head: &mut response::Parts);

    /// Names the runner that leaves in a response to the VM that has delegated the request.
    fn add_departure(&self, head: &mut response::Parts, runner: &Instance);

    /// Parses which runner leaves, as named by the VM to which the request was delegated.
    fn parse_departure(&self, head: &response::Parts) -> Option<Instance>;

    /// Removes hop-by-hop headers, and those meant for the gateway alone, from a runner's response.
    fn strip_response_head(&self, head: &mut response::Parts);

    /// Parses a prefill runner's handle of the KV cache from the body of its response.
    fn parse_cache_handle(&self, body: &[u8]) -> Option<Arc<str>>;

    /// Builds the request that makes a prefill runner free a KV cache.
    fn build_kv_free(&self, kv: &KvCache) -> Request<Full<Bytes>>;

    /// Builds the request that asks an engine which parts of prompts it holds.
    fn build_part_list(&self, engine: &Instance, address: SocketAddr) -> Request<Full<Bytes>>;

    /// Parses the list of the parts that an engine holds; `None` if it is no complete list.
    fn parse_part_list(&self, body: &[u8]) -> Option<Vec<id::Part>>;

    /// Parses a manifest in the encoding of the configuration service.
    fn parse_manifest(&self, bytes: &[u8]) -> Option<Manifest>;
}

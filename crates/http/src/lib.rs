//! HTTP on monoio for callers, runners, the platform and operators: a bounded server, a client
//! with kept-open connections, and server-sent events.
//!
//! The codec is `hyper` over `monoio-compat`. `monoio-http` is not used: its chunked encoder holds
//! back small chunks, which would stall a stream of tokens, and its decoder does not bound the
//! bytes of a head.

pub mod accept;
pub mod body;
pub mod cancel;
pub mod client;
pub mod idle_timeout;
mod parse_refusal;
pub mod runtime;
pub mod server;
pub mod socket;
pub mod sse;

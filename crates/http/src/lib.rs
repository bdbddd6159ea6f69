//! HTTP/1.1 on monoio for callers, runners, the platform and operators: a server with resource
//! limits, a client with a connection pool, and server-sent events.
//!
//! The codec is `hyper` over `monoio-compat`. `monoio-http` is not used: its chunked encoder
//! buffers small chunks, which would stall a token stream, and its decoder does not limit the size
//! of a request head.

pub mod accept;
pub mod body;
pub mod cancel;
pub mod client;
mod connection;
mod delivery;
pub mod idle_timeout;
pub mod memory;
mod parse_refusal;
pub mod pulse;
pub mod runtime;
pub mod server;
pub mod socket;
pub mod sse;
mod turn;

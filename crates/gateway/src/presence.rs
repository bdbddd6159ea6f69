//! Whether the process of a runner has ended.

use std::net::SocketAddr;
use std::time::Duration;

use hornbeamtiller_http::socket::{self, Finding};
use hornbeamtiller_relay::event::Presence;

/// Timeout of the connection that shows whether anything listens.
const TIMEOUT: Duration = Duration::from_millis(400);

/// Whether a runner has ended with the connection that has just ended.
pub async fn has_ended(address: SocketAddr) -> bool {
    socket::has_stopped_listening(address, TIMEOUT).await
}

/// Tries to connect to a runner. Only a refusal proves that it has ended.
pub async fn check(address: SocketAddr) -> Presence {
    match socket::probe(address, TIMEOUT).await {
        Finding::Listening => Presence::Listening,
        Finding::Refused => Presence::Refused,
        Finding::Unknown => Presence::Unknown,
    }
}

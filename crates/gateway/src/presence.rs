//! Whether the process of a runner has ended.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use hornbeamtiller_http::socket;
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
        Ok(()) => Presence::Listening,
        Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => Presence::Refused,
        Err(error) => {
            log::info!(runner_address:% = address, error:% = error; "presence_unknown");
            Presence::Unknown
        }
    }
}

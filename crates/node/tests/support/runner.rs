//! A plain runner whose answers tests write themselves.

use std::net::SocketAddr;
use std::time::Duration;

use monoio::io::AsyncReadRent as _;
use monoio::net::{TcpListener, TcpStream};
use serde_json::json;

use super::{keyring, Fleet};
use hornbeamtiller_core::token::Token;

/// Time limit of a call to the plain service.
const CALL_TIME_MAX: Duration = Duration::from_secs(3);

/// A runner that listens at an address.
pub struct Runner(TcpListener);

impl Runner {
    /// Listens, and becomes the only runner of the plain service at all nodes.
    pub async fn open(fleet: &Fleet) -> Self {
        Self::open_with(fleet, CALL_TIME_MAX).await
    }

    /// As [`open`](Self::open), with the time limit of each call.
    pub async fn open_with(fleet: &Fleet, call_time_max: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let address = listener.local_addr().expect("an address");
        publish(fleet, address, call_time_max).await;
        Self(listener)
    }

    /// Waits for a request and reads it. The runner listens until it is dropped.
    pub async fn accept(&self) -> TcpStream {
        let (mut stream, _) = self.0.accept().await.expect("a connection");
        let (read, _) = stream.read(Vec::with_capacity(4096)).await;
        assert!(read.expect("a request") > 0);
        stream
    }
}

async fn publish(fleet: &Fleet, address: SocketAddr, call_time_max: Duration) {
    let mut items = fleet.fixture.ticket_items();
    items["endpoint/payments-app"]["timeout_ms"] = json!(call_time_max.as_millis() as u64);
    items["endpoint/payments-app"]["runners"] = json!([{
        "id": "scripted", "address": address.to_string(), "zone": "zone-1", "role": "both", "slots": 20,
    }]);
    let ticket = fleet.fixture.store().publish(items);
    for node in 0..fleet.nodes.len() {
        let has_ticket = || async {
            let token = Token::decode(&fleet.token(node).await, &keyring());
            token.expect("a good token").ticket == ticket
        };
        fleet
            .eventually("the ticket to be applied", has_ticket)
            .await;
    }
}

//! Connections that wait for timers to fire.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use monoio::io::{AsyncReadRent as _, AsyncWriteRentExt as _};
use monoio::net::TcpStream;

use hornbeamtiller_http::pulse;
use hornbeamtiller_http::runtime::block_on;
use hornbeamtiller_http::server::{Limits, Server};
use support::Small;

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n";
/// More than a connection takes before it looks whether timers fire.
const REQUESTS: usize = 100;
/// Time without a beat after which connections wait.
const STALL_TIME: Duration = Duration::from_millis(100);
/// Time after which a connection is held to wait.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends one request after the other and returns how many get a response.
async fn count_served() -> usize {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = Server::bind(any, Limits::default(), Small).expect("a listener");
    let connected = TcpStream::connect_addr(server.address()).await;
    let mut stream = connected.expect("connected");
    for number in 0..REQUESTS {
        stream.write_all(REQUEST).await.0.expect("written");
        let reading = stream.read(vec![0; 4096]);
        match monoio::time::timeout(RESPONSE_TIMEOUT, reading).await {
            Ok((Ok(1..), _)) => {}
            _ => return number,
        }
    }
    REQUESTS
}

/// Guards against a runtime whose connections wait for the timers of one that has ended on the same thread, or that wakes
/// tasks of that one.
#[test]
fn beat_of_next_runtime() {
    let served = block_on(async {
        pulse::beat();
        std::thread::sleep(STALL_TIME);
        count_served().await
    });
    assert!(served.expect("a runtime") < REQUESTS);
    let served = block_on(async {
        let served = count_served().await;
        pulse::beat();
        served
    });
    assert_eq!(served.expect("a runtime"), REQUESTS);
}

//! The server's connection limit and its shutdown.

use std::net::SocketAddr;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use monoio::io::AsyncWriteRentExt as _;
use monoio::net::TcpStream;

use hornbeamtiller_http::body::{Never, Outgoing};
use hornbeamtiller_http::runtime::block_on;
use hornbeamtiller_http::server::{Handler, Limits, Server};

/// Longer than the interval at which a server at its connection limit looks for a free place.
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// Longer than the test.
const HANDLER_TIME: Duration = Duration::from_secs(60);

/// Takes long to respond.
#[derive(Clone)]
struct Slow;

impl Handler for Slow {
    type Source = Never;

    async fn handle(&self, _request: Request<Incoming>) -> Response<Outgoing<Never>> {
        monoio::time::sleep(HANDLER_TIME).await;
        Response::new(Outgoing::full(bytes::Bytes::new()))
    }
}

/// A closed server at its connection limit stops listening, although its connection stays open for
/// as long as its exchange takes.
#[test]
fn close_at_connection_limit() {
    block_on(async {
        let limits = Limits {
            connections: 1,
            ..Limits::default()
        };
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Server::bind(any, limits, Slow).expect("a listener");
        let address = server.address();
        let mut open = Vec::new();
        for _ in 0..2 {
            let mut stream = TcpStream::connect_addr(address).await.expect("connected");
            let request = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n".to_vec();
            let (written, _) = stream.write_all(request).await;
            written.expect("written");
            open.push(stream);
            monoio::time::sleep(SETTLE_TIME).await;
        }
        assert_eq!(server.connection_count(), 1);
        server.close();
        monoio::time::sleep(SETTLE_TIME).await;
        assert!(TcpStream::connect_addr(address).await.is_err());
        drop(open);
    })
    .expect("a runtime");
}

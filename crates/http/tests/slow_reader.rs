//! Clients that take their responses slowly, on connections that they keep.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hornbeamtiller_http::body::{Never, Outgoing};
use hornbeamtiller_http::runtime::block_on;
use hornbeamtiller_http::server::{Handler, Limits, Server};
use http::{Request, Response};
use hyper::body::Incoming;
use monoio::io::{AsyncReadRent as _, AsyncWriteRentExt as _};
use monoio::net::TcpStream;
use socket2::{Domain, Socket, Type};

/// Less than the system holds for a connection.
const BODY_BYTES: usize = 60_000;
const RECEIVE_BUFFER_BYTES: usize = 16 << 10;
const READ_BYTES: usize = 1_460;
const READ_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(500);
/// Longer than sent bytes may stay unacknowledged.
const LENGTH: Duration = Duration::from_secs(13);
const CLIENTS: usize = 12;

#[derive(Clone)]
struct Large;

impl Handler for Large {
    type Source = Never;

    async fn handle(&self, _: Request<Incoming>) -> Response<Outgoing<Never>> {
        Response::new(Outgoing::full(vec![b'x'; BODY_BYTES]))
    }
}

fn bind() -> Server {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    Server::bind(any, Limits::default(), Large).expect("a listener")
}

fn connect(address: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let bounded = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    bounded.expect("a small buffer");
    socket.connect(&address.into()).expect("a connection");
    socket.set_nonblocking(true).expect("a socket");
    TcpStream::from_std(socket.into()).expect("a stream")
}

async fn send_request(stream: &mut TcpStream) {
    let request = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n".to_vec();
    stream.write_all(request).await.0.expect("written");
}

async fn receive_slowly(stream: &mut TcpStream) {
    let mut received = 0;
    let mut buffer = vec![0; READ_BYTES];
    while received < BODY_BYTES {
        let (read, filled) = stream.read(buffer).await;
        buffer = filled;
        let bytes = read.expect("no reset");
        assert!(bytes > 0, "cut after {received} bytes");
        // The head comes with the first bytes.
        received += match memchr::memmem::find(&buffer[..bytes], b"\r\n\r\n") {
            Some(head_end) => bytes - head_end - 4,
            None => bytes,
        };
        monoio::time::sleep(READ_INTERVAL).await;
    }
}

async fn call_repeatedly(address: SocketAddr) {
    let mut stream = connect(address);
    let began_at = Instant::now();
    while began_at.elapsed() < LENGTH {
        send_request(&mut stream).await;
        receive_slowly(&mut stream).await;
        monoio::time::sleep(REQUEST_INTERVAL).await;
    }
}

/// Guards against a system that gives up the connection of a client which takes all that it is sent, but slowly: it counts
/// the time from when it first found no room there, in whichever response that was.
#[test]
fn slow_reader_keeps_connection() {
    block_on(async {
        let server = bind();
        let clients = (0..CLIENTS).map(|_| monoio::spawn(call_repeatedly(server.address())));
        let clients: Vec<_> = clients.collect();
        futures::future::join_all(clients).await;
    })
    .expect("a runtime");
}

/// Guards against a connection that is kept for a client which takes nothing more.
#[test]
fn stopped_reader_is_cut() {
    block_on(async {
        let server = bind();
        let mut stream = connect(server.address());
        send_request(&mut stream).await;
        monoio::time::sleep(LENGTH).await;
        assert_eq!(server.connection_count(), 0);
    })
    .expect("a runtime");
}

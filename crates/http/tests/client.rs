//! How the client's connections end.

use std::io::{Read as _, Write as _};
use std::net::SocketAddr;
use std::sync::mpsc;
use std::time::Duration;

use bytes::Bytes;
use hornbeamtiller_http::client::{Client, Error, Reuse, Settings};
use hornbeamtiller_http::runtime::block_on;
use http::Request;
use http_body_util::Full;
use monoio::io::{AsyncReadRent as _, AsyncWriteRent as _, AsyncWriteRentExt as _};
use monoio::net::{ListenerOpts, TcpListener, TcpStream};

/// Receive buffer of the server, far smaller than a request, so that most of it waits at the client.
const RECEIVE_BUFFER_BYTES: usize = 4 << 10;
/// Size of a request body.
const BODY_BYTES: usize = 60 << 10;
/// Time for the client to write a request, or to close a connection.
const SETTLE_TIME: Duration = Duration::from_millis(300);
/// Time limit for one step of a test.
const STEP_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which the client keeps idle connections. Longer than its interval for dropping them.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_200);

fn listen() -> (TcpListener, SocketAddr) {
    let options = ListenerOpts::new().recv_buf_size(RECEIVE_BUFFER_BYTES);
    let listener = TcpListener::bind_with_config("127.0.0.1:0", &options).expect("a listener");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

fn client() -> Client {
    Client::new(Settings {
        idle_timeout: IDLE_TIMEOUT,
        user_timeout: None,
        ..Settings::default()
    })
}

fn request() -> Request<Full<Bytes>> {
    Request::post("/")
        .header("host", "h")
        .body(Full::new(Bytes::from(vec![b'x'; BODY_BYTES])))
        .expect("a request")
}

async fn accept(listener: &TcpListener) -> TcpStream {
    let accepted = monoio::time::timeout(STEP_TIMEOUT, listener.accept()).await;
    accepted.expect("in time").expect("a connection").0
}

/// Reads until the connection ends, and returns how many bytes arrived.
async fn count_bytes(mut stream: TcpStream) -> usize {
    let mut received = 0;
    loop {
        let reading = stream.read(Vec::with_capacity(64 << 10));
        let read = monoio::time::timeout(STEP_TIMEOUT, reading).await;
        match read.expect("an end in time").0 {
            Ok(0) | Err(_) => return received,
            Ok(count) => received += count,
        }
    }
}

/// Guards against a request that reaches its server long after it was given up.
#[test]
fn send_once_dropped_unacknowledged() {
    block_on(async {
        let (listener, address) = listen();
        let client = client();
        let sending = client.send_once(address, request(), Reuse::Fresh, STEP_TIMEOUT);
        let sent = monoio::time::timeout(SETTLE_TIME, sending).await;
        assert!(sent.is_err(), "answered");
        let stream = accept(&listener).await;
        monoio::time::sleep(SETTLE_TIME).await;
        assert!(count_bytes(stream).await < BODY_BYTES);
    })
    .expect("a runtime");
}

/// Answers one request on one connection, and returns once that connection ends.
async fn serve_one(listener: TcpListener) {
    let mut stream = accept(&listener).await;
    let (read, _) = stream.read(Vec::with_capacity(64 << 10)).await;
    read.expect("a request");
    let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood".to_vec();
    let (written, _) = stream.write_all(answer).await;
    written.expect("written");
    count_bytes(stream).await;
}

async fn get(client: &Client, address: SocketAddr) {
    let request = Request::get("/")
        .header("host", "h")
        .body(Full::default())
        .expect("a request");
    let sent = client
        .send_once(address, request, Reuse::Allowed, STEP_TIMEOUT)
        .await;
    let response = sent.expect("a response");
    let collected = response.collect(1 << 10, STEP_TIMEOUT).await;
    collected.expect("a complete response");
}

/// Guards against connections kept open to addresses that are not used any more.
#[test]
fn send_once_idle_elsewhere_expired() {
    block_on(async {
        let client = client();
        let (unused, unused_address) = listen();
        let closing = monoio::spawn(serve_one(unused));
        get(&client, unused_address).await;
        monoio::time::sleep(IDLE_TIMEOUT * 2).await;
        let (used, used_address) = listen();
        monoio::spawn(serve_one(used));
        get(&client, used_address).await;
        // Fails if the first connection is still open when its time is up.
        closing.await;
    })
    .expect("a runtime");
}

/// A server that answers before it has read a request still gets the rest of that.
#[test]
fn send_once_answered_early() {
    block_on(async {
        let (listener, address) = listen();
        let client = client();
        let serving = monoio::spawn(async move {
            let mut stream = accept(&listener).await;
            let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood".to_vec();
            let (written, _) = stream.write_all(answer).await;
            written.expect("written");
            monoio::time::sleep(SETTLE_TIME * 2).await;
            count_bytes(stream).await
        });
        let sent = client
            .send_once(address, request(), Reuse::Fresh, STEP_TIMEOUT)
            .await;
        let response = sent.expect("a response");
        let (_, body) = response
            .collect(1 << 10, STEP_TIMEOUT)
            .await
            .expect("a complete response");
        assert_eq!(&body[..], b"good");
        monoio::time::sleep(SETTLE_TIME).await;
        drop(client);
        assert!(serving.await > BODY_BYTES);
    })
    .expect("a runtime");
}

/// Has a server send a response that ends with its connection, before or after it has read the request; returns the body.
async fn collect_ended(reads_request: bool) -> Result<Bytes, Error> {
    let (listener, address) = listen();
    let serving = monoio::spawn(async move {
        let mut stream = accept(&listener).await;
        let mut received = 0;
        while reads_request && received < BODY_BYTES {
            let (read, part) = stream.read(Vec::with_capacity(64 << 10)).await;
            read.expect("a part of the request");
            received += part.iter().filter(|byte| **byte == b'x').count();
        }
        let (written, _) = stream.write_all("HTTP/1.1 200 OK\r\n\r\npart").await;
        written.expect("a response");
        stream.shutdown().await.expect("an end");
        stream
    });
    let client = client();
    let sent = client.send_once(address, request(), Reuse::Fresh, STEP_TIMEOUT);
    let (_, body) = sent.await?.collect(BODY_BYTES, STEP_TIMEOUT).await?;
    drop(serving.await);
    Ok(body)
}

/// Guards against a part of a response that is taken for all of it, as the server has ended the connection while the request
/// was still on its way.
#[test]
fn collect_ended_before_request_received() {
    block_on(async {
        let early = collect_ended(false).await;
        assert!(matches!(early, Err(Error::EndedEarly)), "{early:?}");
        let whole = collect_ended(true).await;
        assert_eq!(whole.expect("a body"), "part");
    })
    .expect("a runtime");
}

/// Answers one request on each connection, in its own thread. Closes the first one when asked to, and confirms that.
fn serve_blocking(
    listener: &std::net::TcpListener,
    close: &mpsc::Receiver<()>,
    closed: &mpsc::Sender<()>,
) {
    for _ in 0..2 {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut buffer = [0; 4 << 10];
        let count = stream.read(&mut buffer).expect("a request");
        assert!(count > 0, "closed without a request");
        let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood";
        stream.write_all(answer).expect("written");
        // The test has ended if there is nobody to ask.
        _ = close.recv();
        drop(stream);
        _ = closed.send(());
    }
}

/// Sends a request on a connection that is kept from an earlier one and whose server closes it meanwhile. No task runs
/// between the close and the write. The first `polls` turns of the request come before the close.
fn send_to_closing(polls: usize) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    let (close, asked) = mpsc::channel();
    let (confirm, closed) = mpsc::channel();
    let serving = std::thread::spawn(move || serve_blocking(&listener, &asked, &confirm));
    block_on(async {
        // The tasks of a runtime run one after the other, without a look at the sockets in between.
        let task = monoio::spawn(async move {
            let client = client();
            get(&client, address).await;
            monoio::time::sleep(SETTLE_TIME).await;
            let mut second = std::pin::pin!(get(&client, address));
            for _ in 0..polls {
                assert!(futures::poll!(&mut second).is_pending(), "answered");
            }
            close.send(()).expect("a server");
            closed.recv_timeout(STEP_TIMEOUT).expect("closed");
            second.await;
        });
        task.await;
    })
    .expect("a runtime");
    serving.join().expect("a server");
}

/// Guards against a request that is written to a connection whose end has arrived already, but was not seen yet, and
/// that counts as one that may have run.
#[test]
fn send_once_end_arrived_unseen() {
    send_to_closing(0);
}

/// The same, where the end arrives after the connection was taken and before the request is written.
#[test]
fn send_once_end_arrived_before_write() {
    send_to_closing(1);
}

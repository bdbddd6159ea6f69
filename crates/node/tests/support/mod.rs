//! Entry VMs and stand-ins on one runtime, on ephemeral ports.

// Each test file uses only some of these items.
#![allow(dead_code)]

pub mod runner;

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hornbeamtiller_core::token::{Keyring, Secret, Token};
use hornbeamtiller_http::client::{Client, Reuse};
use hornbeamtiller_http::runtime::block_on;
use hornbeamtiller_node::{Flags, Node};
use hornbeamtiller_standin::deployment::Deployment;
use hornbeamtiller_standin::engine;
use hornbeamtiller_standin::fixture::{self, Fixture};
use hornbeamtiller_standin::platform::Vm;
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use monoio::io::{AsyncReadRent as _, AsyncWriteRentExt as _};
use monoio::net::TcpStream;
use serde_json::Value;

/// Key of the test fleet.
pub const KEY: &str = "the key of the test fleet";
/// Operator token of the test fleet.
pub const OPERATOR_TOKEN: &str = "the operator of the test";
/// Timeout of requests and of awaited conditions.
const TIMEOUT: Duration = Duration::from_secs(20);

/// A running fleet.
pub struct Fleet {
    pub nodes: Vec<Node>,
    pub fixture: Fixture,
    pub client: Client,
}

/// A complete response.
#[derive(Debug)]
pub struct CompleteResponse {
    pub status: StatusCode,
    pub headers: http::HeaderMap,
    pub body: Bytes,
}

impl CompleteResponse {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Status, code and reason of a refusal.
    pub fn refusal(&self) -> (u16, String, String) {
        let error = &self.json()["error"];
        let text = |name: &str| error[name].as_str().unwrap_or_default().to_owned();
        (self.status.as_u16(), text("code"), text("reason"))
    }
}

/// Flags of one entry VM.
pub fn flags(vm: u32, platform: SocketAddr) -> Flags {
    let listen = SocketAddr::from(([127, 0, 0, vm as u8], 0));
    Flags {
        vm,
        zone: format!("zone-{vm}"),
        caller_listen: listen,
        peer_listen: listen,
        operator_listen: listen,
        caller_address: None,
        peer_address: None,
        platform,
        key: KEY.to_owned(),
        previous_key: None,
        operator_token: OPERATOR_TOKEN.to_owned(),
        keep_entries_ms: 1_000,
        token_life_s: 600,
        body_bytes: 64 << 10,
        head_bytes: 8 << 10,
        head_timeout_ms: 400,
        body_timeout_ms: 400,
        answer_bytes: 64 << 10,
        connections: 1_000,
        timeline: 1_000,
        seed: Some(u64::from(vm)),
    }
}

/// The keys of the test fleet.
pub fn keyring() -> Keyring {
    Keyring::new(Secret::derive(KEY), None)
}

/// Runs a test on a fleet of `nodes` entry VMs.
pub fn with_fleet<F: Future<Output = ()>>(nodes: u32, test: impl FnOnce(Fleet) -> F) {
    block_on(async move {
        let fleet = Fleet::open(nodes).await;
        test(fleet).await;
    })
    .expect("a runtime");
}

impl Fleet {
    async fn open(count: u32) -> Self {
        let settings = fixture::Settings {
            deployment: Deployment::Myto,
            listen: SocketAddr::from(([127, 0, 1, 1], 0)),
            service_time: Duration::ZERO,
            relays: 0,
            configure_engine: |settings: &mut engine::Settings| {
                settings.prefill_base = Duration::from_millis(1)
            },
        };
        let fixture = Fixture::open(&settings).expect("stand-ins");
        let platform = fixture.platform_address();
        let open =
            |vm| Node::open(flags(vm, platform).check().expect("good flags")).expect("a node");
        let nodes: Vec<Node> = (1..=count).map(open).collect();
        let listed = nodes.iter().zip(1..).map(|(node, id)| Vm {
            id,
            zone: format!("zone-{id}"),
            caller: node.caller_address(),
            peer: node.peer_address(),
            leaving: false,
        });
        fixture.store().set_vms(listed.collect());
        let fleet = Self {
            nodes,
            fixture,
            client: Client::new(Default::default()),
        };
        for node in 0..fleet.nodes.len() {
            fleet
                .eventually("all nodes to list each other", || async {
                    fleet.entries(node).await["entries"]
                        .as_array()
                        .map(Vec::len)
                        == Some(fleet.nodes.len())
                })
                .await;
        }
        fleet
    }

    /// Waits until a condition holds; panics after [`TIMEOUT`].
    pub async fn eventually<F: Future<Output = bool>>(
        &self,
        what: &str,
        mut condition: impl FnMut() -> F,
    ) {
        let wait = async {
            while !condition().await {
                monoio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        assert!(
            monoio::time::timeout(TIMEOUT, wait).await.is_ok(),
            "timed out waiting for {what}"
        );
    }

    pub fn caller(&self, node: usize) -> SocketAddr {
        self.nodes[node].caller_address()
    }

    pub fn operator(&self, node: usize) -> SocketAddr {
        self.nodes[node].operator_address()
    }

    pub async fn entries(&self, node: usize) -> Value {
        self.get(self.caller(node), "/v1/entries").await.json()
    }

    /// An entry token of a node, issued by the node itself.
    pub async fn token(&self, node: usize) -> String {
        let entries = self.entries(node).await;
        let address = self.caller(node).to_string();
        let all = entries["entries"].as_array().cloned().unwrap_or_default();
        let entry = all
            .into_iter()
            .find(|entry| entry["address"] == address.as_str())
            .expect("the node's entry");
        entry["token"].as_str().expect("a token").to_owned()
    }

    pub async fn get(&self, address: SocketAddr, path: &str) -> CompleteResponse {
        self.send(address, Method::GET, path, &[], "").await
    }

    pub async fn send(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> CompleteResponse {
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", address.to_string());
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request
            .body(Full::new(Bytes::from(body.to_owned())))
            .expect("a good request");
        let response = self
            .client
            .send(address, request, Reuse::Fresh, TIMEOUT)
            .await
            .expect("a response");
        let (head, body) = response
            .collect(1 << 20, TIMEOUT)
            .await
            .expect("a complete response");
        CompleteResponse {
            status: head.status,
            headers: head.headers,
            body,
        }
    }

    /// Sends a non-idempotent call.
    pub async fn top_up(&self, node: usize, id: &str) -> CompleteResponse {
        let headers = [("idempotency-key", id)];
        self.send(
            self.caller(node),
            Method::POST,
            "/v1/services/payments-app/top-up",
            &headers,
            "{}",
        )
        .await
    }

    /// Returns how often an id was executed.
    pub fn executions(&self, id: &str) -> u64 {
        self.fixture
            .observed()
            .executions
            .get(id)
            .copied()
            .unwrap_or(0)
    }

    /// A token of a node, modified and signed with the fleet's key.
    pub async fn token_with(&self, node: usize, change: impl FnOnce(&mut Token)) -> String {
        let text = self.token(node).await;
        let mut token = Token::decode(&text, &keyring()).expect("a good token");
        change(&mut token);
        token.encode(&keyring())
    }
}

/// Sends raw bytes and reads until the peer closes the connection or is idle for 2 s.
pub async fn send_raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect_addr(address)
        .await
        .expect("a connection");
    _ = stream.write_all(bytes.to_vec()).await;
    read_to_end(&mut stream).await
}

/// Reads until the peer closes the connection or is idle for 2 s.
pub async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut all = Vec::new();
    loop {
        let read = stream.read(vec![0; 4096]);
        match monoio::time::timeout(Duration::from_secs(2), read).await {
            Ok((Ok(count), buffer)) if count > 0 => all.extend_from_slice(&buffer[..count]),
            _ => return String::from_utf8_lossy(&all).into_owned(),
        }
    }
}

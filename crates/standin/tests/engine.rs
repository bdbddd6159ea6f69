//! The engine stand-in frees the memory of requests that are abandoned.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hornbeamtiller_http::client::{Client, Reuse};
use hornbeamtiller_http::runtime::block_on;
use hornbeamtiller_standin::engine::{Engine, Settings};
use hornbeamtiller_standin::fault::Fault;
use http::{Method, Request};
use http_body_util::Full;
use serde_json::{json, Value};

/// Timeout of each step.
const TIMEOUT: Duration = Duration::from_secs(10);

fn request(name: &str, transfer: &Value) -> Request<Full<Bytes>> {
    let body = json!({ "prompt": "a prompt", "max_tokens": 10, "kv_transfer_params": transfer });
    Request::builder()
        .method(Method::POST)
        .uri("/v1/completions")
        .header("host", "engine")
        .header("x-request-id", name)
        .body(Full::new(Bytes::from(body.to_string())))
        .expect("a good request")
}

/// A client that disconnects during the import of a KV cache must not leak the memory reserved for
/// it: the handler is dropped before the stream exists, so that only the reservation can free it.
#[test]
fn import_abandoned_frees_pieces() {
    block_on(async {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let prefill = Engine::bind(any, Settings::new("model", "p")).expect("an engine");
        let decode = Engine::bind(any, Settings::new("model", "d")).expect("an engine");
        let client = Client::new(Default::default());
        let first = request("p1", &json!({ "do_remote_decode": true }));
        let response = client
            .send(prefill.address(), first, Reuse::Fresh, TIMEOUT)
            .await
            .expect("a prefill");
        assert!(response.head.status.is_success());
        // The export never responds, so that the import is still in progress when its client
        // disconnects.
        prefill.set_fault(Fault::Silent).expect("a fault");
        let address = prefill.address().to_string();
        let transfer =
            json!({ "do_remote_prefill": true, "remote_address": address, "handle": "p1" });
        let import = client.send(
            decode.address(),
            request("d1", &transfer),
            Reuse::Fresh,
            TIMEOUT,
        );
        let held = async {
            while decode.observed().pieces_held == 0 {
                monoio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        futures::future::select(std::pin::pin!(import), std::pin::pin!(held)).await;
        let freed = async {
            while decode.observed().pieces_held > 0 {
                monoio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        assert!(
            monoio::time::timeout(TIMEOUT, freed).await.is_ok(),
            "pieces stay held"
        );
    })
    .expect("a runtime");
}

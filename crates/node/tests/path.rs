//! Requests over real sockets from caller to runner, with failing runners, unresponsive connections
//! and disconnected callers.

mod support;

use bytes::Bytes;
use hornbeamtiller_http::client::{Response, Reuse};
use hornbeamtiller_http::sse;
use hornbeamtiller_standin::fault::Fault;
use http::{Method, Request};
use http_body_util::Full;
use monoio::io::AsyncWriteRentExt as _;
use monoio::net::TcpStream;
use serde_json::{json, Value};

use support::{read_to_end, with_fleet, Fleet, OPERATOR_TOKEN};

const APPS: [&str; 3] = ["app-1", "app-2", "app-3"];
const DECODES: [&str; 6] = [
    "decode-1", "decode-2", "decode-3", "decode-4", "decode-5", "decode-6",
];

fn set_faults(fleet: &Fleet, runners: &[&str], fault: Fault) {
    for runner in runners {
        assert!(fleet
            .fixture
            .set_fault(runner, fault)
            .expect("the runner listens"));
    }
}

async fn open_stream(
    fleet: &Fleet,
    node: usize,
    tokens: u64,
    headers: &[(&str, &str)],
) -> Response {
    let body =
        json!({ "model": "summarizer", "prompt": "a log", "max_tokens": tokens, "stream": true });
    let address = fleet.caller(node);
    let mut request = Request::builder()
        .method(Method::POST)
        .uri("/v1/completions")
        .header("host", "x");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request
        .body(Full::new(Bytes::from(body.to_string())))
        .expect("a good request");
    let timeout = std::time::Duration::from_secs(20);
    fleet
        .client
        .send(address, request, Reuse::Fresh, timeout)
        .await
        .expect("a response")
}

/// Reads events until `limit` tokens have arrived or the stream has ended. Returns the positions
/// read and whether `[DONE]` was received.
async fn read_tokens(
    response: &mut Response,
    parser: &mut sse::Parser,
    limit: usize,
) -> (Vec<u64>, bool) {
    let mut positions = Vec::new();
    let timeout = std::time::Duration::from_secs(20);
    loop {
        while let Some(event) = parser.next_event() {
            if &*event.data == b"[DONE]" {
                return (positions, true);
            }
            positions.push(event.id.expect("a position"));
            if positions.len() == limit {
                return (positions, false);
            }
        }
        match response.chunk(timeout).await.expect("the stream goes on") {
            Some(chunk) => parser.push(&chunk).expect("small events"),
            None => return (positions, false),
        }
    }
}

#[test]
fn call_runs_once() {
    with_fleet(3, |fleet| async move {
        let id = format!("{}.a", fleet.token(0).await);
        let first = fleet.top_up(0, &id).await;
        assert_eq!(first.status, 200);
        for node in [0, 1, 2] {
            let repeat = fleet.top_up(node, &id).await;
            assert_eq!(repeat.body, first.body);
            assert_eq!(repeat.headers["idempotent-replayed"], "true");
        }
        assert_eq!(fleet.executions(&id), 1);
    });
}

#[test]
fn call_without_id_gets_one() {
    with_fleet(1, |fleet| async move {
        let path = "/v1/services/payments-app/top-up";
        let response = fleet
            .send(fleet.caller(0), Method::POST, path, &[], "{}")
            .await;
        let id = response.headers["idempotency-key"]
            .to_str()
            .expect("text")
            .to_owned();
        assert_eq!(fleet.executions(&id), 1);
        assert_eq!(fleet.top_up(0, &id).await.body, response.body);
        assert_eq!(fleet.executions(&id), 1);
    });
}

#[test]
fn call_runner_crashed() {
    with_fleet(2, |fleet| async move {
        set_faults(&fleet, &APPS[..2], Fault::Crash);
        for number in 0..6 {
            let id = format!("{}.{number}", fleet.token(0).await);
            assert_eq!(
                fleet.top_up(0, &id).await.status,
                200,
                "a call that was not written is retried at another runner"
            );
            assert_eq!(fleet.executions(&id), 1);
        }
        set_faults(&fleet, &APPS, Fault::Crash);
        let id = format!("{}.last", fleet.token(0).await);
        let (_, code, reason) = fleet.top_up(0, &id).await.refusal();
        assert_eq!((&*code, &*reason), ("not_run", "no_runner"));
        set_faults(&fleet, &APPS, Fault::None);
        assert_eq!(
            fleet.top_up(0, &id).await.refusal().1,
            "not_run",
            "a repeat gets the same outcome"
        );
        assert_eq!(fleet.executions(&id), 0);
    });
}

#[test]
fn call_response_dropped() {
    with_fleet(2, |fleet| async move {
        set_faults(&fleet, &APPS, Fault::DropAnswer);
        let id = format!("{}.a", fleet.token(0).await);
        let (_, code, reason) = fleet.top_up(0, &id).await.refusal();
        assert_eq!((&*code, &*reason), ("unknown", "runner_lost"));
        set_faults(&fleet, &APPS, Fault::None);
        assert_eq!(fleet.top_up(0, &id).await.refusal().1, "unknown");
        assert_eq!(fleet.executions(&id), 1);
    });
}

#[test]
fn call_runner_unresponsive() {
    with_fleet(2, |fleet| async move {
        set_faults(&fleet, &APPS, Fault::Silent);
        let id = format!("{}.a", fleet.token(0).await);
        let (_, code, reason) = fleet.top_up(0, &id).await.refusal();
        assert_eq!((&*code, &*reason), ("unknown", "runner_timeout"));
        assert_eq!(fleet.executions(&id), 1);
    });
}

#[test]
fn call_repeatable_retried_after_loss() {
    with_fleet(1, |fleet| async move {
        set_faults(&fleet, &APPS[..1], Fault::DropAnswer);
        for _ in 0..10 {
            let response = fleet
                .get(fleet.caller(0), "/v1/services/payments-app/balance/fleet-7")
                .await;
            assert_eq!(response.status, 200);
        }
    });
}

#[test]
fn completion_collected() {
    with_fleet(1, |fleet| async move {
        let body = json!({ "model": "summarizer", "prompt": "a log", "max_tokens": 5 }).to_string();
        let response = fleet
            .send(fleet.caller(0), Method::POST, "/v1/completions", &[], &body)
            .await;
        let value: Value = response.json();
        assert_eq!(value["object"], "text_completion");
        assert_eq!(value["choices"][0]["finish_reason"], "length");
        let text = value["choices"][0]["text"].as_str().expect("text");
        let positions: Vec<&str> = text
            .split_whitespace()
            .filter_map(|token| token.split(':').nth(1))
            .collect();
        assert_eq!(positions, ["1", "2", "3", "4", "5"]);
        let messages = json!([{ "role": "user", "content": "a log" }]);
        let body =
            json!({ "model": "summarizer", "messages": messages, "max_tokens": 2 }).to_string();
        let response = fleet
            .send(
                fleet.caller(0),
                Method::POST,
                "/v1/chat/completions",
                &[],
                &body,
            )
            .await;
        assert_eq!(
            response.json()["choices"][0]["message"]["role"],
            "assistant"
        );
    });
}

#[test]
fn stream_tokens_sent_immediately() {
    with_fleet(1, |fleet| async move {
        let mut response = open_stream(&fleet, 0, 1_000, &[]).await;
        let mut parser = sse::Parser::default();
        let (mut positions, _) = read_tokens(&mut response, &mut parser, 1).await;
        // No more tokens are generated; those that were must reach the caller without a later one.
        set_faults(&fleet, &DECODES, Fault::Stall);
        let generated = fleet.fixture.observed().tokens;
        while positions.last() != Some(&generated) {
            positions.extend(read_tokens(&mut response, &mut parser, 1).await.0);
        }
    });
}

#[test]
fn stream_resumed_at_other_node() {
    with_fleet(2, |fleet| async move {
        let id = format!("{}.s", fleet.token(0).await);
        let mut response = open_stream(&fleet, 0, 40, &[("idempotency-key", &id)]).await;
        let (first, _) = read_tokens(&mut response, &mut sse::Parser::default(), 10).await;
        drop(response);
        let last = first.last().expect("tokens").to_string();
        let headers = [("idempotency-key", &*id), ("last-event-id", &*last)];
        let mut response = open_stream(&fleet, 1, 40, &headers).await;
        let (rest, done) = read_tokens(&mut response, &mut sse::Parser::default(), 1_000).await;
        assert!(done);
        assert_eq!(rest, (11..=40).collect::<Vec<_>>());
        assert_eq!(fleet.fixture.observed().prefill_tokens_wasted, 0);
    });
}

#[test]
fn prefill_response_dropped_one_request_per_attempt() {
    with_fleet(1, |fleet| async move {
        let body = json!({ "model": "summarizer", "prompt": "a log", "max_tokens": 2 }).to_string();
        let path = "/v1/completions";
        // These open the idle connections to the runners, if the client keeps any.
        for _ in 0..6 {
            fleet
                .send(fleet.caller(0), Method::POST, path, &[], &body)
                .await;
        }
        let prefills = || {
            let runners = fleet.fixture.observed().runners;
            let prefill_runners = runners
                .iter()
                .filter(|runner| runner.id.starts_with("prefill-"));
            prefill_runners.map(|runner| runner.requests).sum::<u64>()
        };
        let before = prefills();
        set_faults(
            &fleet,
            &["prefill-1", "prefill-2", "prefill-3"],
            Fault::DropAnswer,
        );
        let refused = fleet
            .send(fleet.caller(0), Method::POST, path, &[], &body)
            .await;
        assert_eq!(refused.refusal().1, "unknown");
        assert_eq!(
            prefills() - before,
            3,
            "one request for each of the three attempts"
        );
    });
}

#[test]
fn stream_decode_runner_crashed() {
    with_fleet(1, |fleet| async move {
        let mut response = open_stream(&fleet, 0, 60, &[]).await;
        let mut parser = sse::Parser::default();
        let (mut positions, _) = read_tokens(&mut response, &mut parser, 5).await;
        let observed = fleet.fixture.observed();
        let decode_runner = observed
            .runners
            .iter()
            .find(|runner| runner.streams_open > 0)
            .expect("a decode in progress");
        set_faults(&fleet, &[&*decode_runner.id], Fault::Crash);
        let (rest, done) = read_tokens(&mut response, &mut parser, 1_000).await;
        positions.extend(rest);
        assert!(done);
        assert_eq!(positions, (1..=60).collect::<Vec<_>>());
    });
}

#[test]
fn caller_disconnected_kv_freed() {
    with_fleet(1, |fleet| async move {
        let mut response = open_stream(&fleet, 0, 30_000, &[]).await;
        read_tokens(&mut response, &mut sse::Parser::default(), 3).await;
        assert!(fleet.fixture.observed().pieces_held > 0);
        drop(response);
        fleet
            .eventually("all KV cache pieces to be freed", || async {
                fleet.fixture.observed().pieces_held == 0
            })
            .await;
        assert_eq!(fleet.fixture.observed().streams_open, 0);
    });
}

#[test]
fn leave_streams_completed() {
    with_fleet(2, |fleet| async move {
        let mut response = open_stream(&fleet, 0, 100, &[]).await;
        let mut parser = sse::Parser::default();
        let (mut positions, _) = read_tokens(&mut response, &mut parser, 2).await;
        fleet.nodes[0].leave();
        fleet
            .eventually(
                "the leaving node to be removed from the entries",
                || async { fleet.entries(1).await["entries"].as_array().map(Vec::len) == Some(1) },
            )
            .await;
        let (rest, done) = read_tokens(&mut response, &mut parser, 1_000).await;
        positions.extend(rest);
        assert!(done);
        assert_eq!(positions, (1..=100).collect::<Vec<_>>());
        fleet
            .eventually("the leave to end", || async { fleet.nodes[0].has_left() })
            .await;
    });
}

#[test]
fn api_operator() {
    with_fleet(1, |fleet| async move {
        let operator = fleet.operator(0);
        assert_eq!(fleet.get(operator, "/healthz").await.status, 200);
        assert_eq!(fleet.get(operator, "/readyz").await.status, 200);
        let metrics = fleet.get(operator, "/metrics").await;
        assert!(String::from_utf8_lossy(&metrics.body).contains("hornbeamtiller_ready 1"));
        assert_eq!(
            fleet.get(operator, "/admin/v1/status").await.json()["ticket"],
            1
        );
        let id = format!("{}.a", fleet.token(0).await);
        fleet.top_up(0, &id).await;
        let timeline = fleet.get(operator, "/admin/v1/timeline").await.json();
        let kinds: Vec<&str> = timeline["entries"]
            .as_array()
            .expect("entries")
            .iter()
            .filter_map(|entry| entry["kind"].as_str())
            .collect();
        assert!(
            kinds.contains(&"accepted") && kinds.contains(&"answered"),
            "{kinds:?}"
        );
        let refused = fleet
            .send(operator, Method::POST, "/admin/v1/drain", &[], "")
            .await;
        assert_eq!(refused.status, 403);
        let wrong = [("authorization", "Bearer wrong")];
        assert_eq!(
            fleet
                .send(operator, Method::POST, "/admin/v1/drain", &wrong, "")
                .await
                .status,
            403
        );
        assert!(!fleet.nodes[0].has_left());
        let right = format!("Bearer {OPERATOR_TOKEN}");
        let drained = fleet
            .send(
                operator,
                Method::POST,
                "/admin/v1/drain",
                &[("authorization", &right)],
                "",
            )
            .await;
        assert_eq!(drained.status, 202);
        assert_eq!(fleet.get(operator, "/readyz").await.status, 503);
    });
}

/// Guards against a process that ends while an operator waits for a response.
#[test]
fn close_waits_for_operator() {
    with_fleet(1, |mut fleet| async move {
        let address = fleet.operator(0);
        let mut operator = TcpStream::connect_addr(address).await.expect("connected");
        let head = b"GET /admin/v1/status HTTP/1.1\r\nHost: x\r\n".to_vec();
        operator.write_all(head).await.0.expect("written");
        let node = fleet.nodes.remove(0);
        node.leave();
        node.wait_until_left().await;
        let closing = node.close();
        assert!(!closing.is_complete());
        assert_eq!(closing.unreceived().len(), 1);
        operator
            .write_all(b"\r\n".to_vec())
            .await
            .0
            .expect("written");
        let response = read_to_end(&mut operator).await;
        assert!(response.contains("\"lifecycle\":\"ended\""), "{response}");
        fleet
            .eventually("the close to end", || async { closing.is_complete() })
            .await;
    });
}

/// The VMs do not allow io_uring, so the runtime must use epoll.
#[test]
fn no_io_uring() {
    with_fleet(2, |fleet| async move {
        let id = format!("{}.a", fleet.token(0).await);
        fleet.top_up(0, &id).await;
        let files = std::fs::read_dir("/proc/self/fd").expect("the process's files");
        let links: Vec<_> = files
            .flatten()
            .filter_map(|file| std::fs::read_link(file.path()).ok())
            .collect();
        assert!(links
            .iter()
            .any(|link| link.to_string_lossy().contains("eventpoll")));
        assert!(!links
            .iter()
            .any(|link| link.to_string_lossy().contains("io_uring")));
    });
}

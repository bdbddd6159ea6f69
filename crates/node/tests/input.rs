//! Invalid input is refused with the right code and reason, and has no side effects.

mod support;

use std::time::Duration;

use http::Method;
use monoio::io::AsyncWriteRentExt as _;
use monoio::net::TcpStream;

use support::{read_to_end, send_raw, with_fleet};

const COMPLETIONS: &str = "/v1/completions";

fn refusal(status: u16, code: &str, reason: &str) -> (u16, String, String) {
    (status, code.to_owned(), reason.to_owned())
}

#[test]
fn limits_head_oversized() {
    with_fleet(1, |fleet| async move {
        let head = format!(
            "GET /v1/entries HTTP/1.1\r\nhost: x\r\nx-long: {}\r\n\r\n",
            "a".repeat(40 << 10)
        );
        let reply = send_raw(fleet.caller(0), head.as_bytes()).await;
        assert!(reply.starts_with("HTTP/1.1 431"), "{reply}");
        assert!(
            reply.contains(r#""code":"not_run","reason":"head_too_large""#),
            "{reply}"
        );
    });
}

#[test]
fn limits_head_too_many_headers() {
    with_fleet(1, |fleet| async move {
        let headers: String = (0..200)
            .map(|number| format!("x-{number}: 1\r\n"))
            .collect();
        let reply = send_raw(
            fleet.caller(0),
            format!("GET /v1/entries HTTP/1.1\r\n{headers}\r\n").as_bytes(),
        )
        .await;
        assert!(reply.starts_with("HTTP/1.1 431"), "{reply}");
    });
}

#[test]
fn limits_head_slow() {
    with_fleet(1, |fleet| async move {
        let mut stream = TcpStream::connect_addr(fleet.caller(0))
            .await
            .expect("connection");
        _ = stream.write_all(b"GET /v1/ent".to_vec()).await;
        fleet
            .eventually("the slow connection to be closed", || async {
                fleet.nodes[0].connections() == 0
            })
            .await;
        assert_eq!(read_to_end(&mut stream).await, "");
    });
}

#[test]
fn read_body_oversized() {
    with_fleet(1, |fleet| async move {
        let body = "x".repeat(65 << 10);
        let response = fleet
            .send(fleet.caller(0), Method::POST, COMPLETIONS, &[], &body)
            .await;
        assert_eq!(
            response.refusal(),
            refusal(413, "not_run", "body_too_large")
        );
    });
}

#[test]
fn read_body_oversized_in_chunks() {
    with_fleet(1, |fleet| async move {
        let chunk = format!("8000\r\n{}\r\n", "x".repeat(0x8000));
        let head = "POST /v1/completions HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n";
        let reply = send_raw(
            fleet.caller(0),
            format!("{head}{chunk}{chunk}{chunk}0\r\n\r\n").as_bytes(),
        )
        .await;
        assert!(reply.starts_with("HTTP/1.1 413"), "{reply}");
    });
}

#[test]
fn read_body_slow() {
    with_fleet(1, |fleet| async move {
        let head = "POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\n{\"mod";
        let reply = send_raw(fleet.caller(0), head.as_bytes()).await;
        assert!(reply.starts_with("HTTP/1.1 408"), "{reply}");
        assert!(reply.contains(r#""reason":"body_timeout""#), "{reply}");
    });
}

#[test]
fn read_body_cut_off() {
    with_fleet(1, |fleet| async move {
        let id = format!("{}.half", fleet.token(0).await);
        let head = format!(
            "POST /v1/services/payments-app/top-up HTTP/1.1\r\nhost: x\r\nidempotency-key: {id}\r\n\
             content-length: 100\r\n\r\n{{\"amount\""
        );
        let mut stream = TcpStream::connect_addr(fleet.caller(0))
            .await
            .expect("connection");
        _ = stream.write_all(head.into_bytes()).await;
        drop(stream);
        fleet
            .eventually("the connection that was cut off to be closed", || async {
                fleet.nodes[0].connections() == 0
            })
            .await;
        assert_eq!(fleet.executions(&id), 0);
        assert_eq!(fleet.top_up(0, &id).await.status, 200);
    });
}

#[test]
fn check_framing_conflicting_lengths() {
    with_fleet(1, |fleet| async move {
        let start = "POST /v1/completions HTTP/1.1\r\nhost: x\r\n";
        let duplicate = format!("{start}content-length: 2\r\ncontent-length: 5\r\n\r\n{{}}abc");
        let reply = send_raw(fleet.caller(0), duplicate.as_bytes()).await;
        assert!(reply.starts_with("HTTP/1.1 400"), "{reply}");
        assert!(reply.contains(r#""reason":"malformed""#), "{reply}");
        let both = format!(
            "{start}transfer-encoding: chunked\r\ncontent-length: 2\r\n\r\n2\r\n{{}}\r\n0\r\n\r\n"
        );
        let reply = send_raw(fleet.caller(0), both.as_bytes()).await;
        assert!(reply.starts_with("HTTP/1.1 400"), "{reply}");
    });
}

#[test]
fn request_malformed_json() {
    with_fleet(1, |fleet| async move {
        let bad = [
            "{",
            "[]",
            r#"{"model":"summarizer"}"#,
            r#"{"model":7,"prompt":"x"}"#,
            r#"{"model":"summarizer","prompt":"x","max_tokens":0}"#,
            r#"{"model":"summarizer","prompt":"x","max_tokens":99999999}"#,
        ];
        for body in bad {
            let response = fleet
                .send(fleet.caller(0), Method::POST, COMPLETIONS, &[], body)
                .await;
            assert_eq!(
                response.refusal(),
                refusal(400, "not_run", "malformed"),
                "{body}"
            );
        }
    });
}

#[test]
fn endpoint_unknown() {
    with_fleet(1, |fleet| async move {
        let body = r#"{"model":"no-such","prompt":"x"}"#;
        let response = fleet
            .send(fleet.caller(0), Method::POST, COMPLETIONS, &[], body)
            .await;
        assert_eq!(
            response.refusal(),
            refusal(404, "not_run", "unknown_endpoint")
        );
        // A model can't be called as a plain service.
        let response = fleet
            .get(fleet.caller(0), "/v1/services/summarizer/x")
            .await;
        assert_eq!(
            response.refusal(),
            refusal(404, "not_run", "unknown_endpoint")
        );
        let response = fleet.get(fleet.caller(0), "/v2/else").await;
        assert_eq!(response.refusal(), refusal(404, "not_run", "not_found"));
    });
}

#[test]
fn parse_id_malformed_forged_expired() {
    with_fleet(1, |fleet| async move {
        for id in ["x", "abc.def", "no dots at all", "."] {
            assert_eq!(
                fleet.top_up(0, id).await.refusal(),
                refusal(400, "not_run", "id_malformed"),
                "{id}"
            );
        }
        let token = fleet.token(0).await;
        let mut forged = token.clone().into_bytes();
        forged[10] = if forged[10] == b'A' { b'B' } else { b'A' };
        let forged = String::from_utf8(forged).expect("ASCII");
        assert_eq!(
            fleet.top_up(0, &format!("{forged}.a")).await.refusal(),
            refusal(403, "unknown", "id_forged")
        );
        let expired = fleet
            .token_with(0, |token| token.expiry = Duration::from_secs(1))
            .await;
        assert_eq!(
            fleet.top_up(0, &format!("{expired}.a")).await.refusal(),
            refusal(410, "unknown", "id_expired")
        );
        assert!(fleet.fixture.observed().executions.is_empty());
    });
}

#[test]
fn forward_owner_unreachable() {
    with_fleet(1, |fleet| async move {
        let other = fleet.token_with(0, |token| token.owner.vm = 99).await;
        let refused = fleet.top_up(0, &format!("{other}.a")).await.refusal();
        assert_eq!(refused, refusal(503, "unknown", "owner_unreachable"));
    });
}

#[test]
fn limits_head_incomplete_many_connections() {
    with_fleet(1, |fleet| async move {
        let mut open = Vec::new();
        for _ in 0..200 {
            let mut stream = TcpStream::connect_addr(fleet.caller(0))
                .await
                .expect("connection");
            _ = stream.write_all(b"POST /v1/comp".to_vec()).await;
            open.push(stream);
        }
        assert_eq!(fleet.get(fleet.caller(0), "/v1/entries").await.status, 200);
        fleet
            .eventually("all connections to be closed", || async {
                fleet.nodes[0].connections() == 0
            })
            .await;
    });
}

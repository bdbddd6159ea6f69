//! Answers of plain runners that have neither a length nor chunks and end with their connection.

mod support;

use monoio::io::AsyncWriteRentExt as _;

use support::runner::Runner;
use support::with_fleet;

/// An answer with neither a length nor chunks.
const ANSWER: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nan answer";

/// The end of such an answer looks the same if the runner's process has ended.
#[test]
fn answer_without_length_runner_ended() {
    with_fleet(1, |fleet| async move {
        let runner = Runner::open(&fleet).await;
        let answer = async {
            let mut stream = runner.accept().await;
            drop(runner);
            _ = stream.write_all(ANSWER).await;
        };
        let id = format!("{}.a", fleet.token(0).await);
        let (response, ()) = futures::join!(fleet.top_up(0, &id), answer);
        let (_, code, reason) = response.refusal();
        assert_eq!((&*code, &*reason), ("unknown", "runner_lost"));
    });
}

#[test]
fn answer_without_length_runner_listens() {
    with_fleet(1, |fleet| async move {
        let runner = Runner::open(&fleet).await;
        let answer = async {
            let mut stream = runner.accept().await;
            _ = stream.write_all(ANSWER).await;
        };
        let id = format!("{}.a", fleet.token(0).await);
        let (response, ()) = futures::join!(fleet.top_up(0, &id), answer);
        assert_eq!(
            (response.status.as_u16(), &*response.body),
            (200, &b"an answer"[..])
        );
    });
}

/// An answer whose status allows no body is whole with its head.
#[test]
fn answer_without_body_runner_ended() {
    with_fleet(1, |fleet| async move {
        let runner = Runner::open(&fleet).await;
        let answer = async {
            let mut stream = runner.accept().await;
            drop(runner);
            _ = stream.write_all("HTTP/1.1 204 No Content\r\n\r\n").await;
        };
        let id = format!("{}.a", fleet.token(0).await);
        let (response, ()) = futures::join!(fleet.top_up(0, &id), answer);
        assert_eq!(response.status, 204);
    });
}

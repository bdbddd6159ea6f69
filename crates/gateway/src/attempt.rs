//! One exchange with one runner, from its request to the end of its answer.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hornbeamtiller_http::client::{self, Response, Reuse};
use hornbeamtiller_http::sse;
use hornbeamtiller_relay::event::{Dispatch, Event, Operation, Outcome};
use hornbeamtiller_relay::pool::Report;

use crate::dialect::{Dialect, Kept, Verdict};
use crate::shell::{Payload, Shell};

/// Most bytes of a whole answer.
const ANSWER_BYTES_MAX: usize = 16 << 20;
/// How much longer than its time limit a runner is listened to.
const TIME_LIMIT_SLACK: Duration = Duration::from_millis(100);

/// Runs an attempt to its end and tells the reducer.
pub async fn run<D: Dialect>(shell: Shell<D>, kept: Rc<Kept>, dispatch: Dispatch) {
    let request = shell.dialect().request(&kept, &dispatch);
    let timeout = dispatch.time_limit + TIME_LIMIT_SLACK;
    let sent = shell
        .client()
        .send_once(dispatch.address, request, Reuse::Allowed, timeout)
        .await;
    let answer = match sent {
        Ok(answer) => answer,
        Err(error) => return close(&shell, &dispatch, failure(&error), None),
    };
    let told = shell.dialect().told(&answer.head);
    match shell.dialect().verdict(&kept, &dispatch, &answer.head) {
        Verdict::Declined(decline) => {
            drain(answer, timeout).await;
            close(&shell, &dispatch, Outcome::Declined(decline), told);
        }
        Verdict::Foreign => close(&shell, &dispatch, Outcome::Mismatched, None),
        Verdict::Unusable => close(&shell, &dispatch, Outcome::Lost, told),
        Verdict::Whole => whole(&shell, &dispatch, answer, told, timeout).await,
        Verdict::Stream => stream(&shell, &dispatch, answer, told, timeout).await,
    }
}

fn close<D: Dialect>(
    shell: &Shell<D>,
    dispatch: &Dispatch,
    outcome: Outcome,
    told: Option<Report>,
) {
    close_with(shell, dispatch, outcome, told, Payload::Empty);
}

fn close_with<D: Dialect>(
    shell: &Shell<D>,
    dispatch: &Dispatch,
    outcome: Outcome,
    reported: Option<Report>,
    payload: Payload,
) {
    let event = Event::AttemptEnded {
        attempt: dispatch.attempt,
        outcome,
        reported,
    };
    shell.apply_with(event, payload);
}

fn failure(error: &client::Error) -> Outcome {
    if error.is_unwritten() {
        Outcome::Unwritten
    } else {
        Outcome::Lost
    }
}

/// Reads a short answer that is not passed on, so that its connection can be kept.
async fn drain(answer: Response, timeout: Duration) {
    // The answer says all in its head; a broken body costs the connection only.
    _ = answer.collect(ANSWER_BYTES_MAX, timeout).await;
}

async fn whole<D: Dialect>(
    shell: &Shell<D>,
    dispatch: &Dispatch,
    answer: Response,
    told: Option<Report>,
    timeout: Duration,
) {
    let (mut head, body) = match answer.collect(ANSWER_BYTES_MAX, timeout).await {
        Ok(whole) => whole,
        Err(_) => return close(shell, dispatch, Outcome::Lost, told),
    };
    if dispatch.operation == Operation::Prefill {
        let outcome = match shell.dialect().handle(&body) {
            Some(handle) => Outcome::Prefilled { handle },
            None => Outcome::Lost,
        };
        return close(shell, dispatch, outcome, told);
    }
    let status = head.status.as_u16();
    shell.dialect().forward(&mut head);
    let payload = Payload::Answer(head, body);
    close_with(shell, dispatch, Outcome::Answered { status }, told, payload);
}

async fn stream<D: Dialect>(
    shell: &Shell<D>,
    dispatch: &Dispatch,
    mut answer: Response,
    told: Option<Report>,
    timeout: Duration,
) {
    let mut head = http::Response::new(()).into_parts().0;
    std::mem::swap(&mut head, &mut answer.head);
    shell.dialect().forward(&mut head);
    let attempt = dispatch.attempt;
    let mut reader = sse::Parser::default();
    let mut opening = Some(head);
    loop {
        let chunk = match answer.chunk(timeout).await {
            Ok(Some(chunk)) => chunk,
            Ok(None) => break,
            Err(_) => return close(shell, dispatch, Outcome::Lost, told),
        };
        if reader.push(&chunk).is_err() {
            return close(shell, dispatch, Outcome::Lost, told);
        }
        let pieces = Pieces::take(&mut reader);
        for (piece, position) in pieces.0 {
            // The head goes with the first event: a stream that breaks before it has no answer yet.
            if let Some(head) = opening.take() {
                shell.apply_with(Event::StreamStarted { attempt }, Payload::Head(head));
            }
            shell.apply_with(
                Event::StreamEvent { attempt, position },
                Payload::Piece(piece),
            );
        }
    }
    let outcome = if reader.has_partial_block() || opening.is_some() {
        Outcome::Lost
    } else {
        Outcome::Ended
    };
    close(shell, dispatch, outcome, told);
}

/// The whole events that have come, each with its position.
struct Pieces(Vec<(Bytes, Option<u64>)>);

impl Pieces {
    fn take(reader: &mut sse::Parser) -> Self {
        let mut pieces = Vec::new();
        // What stands before an event without an id of its own goes with the next one.
        let mut before = BytesMut::new();
        while let Some(block) = reader.next_block() {
            match sse::parse_id(&block) {
                Some(position) if before.is_empty() => pieces.push((block, Some(position))),
                Some(position) => {
                    before.extend_from_slice(&block);
                    pieces.push((before.split().freeze(), Some(position)));
                }
                None => before.extend_from_slice(&block),
            }
        }
        if !before.is_empty() {
            pieces.push((before.freeze(), None));
        }
        Self(pieces)
    }
}

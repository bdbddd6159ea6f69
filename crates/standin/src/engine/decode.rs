//! Continuous batching: each step generates the next token of every stream in the batch.

use std::pin::Pin;
use std::task::{Context, Poll, Waker};

use bytes::Bytes;
use hornbeamtiller_http::body::{Source, Truncated};
use hornbeamtiller_http::sse;

use super::state::{token_interval, State, Stream};
use super::Shared;
use crate::fault::{Fault, Switch};

/// Runs decode steps forever.
pub async fn run_batches(state: State) {
    loop {
        let size = state.batch().await.len();
        monoio::time::sleep(token_interval(state.settings(), size)).await;
        state.fault_switch().wait_while(Fault::Stall).await;
        for (request_id, stream) in state.batch().await {
            step(&state, &request_id, &stream);
        }
    }
}

fn step(state: &State, request_id: &str, stream: &Shared<Stream>) {
    let mut stream = stream.borrow_mut();
    let position = stream.emitted_before + stream.frames.len() as u64 + 1;
    let frame = token(&stream, position);
    stream.frames.push(frame);
    state.update_counters(|counters| counters.tokens += 1);
    stream.wakers.drain(..).for_each(Waker::wake);
    let done = stream.is_done();
    drop(stream);
    if done {
        state.complete_stream(request_id);
    }
}

/// Encodes the event of one token; its text is the prompt's digest and the token's position.
fn token(stream: &Stream, position: u64) -> Bytes {
    let text = format!("{:08x}:{position} ", stream.prompt_digest);
    let reason = if position >= stream.last_position {
        "\"length\""
    } else {
        "null"
    };
    let data = if stream.chat {
        format!(
            r#"{{"object":"chat.completion.chunk","choices":[{{"index":0,"delta":{{"content":"{text}"}},"finish_reason":{reason}}}]}}"#
        )
    } else {
        format!(
            r#"{{"object":"text_completion","choices":[{{"index":0,"text":"{text}","finish_reason":{reason}}}]}}"#
        )
    };
    sse::encode_event(position, &data)
}

/// The body of a streamed response.
pub struct StreamBody {
    stream: Shared<Stream>,
    fault_switch: Switch,
    next: usize,
    ended: bool,
}

impl StreamBody {
    /// Creates a body that starts after the stream's first `next` frames.
    pub fn starting_at(stream: Shared<Stream>, fault_switch: Switch, next: usize) -> Self {
        Self {
            stream,
            fault_switch,
            next,
            ended: false,
        }
    }
}

impl Source for StreamBody {
    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Truncated>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let mut stream = self.stream.borrow_mut();
        if self.fault_switch.get() == Fault::Silent {
            stream.wakers.push(cx.waker().clone());
            return Poll::Pending;
        }
        if stream.broken || self.fault_switch.get() == Fault::DropAnswer {
            return Poll::Ready(Some(Err(Truncated)));
        }
        if let Some(frame) = stream.frames.get(self.next) {
            self.next += 1;
            return Poll::Ready(Some(Ok(frame.clone())));
        }
        if stream.is_done() {
            self.ended = true;
            return Poll::Ready(Some(Ok(sse::encode_data("[DONE]"))));
        }
        stream.wakers.push(cx.waker().clone());
        Poll::Pending
    }
}

/// The source of a response body.
pub enum Chunks {
    /// The tokens of a stream.
    Stream(StreamBody),
    /// Chunks from a channel.
    Channel(hornbeamtiller_http::body::Channel),
}

impl Source for Chunks {
    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Truncated>>> {
        match self {
            Self::Stream(body) => Pin::new(body).get_mut().poll_chunk(cx),
            Self::Channel(channel) => channel.poll_chunk(cx),
        }
    }
}

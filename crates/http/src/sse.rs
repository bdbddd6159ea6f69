//! Server-sent events: a reader of streams, and the writing of single events.

use bytes::{Bytes, BytesMut};

/// Largest size of one event, in bytes.
const EVENT_MAX: usize = 256 << 10;

/// One event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The `id` field.
    pub id: Option<u64>,
    /// The `data` field.
    pub data: Bytes,
}

/// A stream that breaks the format's bounds.
#[derive(Debug, Clone, Copy, thiserror::Error)]
#[error("an event is over {EVENT_MAX} bytes")]
pub struct Oversized;

/// Splits chunks into events.
#[derive(Debug, Default)]
pub struct Parser {
    buffer: BytesMut,
}

impl Parser {
    /// Adds a chunk.
    ///
    /// # Errors
    ///
    /// [`Oversized`] where an event does not end within its bound.
    pub fn push(&mut self, chunk: &[u8]) -> Result<(), Oversized> {
        if self.buffer.len() + chunk.len() > EVENT_MAX {
            return Err(Oversized);
        }
        self.buffer.extend_from_slice(chunk);
        Ok(())
    }

    /// Takes the next whole event; comments are passed over.
    pub fn next_event(&mut self) -> Option<Event> {
        loop {
            let block = self.next_block()?;
            if let Some(event) = parse_event(&block) {
                return Some(event);
            }
        }
    }

    /// Takes the next whole block as it came, up to and with its blank line.
    pub fn next_block(&mut self) -> Option<Bytes> {
        let end = memchr::memmem::find(&self.buffer, b"\n\n")?;
        Some(self.buffer.split_to(end + 2).freeze())
    }

    /// Tells whether part of a block has come.
    pub fn has_partial_block(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// The `id` field of a block.
pub fn parse_id(block: &[u8]) -> Option<u64> {
    let line = block
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}

fn parse_event(block: &Bytes) -> Option<Event> {
    let mut data = None;
    for line in block.split(|byte| *byte == b'\n') {
        if let Some(value) = line.strip_prefix(b"data: ") {
            data = Some(block.slice_ref(value));
        }
    }
    let id = parse_id(block);
    data.map(|data| Event { id, data })
}

/// Writes one event with an id.
pub fn encode_event(id: u64, data: &str) -> Bytes {
    Bytes::from(format!("id: {id}\ndata: {data}\n\n"))
}

/// Writes one event without an id.
pub fn encode_data(data: &str) -> Bytes {
    Bytes::from(format!("data: {data}\n\n"))
}

/// Writes a comment, which probes a silent connection.
pub fn encode_comment(text: &str) -> Bytes {
    Bytes::from(format!(": {text}\n\n"))
}

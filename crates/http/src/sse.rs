//! Server-sent events: an incremental parser, and the encoding of events.

use bytes::{Bytes, BytesMut};

/// Largest size of one event, in bytes.
const EVENT_BYTES_MAX: usize = 256 << 10;

/// The fields of events, with the colon after them.
const FIELDS: [&[u8]; 4] = [b"id:", b"data:", b"event:", b"retry:"];

/// One event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The `id` field.
    pub id: Option<u64>,
    /// The `data` field.
    pub data: Bytes,
}

/// An event of a stream exceeds the size limit.
#[derive(Debug, Clone, Copy, thiserror::Error)]
#[error("event exceeds {EVENT_BYTES_MAX} bytes")]
pub struct Oversized;

/// An incremental parser that splits chunks into events.
#[derive(Debug, Default)]
pub struct Parser {
    buffer: BytesMut,
}

impl Parser {
    /// Appends a chunk to the buffer.
    ///
    /// # Errors
    ///
    /// [`Oversized`] if the buffered bytes would exceed the limit of one event.
    pub fn push(&mut self, chunk: &[u8]) -> Result<(), Oversized> {
        if self.buffer.len() + chunk.len() > EVENT_BYTES_MAX {
            return Err(Oversized);
        }
        self.buffer.extend_from_slice(chunk);
        Ok(())
    }

    /// Takes the next complete event; blocks without data, such as comments, are skipped.
    pub fn next_event(&mut self) -> Option<Event> {
        loop {
            let block = self.next_block()?;
            if let Some(event) = parse_event(&block) {
                return Some(event);
            }
        }
    }

    /// Takes the next complete block unchanged, including the blank line that ends it.
    pub fn next_block(&mut self) -> Option<Bytes> {
        let end = memchr::memmem::find(&self.buffer, b"\n\n")?;
        Some(self.buffer.split_to(end + 2).freeze())
    }

    /// Number of bytes in the buffer.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Whether the buffer holds bytes that were not taken yet.
    pub fn has_partial_block(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// Parses the numeric `id` field of a block.
pub fn parse_id(block: &[u8]) -> Option<u64> {
    let line = block
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}

/// Whether a block is an event or a comment, and not bytes of something else.
pub fn is_event(block: &[u8]) -> bool {
    let lines = block.split(|byte| *byte == b'\n');
    let mut lines = lines.filter(|line| !line.is_empty());
    let is_field = |line: &[u8]| FIELDS.iter().any(|field| line.starts_with(field));
    lines.clone().any(is_field) || lines.all(|line| line.starts_with(b":"))
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

/// Encodes an event with an id.
pub fn encode_event(id: u64, data: &str) -> Bytes {
    Bytes::from(format!("id: {id}\ndata: {data}\n\n"))
}

/// Encodes an event without an id.
pub fn encode_data(data: &str) -> Bytes {
    Bytes::from(format!("data: {data}\n\n"))
}

/// Encodes a comment, which keeps an idle connection alive and helps to detect that it is lost.
pub fn encode_comment(text: &str) -> Bytes {
    Bytes::from(format!(": {text}\n\n"))
}

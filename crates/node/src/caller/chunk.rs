//! Parser for the parts of an engine's stream chunk that are used here: text and finish reason.
//!
//! The visitors are written by hand, since every token of a non-streamed answer is parsed.

use std::borrow::Cow;
use std::fmt;

use serde::de::{Deserialize, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};

/// Text and finish reason of one token.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Chunk<'a> {
    /// The text, from a completion or a chat completion.
    pub text: Cow<'a, str>,
    /// Why generation ended, on the last token.
    pub finish_reason: Option<Cow<'a, str>>,
}

impl<'de> Deserialize<'de> for Chunk<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(ChunkVisitor)
    }
}

/// Visits a chunk and reads its first choice.
struct ChunkVisitor;

impl<'de> Visitor<'de> for ChunkVisitor {
    type Value = Chunk<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a chunk with choices")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
        let mut chunk = Chunk::default();
        while let Some(key) = map.next_key::<Cow<'de, str>>()? {
            if key == "choices" {
                chunk = map.next_value::<FirstChoice<'de>>()?.0;
            } else {
                map.next_value::<IgnoredAny>()?;
            }
        }
        Ok(chunk)
    }
}

/// The first element of `choices`.
struct FirstChoice<'a>(Chunk<'a>);

impl<'de> Deserialize<'de> for FirstChoice<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(ChoicesVisitor)
    }
}

struct ChoicesVisitor;

impl<'de> Visitor<'de> for ChoicesVisitor {
    type Value = FirstChoice<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a list of choices")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
        let first = seq.next_element::<Choice<'de>>()?;
        while seq.next_element::<IgnoredAny>()?.is_some() {}
        Ok(FirstChoice(
            first.map(|choice| choice.0).unwrap_or_default(),
        ))
    }
}

struct Choice<'a>(Chunk<'a>);

impl<'de> Deserialize<'de> for Choice<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(ChoiceVisitor)
    }
}

struct ChoiceVisitor;

impl<'de> Visitor<'de> for ChoiceVisitor {
    type Value = Choice<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a choice")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
        let mut chunk = Chunk::default();
        while let Some(key) = map.next_key::<Cow<'de, str>>()? {
            match &*key {
                "text" | "content" => chunk.text = map.next_value()?,
                "delta" => chunk.text = map.next_value::<Choice<'de>>()?.0.text,
                "finish_reason" => chunk.finish_reason = map.next_value()?,
                _ => _ = map.next_value::<IgnoredAny>()?,
            }
        }
        Ok(Choice(chunk))
    }
}

/// Parses the text of one token; empty if the data has none.
pub fn text(data: &[u8]) -> String {
    serde_json::from_slice::<Chunk<'_>>(data)
        .map(|chunk| chunk.text.into_owned())
        .unwrap_or_default()
}

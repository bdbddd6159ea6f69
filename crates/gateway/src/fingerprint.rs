//! Fingerprints of requests: what a caller asks for, whatever id, time limit or trace the request has.

use blake3::Hasher;
use bytes::Bytes;
use hornbeamtiller_relay::id;
use http::header::{self, HeaderName};
use http::request;

use crate::protocol::Metadata;

/// Headers by which callers say who they are.
const CREDENTIALS: [HeaderName; 3] = [
    header::AUTHORIZATION,
    header::COOKIE,
    HeaderName::from_static("x-api-key"),
];
/// Context of the key, for [`blake3::derive_key`].
const KEY_CONTEXT: &str = "hornbeamtiller request fingerprint v1";

/// The key under which requests are hashed, the same on all VMs of a fleet. Who does not know it can't tell
/// from a fingerprint what a request said.
#[derive(Clone)]
pub struct Key([u8; blake3::KEY_LEN]);

impl Key {
    /// Derives the key from a text.
    pub fn derive(text: &str) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, text.as_bytes()))
    }

    /// Hashes what a request asks for: method, host, path with query, credentials, prompt and body.
    pub fn hash(
        &self,
        head: &request::Parts,
        metadata: &Metadata,
        body: &Bytes,
    ) -> id::Fingerprint {
        let mut hasher = Hasher::new_keyed(&self.0);
        add_field(&mut hasher, head.method.as_str().as_bytes());
        add_field(&mut hasher, metadata.host.as_bytes());
        let target = head.uri.path_and_query();
        add_field(
            &mut hasher,
            target.map_or("", |target| target.as_str()).as_bytes(),
        );
        for name in &CREDENTIALS {
            // An organisation asks for the same with each of its keys.
            if let (&header::AUTHORIZATION, Some(organisation)) = (name, &metadata.organisation) {
                add_field(&mut hasher, organisation.as_bytes());
                continue;
            }
            let values = head.headers.get_all(name);
            add_count(&mut hasher, values.iter().count());
            values
                .iter()
                .for_each(|value| add_field(&mut hasher, value.as_bytes()));
        }
        add_count(&mut hasher, metadata.parts.len());
        for part in metadata.parts.iter() {
            hasher.update(&part.to_le_bytes());
        }
        hasher.update(body);
        let hash = hasher.finalize();
        let (first, _) = hash.as_bytes().split_at(size_of::<id::Fingerprint>());
        first
            .iter()
            .fold(0, |number, byte| number << 8 | id::Fingerprint::from(*byte))
    }
}

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Key(..)")
    }
}

/// Adds a field with its length, so that fields do not run into each other.
fn add_field(hasher: &mut Hasher, field: &[u8]) {
    add_count(hasher, field.len());
    hasher.update(field);
}

fn add_count(hasher: &mut Hasher, count: usize) {
    hasher.update(&(count as u64).to_le_bytes());
}

//! Identifiers as type aliases, and the digests that identify requests.

use std::sync::Arc;

/// Number of an entry VM, as in its settings and in the platform's VM list.
pub type Vm = u32;
/// Random number that a process draws at each start; tells apart the incarnations of one VM.
pub type Incarnation = u64;
/// One HTTP exchange with a caller on this VM.
pub type Exchange = u64;
/// One accepted request on this VM; several exchanges may ask for the same call.
pub type Call = u64;
/// One dispatch of a call to one runner.
pub type Attempt = u64;
/// Sequence number of a ticket, assigned by the platform; also the fencing token of orders.
pub type Ticket = u64;
/// Name of an availability zone.
pub type Zone = Arc<str>;
/// Name of an endpoint, a pool of runners of one kind.
pub type Endpoint = Arc<str>;
/// Name of a runner, unique within its endpoint.
pub type Runner = Arc<str>;
/// Name of an organisation.
pub type Organisation = Arc<str>;
/// Name of a scheduling class.
pub type Class = Arc<str>;

/// Digest of a request id, by which calls and witness records are found.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(pub [u8; 16]);

impl Key {
    /// Digests a complete request id (entry token and caller's nonce).
    pub fn of(id: &str) -> Self {
        Self(digest(&[id.as_bytes()]))
    }
}

impl std::fmt::Display for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// Digest of method, path and body; tells a repeated request from an id reused for another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fingerprint(pub [u8; 16]);

impl Fingerprint {
    /// Digests the parts of a request that must be the same in every repeat.
    pub fn of(method: &str, path: &str, body: &[u8]) -> Self {
        Self(digest(&[method.as_bytes(), path.as_bytes(), body]))
    }
}

/// Hashes the parts, each preceded by its length so that different splits of the same bytes have
/// different digests.
fn digest(parts: &[&[u8]]) -> [u8; 16] {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut out = [0; 16];
    out.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    out
}

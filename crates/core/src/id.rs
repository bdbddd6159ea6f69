//! Names and numbers of things, as type aliases.

use std::sync::Arc;

/// Number of an entry VM, from its settings and the platform's list.
pub type Vm = u32;
/// Random number drawn by a process at each start; two boots of one VM differ in it.
pub type Incarnation = u64;
/// One HTTP exchange with a caller on this VM.
pub type Exchange = u64;
/// One accepted request on this VM, whatever number of exchanges ask for it.
pub type Call = u64;
/// One dispatch of a call to one runner.
pub type Attempt = u64;
/// Number of a ticket, given by the platform; also the fencing number of orders.
pub type Ticket = u64;
/// Name of an availability zone.
pub type Zone = Arc<str>;
/// Name of an endpoint: a pool of runners of one kind.
pub type Endpoint = Arc<str>;
/// Name of a runner, unique within its endpoint.
pub type Runner = Arc<str>;
/// Name of an organisation.
pub type Organisation = Arc<str>;
/// Name of a class of work.
pub type Class = Arc<str>;

/// Digest of a request id; the key of call and witness records.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(pub [u8; 16]);

impl Key {
    /// Digests a whole request id (token and caller's nonce).
    pub fn of(id: &str) -> Self {
        Self(digest(&[id.as_bytes()]))
    }
}

impl std::fmt::Display for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// Digest of method, path and body; tells a repeat from an id used for something else.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fingerprint(pub [u8; 16]);

impl Fingerprint {
    /// Digests the parts of a request that a repeat must have in common with the first.
    pub fn of(method: &str, path: &str, body: &[u8]) -> Self {
        Self(digest(&[method.as_bytes(), path.as_bytes(), body]))
    }
}

/// Hashes the parts, each preceded by its length so that no two lists of parts collide.
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

//! What a request says of who sends it.

use crate::id;

/// Context of the digests of keys, for [`blake3::derive_key`].
const DIGEST_CONTEXT: &str = "hornbeamtiller API key v1";
/// Context of the keys of proofs.
const PROOF_CONTEXT: &str = "hornbeamtiller delegated request v1";

/// Digest of an API key. Two digests are compared in constant time.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct Digest(blake3::Hash);

impl Digest {
    /// Hashes an API key.
    pub fn of(key: &[u8]) -> Self {
        Self(blake3::derive_key(DIGEST_CONTEXT, key).into())
    }

    /// Proves to another VM that a request came with this key.
    pub fn prove(&self, request: &str) -> Proof {
        let key = blake3::derive_key(PROOF_CONTEXT, self.0.as_bytes());
        Proof(blake3::keyed_hash(&key, request.as_bytes()))
    }
}

impl std::fmt::Debug for Digest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Digest(..)")
    }
}

/// Proof that the VM which delegates a request received it with a key of its organisation. Two proofs are compared
/// in constant time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Proof(blake3::Hash);

impl Proof {
    /// Parses a proof from hexadecimal digits.
    pub fn parse(text: &str) -> Option<Self> {
        blake3::Hash::from_hex(text).ok().map(Self)
    }
}

impl std::fmt::Display for Proof {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0.to_hex())
    }
}

/// The credential of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Credential {
    /// There is none.
    Missing,
    /// There is one, which can't be a key.
    Invalid,
    /// A key.
    Key(Digest),
    /// The VM that delegates the request has authenticated it.
    Delegated {
        /// The organisation; empty if the request is anonymous.
        organisation: id::Organisation,
        /// Proof of the key.
        proof: Proof,
    },
}

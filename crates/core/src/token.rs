//! Entry tokens: what a caller carries so that a request id names its owner and witness.
//!
//! A token is fixed-size binary under a MAC, in URL-safe base64. A request id is the token, a dot,
//! and the caller's own nonce. Nothing is stored when a token is made.

use std::time::Duration;

use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine as _;

use crate::id::{Incarnation, Vm};

/// Bytes of the signed part.
const BODY_BYTES: usize = 1 + 4 + 8 + 4 + 8 + 8 + 8 + 8;
/// Bytes of the MAC kept in a token.
const MAC_BYTES: usize = 16;
/// Version of the layout.
const VERSION: u8 = 1;
/// Largest accepted length of a caller's nonce, in bytes.
pub const NONCE_BYTES_MAX: usize = 64;

/// A secret of 32 bytes shared by all entry VMs.
#[derive(Clone)]
pub struct Secret([u8; 32]);

impl Secret {
    /// Derives the secret from the text in the settings.
    pub fn derive(text: &str) -> Self {
        Self(blake3::derive_key(
            "hornbeamtiller shared key v1",
            text.as_bytes(),
        ))
    }

    /// Computes the MAC of `bytes` under this secret.
    pub fn mac(&self, bytes: &[u8]) -> blake3::Hash {
        blake3::keyed_hash(&self.0, bytes)
    }
}

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// The keys in force: the first one signs, all of them verify.
#[derive(Debug, Clone)]
pub struct Keyring {
    signing: Secret,
    previous: Option<Secret>,
}

impl Keyring {
    /// Builds a ring from the current key and, during a rotation, the other one.
    pub fn new(signing: Secret, previous: Option<Secret>) -> Self {
        Self { signing, previous }
    }

    /// Signs with the current key.
    pub fn sign(&self, bytes: &[u8]) -> blake3::Hash {
        self.signing.mac(bytes)
    }

    /// Tells whether `mac` is the start of a MAC of `bytes` under any key in force.
    ///
    /// Every byte is compared, whatever the first difference.
    pub fn verify(&self, bytes: &[u8], mac: &[u8]) -> bool {
        let keys = std::iter::once(&self.signing).chain(self.previous.as_ref());
        keys.map(|key| matches(key.mac(bytes).as_bytes(), mac))
            .fold(false, |any, one| any | one)
    }
}

fn matches(whole: &[u8; 32], start: &[u8]) -> bool {
    if start.len() < MAC_BYTES || start.len() > whole.len() {
        return false;
    }
    let difference = whole.iter().zip(start).fold(0, |sum, (a, b)| sum | (a ^ b));
    difference == 0
}

/// One boot of one VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Instance {
    /// The VM.
    pub vm: Vm,
    /// Its boot.
    pub incarnation: Incarnation,
}

/// What a token says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Token {
    /// The only process that may dispatch requests under this token.
    pub owner: Instance,
    /// The process that records intents; absent when the owner saw no peer.
    pub witness: Option<Instance>,
    /// End of validity, since the Unix epoch, in whole seconds.
    pub expiry: Duration,
    /// Highest ticket in force where the token was made; says which state of an endpoint tells
    /// whether a call needs an intent.
    pub ticket: u64,
    /// Makes tokens of one owner differ.
    pub salt: u64,
}

/// Why an id was not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Not `token.nonce`, or a part of the wrong length or alphabet.
    #[error("request id is not an entry token, a dot, and a nonce of 1 to 64 letters and digits")]
    Malformed,
    /// The MAC fits no key in force.
    #[error("request id is not signed by a key in force")]
    Forged,
}

impl Token {
    /// Writes the signed text form.
    pub fn encode(&self, ring: &Keyring) -> String {
        let mut bytes = self.body().to_vec();
        let mac = ring.sign(&bytes);
        bytes.extend_from_slice(&mac.as_bytes()[..MAC_BYTES]);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    fn body(&self) -> [u8; BODY_BYTES] {
        let witness = self.witness.unwrap_or(Instance {
            vm: 0,
            incarnation: 0,
        });
        let mut out = [0; BODY_BYTES];
        out[0] = VERSION;
        out[1..5].copy_from_slice(&self.owner.vm.to_le_bytes());
        out[5..13].copy_from_slice(&self.owner.incarnation.to_le_bytes());
        out[13..17].copy_from_slice(&witness.vm.to_le_bytes());
        out[17..25].copy_from_slice(&witness.incarnation.to_le_bytes());
        out[25..33].copy_from_slice(&self.expiry.as_secs().to_le_bytes());
        out[33..41].copy_from_slice(&self.ticket.to_le_bytes());
        out[41..49].copy_from_slice(&self.salt.to_le_bytes());
        out
    }

    /// Reads and verifies the text form.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] or [`Error::Forged`]; expiry is the caller's to check.
    pub fn decode(text: &str, ring: &Keyring) -> Result<Self, Error> {
        let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|_| Error::Malformed)?;
        if bytes.len() != BODY_BYTES + MAC_BYTES || bytes[0] != VERSION {
            return Err(Error::Malformed);
        }
        let (body, mac) = bytes.split_at(BODY_BYTES);
        if !ring.verify(body, mac) {
            return Err(Error::Forged);
        }
        let witness = Instance {
            vm: word4(body, 13),
            incarnation: word8(body, 17),
        };
        Ok(Self {
            owner: Instance {
                vm: word4(body, 1),
                incarnation: word8(body, 5),
            },
            witness: (witness.incarnation != 0).then_some(witness),
            expiry: Duration::from_secs(word8(body, 25)),
            ticket: word8(body, 33),
            salt: word8(body, 41),
        })
    }

    /// Reads a whole request id.
    ///
    /// # Errors
    ///
    /// As [`Token::decode`], and [`Error::Malformed`] for a missing or unfit nonce.
    pub fn parse_id(id: &str, ring: &Keyring) -> Result<Self, Error> {
        let (token, nonce) = id.split_once('.').ok_or(Error::Malformed)?;
        let fits = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
        if nonce.is_empty() || nonce.len() > NONCE_BYTES_MAX || !nonce.bytes().all(fits) {
            return Err(Error::Malformed);
        }
        Self::decode(token, ring)
    }
}

fn word4(bytes: &[u8], at: usize) -> u32 {
    let mut word = [0; 4];
    word.copy_from_slice(&bytes[at..at + 4]);
    u32::from_le_bytes(word)
}

fn word8(bytes: &[u8], at: usize) -> u64 {
    let mut word = [0; 8];
    word.copy_from_slice(&bytes[at..at + 8]);
    u64::from_le_bytes(word)
}

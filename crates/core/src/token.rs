//! Entry tokens, by which a request id names its owner and its witness.
//!
//! A token is a fixed-size binary record with a MAC, in URL-safe base64. A request id is the token,
//! a dot, and the caller's own nonce. Issuing a token stores nothing.

use std::time::Duration;

use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine as _;

use crate::id::{Incarnation, Vm};

/// Size of the signed part of a token.
const BODY_BYTES: usize = 1 + 4 + 8 + 4 + 8 + 8 + 8 + 8;
/// Size of the truncated MAC in a token.
const MAC_BYTES: usize = 16;
/// Version of the binary layout.
const LAYOUT_VERSION: u8 = 1;
/// Maximum length of a caller's nonce.
pub const NONCE_BYTES_MAX: usize = 64;

/// A 32-byte secret shared by all entry VMs.
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

/// The valid keys: the current one signs, both verify.
#[derive(Debug, Clone)]
pub struct Keyring {
    signing: Secret,
    previous: Option<Secret>,
}

impl Keyring {
    /// Creates a key ring from the current key and, during a rotation, the other valid one.
    pub fn new(signing: Secret, previous: Option<Secret>) -> Self {
        Self { signing, previous }
    }

    /// Signs with the current key.
    pub fn sign(&self, bytes: &[u8]) -> blake3::Hash {
        self.signing.mac(bytes)
    }

    /// Returns whether `mac` is a prefix, of at least the size that tokens use, of the MAC of
    /// `bytes` under any valid key.
    ///
    /// Compares every byte, so that timing doesn't reveal where the first difference is.
    pub fn verify(&self, bytes: &[u8], mac: &[u8]) -> bool {
        let keys = std::iter::once(&self.signing).chain(self.previous.as_ref());
        keys.map(|key| is_mac_prefix(key.mac(bytes).as_bytes(), mac))
            .fold(false, |any, matches| any | matches)
    }
}

fn is_mac_prefix(mac: &[u8; 32], prefix: &[u8]) -> bool {
    if prefix.len() < MAC_BYTES || prefix.len() > mac.len() {
        return false;
    }
    let difference = mac.iter().zip(prefix).fold(0, |sum, (a, b)| sum | (a ^ b));
    difference == 0
}

/// One incarnation of one VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Instance {
    /// The VM.
    pub vm: Vm,
    /// The incarnation.
    pub incarnation: Incarnation,
}

/// The content of an entry token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Token {
    /// The only process that may dispatch requests under this token.
    pub owner: Instance,
    /// The process that records intents; `None` if no other member was available.
    pub witness: Option<Instance>,
    /// Expiry, since the Unix epoch, in whole seconds.
    pub expiry: Duration,
    /// Highest ticket applied where the token was issued; identifies the configuration of an
    /// endpoint that decides whether a call needs an intent.
    pub ticket: u64,
    /// Random number that makes the tokens of one owner differ.
    pub salt: u64,
}

/// Why a request id was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The id is not `token.nonce`, or a part has the wrong length or characters.
    #[error(
        "request id is not an entry token, a dot, and a nonce of 1 to 64 letters, digits, - or _"
    )]
    Malformed,
    /// The MAC matches no valid key.
    #[error("request id is not signed by a valid key")]
    Forged,
}

impl Token {
    /// Encodes and signs the token.
    pub fn encode(&self, keyring: &Keyring) -> String {
        let mut bytes = self.encode_body().to_vec();
        let mac = keyring.sign(&bytes);
        bytes.extend_from_slice(&mac.as_bytes()[..MAC_BYTES]);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    fn encode_body(&self) -> [u8; BODY_BYTES] {
        let witness = self.witness.unwrap_or(Instance {
            vm: 0,
            incarnation: 0,
        });
        let mut out = [0; BODY_BYTES];
        out[0] = LAYOUT_VERSION;
        out[1..5].copy_from_slice(&self.owner.vm.to_le_bytes());
        out[5..13].copy_from_slice(&self.owner.incarnation.to_le_bytes());
        out[13..17].copy_from_slice(&witness.vm.to_le_bytes());
        out[17..25].copy_from_slice(&witness.incarnation.to_le_bytes());
        out[25..33].copy_from_slice(&self.expiry.as_secs().to_le_bytes());
        out[33..41].copy_from_slice(&self.ticket.to_le_bytes());
        out[41..49].copy_from_slice(&self.salt.to_le_bytes());
        out
    }

    /// Decodes a token and verifies its MAC. Does not check the expiry.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] if the text is not a token, [`Error::Forged`] if its MAC is wrong.
    pub fn decode(text: &str, keyring: &Keyring) -> Result<Self, Error> {
        let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|_| Error::Malformed)?;
        if bytes.len() != BODY_BYTES + MAC_BYTES || bytes[0] != LAYOUT_VERSION {
            return Err(Error::Malformed);
        }
        let (body, mac) = bytes.split_at(BODY_BYTES);
        if !keyring.verify(body, mac) {
            return Err(Error::Forged);
        }
        let witness = Instance {
            vm: read_u32(body, 13),
            incarnation: read_u64(body, 17),
        };
        Ok(Self {
            owner: Instance {
                vm: read_u32(body, 1),
                incarnation: read_u64(body, 5),
            },
            witness: (witness.incarnation != 0).then_some(witness),
            expiry: Duration::from_secs(read_u64(body, 25)),
            ticket: read_u64(body, 33),
            salt: read_u64(body, 41),
        })
    }

    /// Decodes the token of a complete request id and checks the nonce.
    ///
    /// # Errors
    ///
    /// As [`Token::decode`], and [`Error::Malformed`] for a missing or invalid nonce.
    pub fn parse_id(id: &str, keyring: &Keyring) -> Result<Self, Error> {
        let (token, nonce) = id.split_once('.').ok_or(Error::Malformed)?;
        let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
        if nonce.is_empty() || nonce.len() > NONCE_BYTES_MAX || !nonce.bytes().all(is_allowed) {
            return Err(Error::Malformed);
        }
        Self::decode(token, keyring)
    }
}

fn read_u32(bytes: &[u8], offset: usize) -> u32 {
    let mut buffer = [0; 4];
    buffer.copy_from_slice(&bytes[offset..offset + 4]);
    u32::from_le_bytes(buffer)
}

fn read_u64(bytes: &[u8], offset: usize) -> u64 {
    let mut buffer = [0; 8];
    buffer.copy_from_slice(&bytes[offset..offset + 8]);
    u64::from_le_bytes(buffer)
}

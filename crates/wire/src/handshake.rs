//! Proof of the shared key between two entry VMs at the start of a connection.
//!
//! Each side signs the other's nonce together with its own, its instance, and its part in the
//! connection, so that no answer can be replayed or reflected.

use hornbeamtiller_core::token::{Instance, Keyring};

/// Bytes of a nonce.
pub const NONCE_BYTES: usize = 16;
/// A random number that is signed once.
pub type Nonce = [u8; NONCE_BYTES];

/// Which side signs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    /// The side that listens.
    Listener,
    /// The side that connected.
    Initiator,
}

fn encode_transcript(
    part: Part,
    signer_nonce: &Nonce,
    receiver_nonce: &Nonce,
    instance: Instance,
) -> Vec<u8> {
    let mut bytes = b"hornbeamtiller peer handshake v1".to_vec();
    bytes.push(match part {
        Part::Listener => 1,
        Part::Initiator => 2,
    });
    bytes.extend_from_slice(signer_nonce);
    bytes.extend_from_slice(receiver_nonce);
    bytes.extend_from_slice(&instance.vm.to_le_bytes());
    bytes.extend_from_slice(&instance.incarnation.to_le_bytes());
    bytes
}

/// Signs for a side: its own nonce, the other side's, and its instance.
pub fn sign(
    keyring: &Keyring,
    part: Part,
    signer_nonce: &Nonce,
    receiver_nonce: &Nonce,
    instance: Instance,
) -> [u8; 32] {
    *keyring
        .sign(&encode_transcript(
            part,
            signer_nonce,
            receiver_nonce,
            instance,
        ))
        .as_bytes()
}

/// Verifies what the other side signed; `own` is that side's nonce.
pub fn verify(
    keyring: &Keyring,
    part: Part,
    signer_nonce: &Nonce,
    receiver_nonce: &Nonce,
    instance: Instance,
    mac: &[u8],
) -> bool {
    mac.len() == 32
        && keyring.verify(
            &encode_transcript(part, signer_nonce, receiver_nonce, instance),
            mac,
        )
}

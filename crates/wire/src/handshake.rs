//! Mutual authentication of two entry VMs at the start of a connection, by a shared key.
//!
//! Each side computes a MAC over both nonces, its instance and its role in the connection. The
//! nonces prevent replay, the role prevents reflection.

use hornbeamtiller_core::token::{Instance, Keyring};

/// Length of a nonce in bytes.
pub const NONCE_BYTES: usize = 16;
/// A random number, used for one handshake only.
pub type Nonce = [u8; NONCE_BYTES];

/// Role of the signing side.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Accepted the connection.
    Responder,
    /// Opened the connection.
    Initiator,
}

fn encode_transcript(
    role: Role,
    signer_nonce: &Nonce,
    receiver_nonce: &Nonce,
    instance: Instance,
) -> Vec<u8> {
    let mut bytes = b"hornbeamtiller peer handshake v1".to_vec();
    bytes.push(match role {
        Role::Responder => 1,
        Role::Initiator => 2,
    });
    bytes.extend_from_slice(signer_nonce);
    bytes.extend_from_slice(receiver_nonce);
    bytes.extend_from_slice(&instance.vm.to_le_bytes());
    bytes.extend_from_slice(&instance.incarnation.to_le_bytes());
    bytes
}

/// Signs both nonces, the signer's instance and its role with the current key.
pub fn sign(
    keyring: &Keyring,
    role: Role,
    signer_nonce: &Nonce,
    receiver_nonce: &Nonce,
    instance: Instance,
) -> [u8; 32] {
    *keyring
        .sign(&encode_transcript(
            role,
            signer_nonce,
            receiver_nonce,
            instance,
        ))
        .as_bytes()
}

/// Verifies the MAC of the other side, under any key in force; `signer_nonce` is that side's nonce.
///
/// A truncated MAC, which [`Keyring::verify`] would accept, is rejected.
pub fn verify(
    keyring: &Keyring,
    role: Role,
    signer_nonce: &Nonce,
    receiver_nonce: &Nonce,
    instance: Instance,
    mac: &[u8],
) -> bool {
    mac.len() == 32
        && keyring.verify(
            &encode_transcript(role, signer_nonce, receiver_nonce, instance),
            mac,
        )
}

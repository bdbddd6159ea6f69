//! Entry tokens, key rotation, and the time line's clock.

use std::time::Duration;

use hornbeamtiller_core::timeline::{Clock, Stamp};
use hornbeamtiller_core::token::{Error, Instance, Keyring, Secret, Token};

fn token() -> Token {
    Token {
        owner: Instance {
            vm: 3,
            incarnation: 77,
        },
        witness: Some(Instance {
            vm: 5,
            incarnation: 99,
        }),
        expiry: Duration::from_secs(1_800_000_000),
        ticket: 12,
        salt: 42,
    }
}

fn keyring(signing: &str, previous: Option<&str>) -> Keyring {
    Keyring::new(Secret::derive(signing), previous.map(Secret::derive))
}

#[test]
fn decode_round_trip() {
    let keys = keyring("a", None);
    assert_eq!(Token::decode(&token().encode(&keys), &keys), Ok(token()));
    let without_witness = Token {
        witness: None,
        ..token()
    };
    assert_eq!(
        Token::decode(&without_witness.encode(&keys), &keys),
        Ok(without_witness)
    );
}

#[test]
fn decode_during_rotation() {
    let (old, both, new) = (
        keyring("a", None),
        keyring("b", Some("a")),
        keyring("b", None),
    );
    let text = token().encode(&old);
    assert!(Token::decode(&text, &both).is_ok());
    assert_eq!(Token::decode(&text, &new), Err(Error::Forged));
    assert!(Token::decode(&token().encode(&both), &new).is_ok());
}

#[test]
fn decode_every_changed_bit() {
    use base64::engine::general_purpose::URL_SAFE_NO_PAD;
    use base64::Engine as _;
    let keys = keyring("a", None);
    let bytes = URL_SAFE_NO_PAD
        .decode(token().encode(&keys))
        .expect("base64");
    for bit in 0..bytes.len() * 8 {
        let mut changed = bytes.clone();
        changed[bit / 8] ^= 1 << (bit % 8);
        assert!(
            Token::decode(&URL_SAFE_NO_PAD.encode(changed), &keys).is_err(),
            "bit {bit}"
        );
    }
}

#[test]
fn parse_id_nonce_bounds() {
    let keys = keyring("a", None);
    let text = token().encode(&keys);
    assert!(Token::parse_id(&format!("{text}.n-1_A"), &keys).is_ok());
    for nonce in ["", "a b", "a.b", &"x".repeat(65)] {
        assert_eq!(
            Token::parse_id(&format!("{text}.{nonce}"), &keys),
            Err(Error::Malformed),
            "{nonce:?}"
        );
    }
}

#[test]
fn stamp_never_goes_back() {
    let mut clock = Clock::default();
    let first = clock.stamp(Duration::from_secs(10));
    let second = clock.stamp(Duration::from_secs(9));
    assert!(second > first);
    let seen = Stamp {
        micros: 20_000_000,
        counter: 3,
    };
    assert!(clock.merge(Duration::from_secs(11), seen) > seen);
    assert!(clock.stamp(Duration::from_secs(12)) > seen);
}

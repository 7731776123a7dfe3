//! Tests of secret keys and their hashes.

use mango_base::{KeyHash, SecretKey};

#[test]
fn random_keys() {
    let (a, b) = (SecretKey::generate(), SecretKey::generate());
    assert_ne!(a.reveal(), b.reveal());
    assert!(a.reveal().len() >= 64);
    assert!(!a.hash().matches(&b.hash()));
    assert!(a.hash().matches(&SecretKey::new(a.reveal()).hash()));
}

#[test]
fn hidden_key() {
    let key = SecretKey::generate();
    assert!(!format!("{key:?}").contains(key.reveal()));
    let hash: KeyHash = key.hash().to_string().parse().unwrap();
    assert_eq!(hash, key.hash());
    for text in ["", "12", &"g".repeat(64), &"é".repeat(32)] {
        assert!(text.parse::<KeyHash>().is_err(), "{text}");
    }
}

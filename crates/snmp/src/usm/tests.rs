//! Keys, digests and encryption.

use super::*;

fn hex(text: &str) -> Vec<u8> {
    hex::decode(text.split_whitespace().collect::<String>()).unwrap()
}

/// RFC 3414, appendix A.3.2.
#[test]
fn localised_keys_match_the_rfc_example() {
    let key = key_from_passphrase::<sha1::Sha1>(b"maplesyrup");
    assert_eq!(key, hex("9fb5cc03 81497b37 93528939 ff788d5d 79145211"));
    let engine = hex("00000000 00000000 00000002");
    assert_eq!(localize::<sha1::Sha1>(&key, &engine), hex("6695febc 9288e362 82235fc7 151f1284 97b38f3f"));
}

fn keys(auth: &[u8], privacy: Option<[u8; 16]>) -> Keys {
    Keys { auth: auth.to_vec(), privacy }
}

/// RFC 4231, test cases 1 and 2, truncated to 192 bits.
#[test]
fn digests_match_the_rfc_test_vectors() {
    let digest = keys(&[0x0b; 20], None).digest(b"Hi There");
    assert_eq!(digest.to_vec(), hex("b0344c61d8db38535ca8afceaf0bf12b881dc200c9833da7"));
    let jefe = keys(b"Jefe", None);
    assert_eq!(
        jefe.digest(b"what do ya want for nothing?").to_vec(),
        hex("5bdcc146bf60754e6a042426089575c75a003f089d273983")
    );
    assert!(jefe.verifies(b"x", &jefe.digest(b"x")) && !jefe.verifies(b"y", &jefe.digest(b"x")));
    assert!(!jefe.verifies(b"x", &jefe.digest(b"x")[..12]), "a shorter digest");
}

/// NIST SP 800-38A, F.3.13: CFB128-AES128.
#[test]
fn encryption_matches_the_nist_test_vector() {
    let mut key = [0; 16];
    key.copy_from_slice(&hex("2b7e151628aed2a6abf7158809cf4f3c"));
    let keys = keys(b"", Some(key));
    let mut data = hex("6bc1bee22e409f96e93d7e117393172a ae2d8a571e03ac9c9eb76fac45af8e51");
    let salt = 0x0809_0a0b_0c0d_0e0f;
    assert!(keys.encrypt(0x0001_0203, 0x0405_0607, salt, &mut data));
    assert_eq!(data, hex("3b3fd92eb72dad20333449f8e83cfb4a c8a64537a0b3a93fcde3cdad9f1ce58b"));
    assert!(keys.decrypt(0x0001_0203, 0x0405_0607, salt.to_be_bytes(), &mut data));
    assert_eq!(data[..4], hex("6bc1bee2"));
}

#[test]
fn user_file_errors_name_the_line_and_no_secret() {
    let users = User::parse_file(
        "# comment\nnoc auth pass:maplesyrup priv pass:maplesyrup2\nro auth pass:longenough\n",
    );
    let users = users.unwrap();
    assert_eq!((users.len(), users[0].privacy.is_some(), users[1].privacy.is_some()), (2, true, false));
    assert!(!format!("{users:?}").contains("maple"), "debug output contains a secret");
    for (text, why) in [
        ("a auth pass:short", "line 1: a passphrase"),
        ("\na auth key:00", "line 2: a localised key"),
        ("a auth secret1234", "pass:TEXT or key:HEX"),
        ("a pass:longenough", "NAME auth"),
        ("a auth pass:longenough\na auth pass:longenough", "line 2: the user 'a'"),
    ] {
        let fault = User::parse_file(text).unwrap_err();
        assert!(fault.contains(why) && !fault.contains("secret1234"), "{fault}");
    }
}

#[test]
fn message_is_in_time_only_within_the_window() {
    assert!(in_time((3, 1000), (3, 850)) && in_time((3, 1000), (3, 1150)));
    assert!(
        !in_time((3, 1000), (3, 849)) && !in_time((3, 1000), (3, 1151)) && !in_time((3, 1000), (2, 1000))
    );
    assert!(!in_time((i32::MAX as u32, 5), (i32::MAX as u32, 5)), "the boots counter is at its maximum");
}

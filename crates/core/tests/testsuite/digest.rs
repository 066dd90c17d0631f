//! Key digests can be parsed from their text form, and digests of different
//! requests differ.

use assert_matches::assert_matches;
use waxwingusher_core::{BodyDigest, KeyDigest};

#[test]
fn a_digest_survives_its_text_form() {
    let digest = KeyDigest::of_key(b"secret");
    assert_matches!(KeyDigest::parse(&digest.to_string()), Ok(parsed) if parsed.matches(&digest));
}

#[test]
fn a_plain_key_is_not_a_digest() {
    for text in ["", "secret", "sha256:", "sha256:zz", &"a".repeat(64)] {
        assert!(KeyDigest::parse(text).is_err(), "{text:?}");
    }
}

#[test]
fn moving_a_byte_between_parts_changes_a_body_digest() {
    let first = BodyDigest::of_request("POST", "/a", b"bc");
    let second = BodyDigest::of_request("POST", "/ab", b"c");
    assert_ne!(first, second);
}

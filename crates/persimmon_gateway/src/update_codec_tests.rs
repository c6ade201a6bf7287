//! Tests of the encoding of updates.

use persimmon_decide::forward::{RecordContent, RecordUpdate, StoreUpdate};

use crate::update_codec::{CodecError, decode, encode};

fn update(value: Vec<u8>) -> StoreUpdate {
    let content = RecordContent::Written(value);
    StoreUpdate {
        since: 3,
        revision: 7,
        is_whole: false,
        grace_ms: 0,
        deferred: Vec::new(),
        records: vec![RecordUpdate { key: "routes".into(), revision: 7, content }],
        gaps: vec![(3, 6)],
    }
}

#[test]
fn decode_returns_small_and_large_updates() {
    for length in [0, 10, 100_000] {
        let update = update(vec![b'r'; length]);
        let bytes = encode(&update).unwrap();
        assert_eq!(decode(&bytes).unwrap(), update);
        assert!(bytes.len() < 1_000, "{} bytes", bytes.len());
    }
}

#[test]
fn damaged_update_is_an_error_or_another_update() {
    let bytes = encode(&update((0..3_000_u32).map(|it| (it * it % 251) as u8).collect())).unwrap();
    assert!(decode(&[]).is_err() && decode(&[9, 1, 2]).is_err());
    for length in 0..bytes.len() {
        assert!(decode(&bytes[..length]).is_err(), "{length} bytes");
    }
    for at in 0..bytes.len() {
        let mut damaged = bytes.to_vec();
        damaged[at] ^= 0x55;
        // Must end; what it returns is checked when it is applied.
        drop(decode(&damaged));
    }
}

/// Guards against a few bytes that ask for all the memory of a VM.
#[test]
fn update_that_claims_to_be_huge_is_refused() {
    let mut bytes = encode(&update(vec![b'r'; 100_000])).unwrap().to_vec();
    bytes[1..5].copy_from_slice(&(30 * 1024 * 1024_u32).to_le_bytes());
    assert!(matches!(decode(&bytes), Err(CodecError::TooLong(_))));
}

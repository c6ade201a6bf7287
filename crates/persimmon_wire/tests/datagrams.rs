//! Digests as datagrams: intact ones are decoded, damaged and foreign ones are dropped.

use persimmon_decide::membership::{Digest, DigestEntry, NodeId};
use persimmon_decide::recovery::{SuspectMark, Suspicion, Verdict};
use persimmon_decide::{Fingerprint, Incarnation};
use persimmon_records::{RecordSet, SetVersion};
use persimmon_wire::{DatagramError, FleetKey, decode_digest, encode_digest};
use rstest::rstest;

fn key(text: &str) -> FleetKey {
    FleetKey::new(text).unwrap()
}

fn entry(node: u64) -> DigestEntry {
    DigestEntry {
        node: NodeId(node),
        incarnation: Incarnation(u64::MAX - node),
        beat: 7,
        work: u32::MAX,
        age: 9,
        leaving: node.is_multiple_of(2),
        suspected: node.is_multiple_of(3),
    }
}

fn mark(verdict: Verdict) -> SuspectMark {
    SuspectMark { fingerprint: Fingerprint(3), site: NodeId(4), verdict, ttl_s: 60 }
}

fn digest(entries: usize, records: Option<SetVersion>) -> Digest {
    let open = |suspicion| mark(Verdict::Open { round: 2, suspicion });
    Digest {
        from: NodeId(1),
        incarnation: Incarnation(2),
        records,
        vms_version: 5,
        contact_age_ms: 600,
        wants_reply: true,
        entries: (0..entries as u64).map(entry).collect(),
        suspects: vec![
            open(Suspicion::Suspect),
            open(Suspicion::Cleared),
            mark(Verdict::Quarantined),
        ],
    }
}

#[rstest]
#[case::empty(0, None)]
#[case::without_records(1, None)]
#[case::with_records(3, Some(RecordSet::empty().version()))]
fn decode_digest_round_trip(#[case] entries: usize, #[case] records: Option<SetVersion>) {
    let key = key("a fleet key for tests");
    let digest = digest(entries, records);
    let datagram = encode_digest(&digest, &key).unwrap();
    assert_eq!(decode_digest(&datagram, &key).unwrap(), digest);
}

#[test]
fn encode_full_digest_fits_and_decodes_at_any_alignment() {
    let key = key("a fleet key for tests");
    let mut full = digest(Digest::MAX_ENTRIES, Some(RecordSet::empty().version()));
    full.suspects = vec![mark(Verdict::Quarantined); Digest::MAX_SUSPECTS];
    let datagram = encode_digest(&full, &key).unwrap();
    assert!(datagram.len() <= full.encoded_bytes(), "{} bytes", datagram.len());
    assert!(full.encoded_bytes() <= Digest::MAX_BYTES);
    for offset in 0..8 {
        let mut buf = vec![0; offset];
        buf.extend_from_slice(&datagram);
        assert_eq!(decode_digest(&buf[offset..], &key).unwrap(), full, "at offset {offset}");
    }
}

#[test]
fn decode_digest_of_other_key() {
    let datagram = encode_digest(&digest(2, None), &key("a fleet key for tests")).unwrap();
    let other = key("another fleet key for tests");
    assert!(matches!(decode_digest(&datagram, &other), Err(DatagramError::Key)));
}

#[test]
fn decode_damaged_digest() {
    let key = key("a fleet key for tests");
    let datagram = encode_digest(&digest(2, None), &key).unwrap();
    for index in 0..datagram.len() {
        let mut damaged = datagram.clone();
        damaged[index] ^= 1;
        assert!(decode_digest(&damaged, &key).is_err(), "byte {index}");
        assert!(decode_digest(&datagram[..index], &key).is_err(), "cut at {index}");
    }
}

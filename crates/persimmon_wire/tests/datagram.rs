//! Digests as datagrams: read from any place of a buffer, and within the size that is planned for.

use persimmon_decide::membership::{Digest, DigestEntry, NodeId};
use persimmon_decide::recovery::{SuspectMark, Verdict};
use persimmon_decide::{Fingerprint, Incarnation};
use persimmon_records::RecordSet;
use persimmon_wire::{FleetKey, decode_digest, encode_digest};

fn full_digest() -> Digest {
    let entry = |node| DigestEntry {
        node: NodeId(node),
        incarnation: Incarnation(u64::MAX),
        beat: u32::MAX,
        work: u32::MAX,
        age: u8::MAX,
        leaving: true,
        suspected: true,
    };
    let mark = |fingerprint| SuspectMark {
        fingerprint: Fingerprint(fingerprint),
        site: NodeId(u64::MAX),
        verdict: Verdict::Quarantined,
        ttl_s: u16::MAX,
    };
    Digest {
        from: NodeId(u64::MAX),
        incarnation: Incarnation(u64::MAX),
        records: Some(RecordSet::empty().version()),
        vms_version: u64::MAX,
        contact_age_ms: u32::MAX,
        wants_reply: true,
        entries: (0..Digest::MAX_ENTRIES as u64).map(entry).collect(),
        suspects: (0..Digest::MAX_SUSPECTS as u64).map(mark).collect(),
    }
}

#[test]
fn digest_is_read_from_any_place_of_a_buffer() {
    let key = FleetKey::new("a key of enough characters").unwrap();
    let digest = full_digest();
    let datagram = encode_digest(&digest, &key).unwrap();
    for offset in 0..8 {
        let mut buf = vec![0; offset];
        buf.extend_from_slice(&datagram);
        assert_eq!(decode_digest(&buf[offset..], &key).unwrap(), digest, "offset {offset}");
    }
}

#[test]
fn full_digest_has_the_planned_size() {
    let key = FleetKey::new("a key of enough characters").unwrap();
    let digest = full_digest();
    let bytes = encode_digest(&digest, &key).unwrap().len();
    assert!(bytes <= digest.encoded_bytes(), "{bytes} of {}", digest.encoded_bytes());
    assert!(digest.encoded_bytes() <= Digest::MAX_BYTES);
}

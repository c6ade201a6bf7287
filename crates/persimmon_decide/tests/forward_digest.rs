//! Encoding of digests, and decoding of arbitrary bytes.

use std::net::IpAddr;

use persimmon_decide::forward::{
    AnswerReport, CrashDetail, CrashReport, Digest, EndpointLoad, LimitReport, Outcomes,
    PartHolder, PeerAddress, RefusalReport, ServiceRetries, SpeedReport, StoreDelta, StoreRecord,
    TrialReport,
};
use persimmon_decide::load::EndpointHash;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Largest payload of a datagram that fits into one packet on an ordinary network, in bytes.
const PACKET_BYTES: usize = 1_400;

/// Returns a typical digest of a gateway with requests at this many endpoints.
fn digest(endpoints: u64) -> Digest {
    let hash = |number: u64| EndpointHash(number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let load = EndpointLoad { requests: 20, unread_tokens: 40_000 };
    Digest {
        incarnation: u64::MAX,
        sequence: 1_000_000,
        revision: 1_000_000,
        store_age_ms: Some(600),
        is_leaving: false,
        loads: (0..endpoints).map(|it| (hash(it), load)).collect(),
        ejections: vec![(hash(1), 3_000)],
        outcomes: (0..4).map(|it| (hash(it), Outcomes { good: 200, bad: 30 })).collect(),
        retries: vec![("engines".into(), ServiceRetries { fresh: 1_000, repeated: 100 })],
        crashes: Vec::new(),
        holders: (0..6).map(|it| PartHolder { part: u64::MAX, endpoint: hash(it) }).collect(),
        peers: (0..8)
            .map(|it| PeerAddress { ip: IpAddr::from([10, 0, 0, it]), age_ms: 30_000 })
            .collect(),
        leaving: Vec::new(),
        part_crashes: Vec::new(),
        part_answers: Vec::new(),
        limits: Vec::new(),
        crash_details: Vec::new(),
        content_answers: Vec::new(),
        routes_version: 0,
        reads_notices: false,
        records_age_ms: None,
        speeds: Vec::new(),
        content_refusals: Vec::new(),
        part_refusals: Vec::new(),
    }
}

#[test]
fn truncated_digest_or_delta_is_an_error() {
    let record =
        StoreRecord { key: "records/a".into(), revision: 4, value: Some(b"{}"[..].into()) };
    let deferred = Some(vec!["records/b".into()]);
    let records = vec![record];
    let delta = StoreDelta { revision: 5, is_whole: true, grace_ms: 0, records, deferred };
    let bytes = delta.to_bytes().unwrap();
    assert_eq!(StoreDelta::from_bytes(&bytes).unwrap(), delta);
    // Builds that don't name the deferred removals send this much.
    let earlier = postcard::to_allocvec(&delta).unwrap();
    assert!(bytes.starts_with(&earlier));
    let decoded = StoreDelta::from_bytes(&earlier).unwrap();
    assert_eq!(decoded, StoreDelta { deferred: None, ..delta.clone() });
    assert_eq!(postcard::from_bytes::<StoreDelta>(&bytes).unwrap(), decoded);
    for length in (0..bytes.len()).filter(|it| *it != earlier.len()) {
        assert!(StoreDelta::from_bytes(&bytes[..length]).is_err(), "{length} bytes");
    }
    let digest = postcard::to_allocvec(&digest(18)).unwrap();
    for length in 0..digest.len() {
        assert!(postcard::from_bytes::<Digest>(&digest[..length]).is_err(), "{length} bytes");
    }
}

#[test]
fn digest_round_trips() {
    let bytes = postcard::to_allocvec(&digest(18)).unwrap();
    assert_eq!(postcard::from_bytes::<Digest>(&bytes).unwrap(), digest(18));
}

#[test]
fn digest_typical_size_fits_one_packet() {
    let bytes = postcard::to_allocvec(&digest(52)).unwrap();
    assert!(bytes.len() <= PACKET_BYTES, "{} bytes", bytes.len());
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(19), cases: 4_000, ..ProptestConfig::default() })]

    #[test]
    fn digest_decoding_any_bytes_terminates(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = postcard::from_bytes::<Digest>(&bytes);
        let _ = StoreDelta::from_bytes(&bytes);
    }

    #[test]
    fn digest_decoding_damaged_bytes_terminates(at in any::<prop::sample::Index>(), byte in any::<u8>(), cut in 0..700_usize) {
        let mut bytes = postcard::to_allocvec(&digest(18)).unwrap();
        let at = at.index(bytes.len());
        bytes[at] = byte;
        bytes.truncate(cut);
        let _ = postcard::from_bytes::<Digest>(&bytes);
    }
}

/// Returns the encoded sections that follow those on crashes.
fn version_and_later(digest: &Digest) -> Vec<u8> {
    let version = postcard::to_allocvec(&digest.routes_version).unwrap();
    let notices = postcard::to_allocvec(&(digest.reads_notices, digest.records_age_ms)).unwrap();
    [version, notices, speeds_and_later(digest)].concat()
}

fn speeds_and_later(digest: &Digest) -> Vec<u8> {
    let speeds = postcard::to_allocvec(&digest.speeds).unwrap();
    [speeds, refusals(digest)].concat()
}

fn refusals(digest: &Digest) -> Vec<u8> {
    postcard::to_allocvec(&(&digest.content_refusals, &digest.part_refusals)).unwrap()
}

/// A digest cut off inside a section is an error; one that lacks whole sections is an earlier build's.
fn assert_decodes_only_whole_sections(digest: &Digest) {
    let parts = (&digest.part_crashes, &digest.part_answers);
    let details = (&digest.crash_details, &digest.content_answers);
    let sections = [
        postcard::to_allocvec(digest).unwrap().len(),
        postcard::to_allocvec(&digest.leaving).unwrap().len(),
        postcard::to_allocvec(&parts).unwrap().len(),
        postcard::to_allocvec(&digest.limits).unwrap().len(),
        postcard::to_allocvec(&details).unwrap().len(),
        postcard::to_allocvec(&digest.routes_version).unwrap().len(),
        postcard::to_allocvec(&(digest.reads_notices, digest.records_age_ms)).unwrap().len(),
        postcard::to_allocvec(&digest.speeds).unwrap().len(),
        refusals(digest).len(),
    ];
    let ends: Vec<usize> = (1..=sections.len()).map(|it| sections[..it].iter().sum()).collect();
    let bytes = digest.to_bytes().unwrap();
    for length in 0..=bytes.len() {
        let is_whole = ends.contains(&length);
        assert_eq!(Digest::from_bytes(&bytes[..length]).is_ok(), is_whole, "{length} bytes");
    }
}

#[test]
fn builds_that_dont_know_leaving_endpoints_read_the_rest() {
    let digest = Digest { leaving: vec![EndpointHash(7), EndpointHash(u64::MAX)], ..digest(18) };
    let bytes = digest.to_bytes().unwrap();
    assert_eq!(Digest::from_bytes(&bytes).unwrap(), digest);
    let earlier = postcard::from_bytes::<Digest>(&bytes).unwrap();
    assert_eq!(earlier, Digest { leaving: Vec::new(), ..digest.clone() });
    let from_earlier = postcard::to_allocvec(&digest).unwrap();
    assert_eq!(Digest::from_bytes(&from_earlier).unwrap(), earlier);
    assert_decodes_only_whole_sections(&digest);
}

#[test]
fn builds_that_dont_know_prompt_parts_read_the_rest() {
    let endpoint = EndpointHash(u64::MAX);
    let crash = CrashReport { suspect: 7, endpoint, age_ms: 10, ran_ms: 200, requests: 2 };
    let digest = Digest {
        leaving: vec![EndpointHash(7)],
        part_crashes: vec![crash],
        part_answers: vec![AnswerReport { suspect: 8, age_ms: 300 }],
        ..digest(18)
    };
    let bytes = digest.to_bytes().unwrap();
    assert_eq!(Digest::from_bytes(&bytes).unwrap(), digest);
    let (_, rest) = postcard::take_from_bytes::<Digest>(&bytes).unwrap();
    assert_eq!(postcard::from_bytes::<Vec<EndpointHash>>(rest).unwrap(), digest.leaving);
    let (_, parts) = postcard::take_from_bytes::<Vec<EndpointHash>>(rest).unwrap();
    let from_earlier = &bytes[..bytes.len() - parts.len()];
    let earlier = Digest { part_crashes: Vec::new(), part_answers: Vec::new(), ..digest.clone() };
    assert_eq!(Digest::from_bytes(from_earlier).unwrap(), earlier);
    assert_decodes_only_whole_sections(&digest);
}

#[test]
fn builds_that_dont_know_limits_read_the_rest() {
    let report = LimitReport { endpoint: EndpointHash(9), per_s: Some(4.3), age_ms: 120 };
    let ended = LimitReport { endpoint: EndpointHash(10), per_s: None, age_ms: 0 };
    let digest = Digest {
        leaving: vec![EndpointHash(7)],
        part_answers: vec![AnswerReport { suspect: 8, age_ms: 300 }],
        limits: vec![report, ended],
        ..digest(18)
    };
    let bytes = digest.to_bytes().unwrap();
    assert_eq!(Digest::from_bytes(&bytes).unwrap(), digest);
    let limits = postcard::to_allocvec(&digest.limits).unwrap();
    let details = postcard::to_allocvec(&(&digest.crash_details, &digest.content_answers)).unwrap();
    let earlier = Digest { limits: Vec::new(), ..digest.clone() };
    let version = version_and_later(&digest);
    let from_earlier = &bytes[..bytes.len() - version.len() - details.len() - limits.len()];
    assert_eq!(Digest::from_bytes(from_earlier).unwrap(), earlier);
    assert_decodes_only_whole_sections(&digest);
}

#[test]
fn builds_that_dont_know_ages_of_crashes_read_the_rest() {
    let endpoint = EndpointHash(9);
    let digest = Digest {
        crashes: vec![(7, endpoint)],
        limits: vec![LimitReport { endpoint, per_s: Some(4.3), age_ms: 120 }],
        crash_details: vec![CrashDetail { age_ms: 1_200, ran_ms: 40, requests: 3 }],
        content_answers: vec![AnswerReport { suspect: 8, age_ms: 300 }],
        routes_version: 300,
        ..digest(18)
    };
    let bytes = digest.to_bytes().unwrap();
    let read = Digest::from_bytes(&bytes).unwrap();
    assert_eq!(read, digest);
    let crash = CrashReport { suspect: 7, endpoint, age_ms: 1_200, ran_ms: 40, requests: 3 };
    assert_eq!(read.crash_reports().contents, [crash]);
    let details = postcard::to_allocvec(&(&digest.crash_details, &digest.content_answers)).unwrap();
    let version = version_and_later(&digest);
    let without_version = &bytes[..bytes.len() - version.len()];
    let expected = Digest { routes_version: 0, ..digest.clone() };
    assert_eq!(Digest::from_bytes(without_version).unwrap(), expected);
    let without_details = &without_version[..without_version.len() - details.len()];
    let earlier = Digest::from_bytes(without_details).unwrap();
    let without = (Vec::new(), Vec::new());
    assert_eq!((earlier.crash_details.clone(), earlier.content_answers.clone()), without);
    assert_eq!(
        earlier.crash_reports().contents,
        [CrashReport { age_ms: 0, ran_ms: 0, requests: 1, ..crash }]
    );
    assert_decodes_only_whole_sections(&digest);
}

#[test]
fn builds_that_dont_read_notices_read_the_rest() {
    let digest =
        Digest { routes_version: 300, reads_notices: true, records_age_ms: Some(7), ..digest(18) };
    let bytes = digest.to_bytes().unwrap();
    assert_eq!(Digest::from_bytes(&bytes).unwrap(), digest);
    let notices = postcard::to_allocvec(&(true, Some(7_u32))).unwrap();
    let later = speeds_and_later(&digest);
    let from_earlier = &bytes[..bytes.len() - notices.len() - later.len()];
    let earlier = Digest { reads_notices: false, records_age_ms: None, ..digest.clone() };
    assert_eq!(Digest::from_bytes(from_earlier).unwrap(), earlier);
    assert_decodes_only_whole_sections(&digest);
}

/// In a fleet of two builds, the earlier one would otherwise lose the whole digest.
#[test]
fn builds_that_dont_know_speeds_read_the_rest() {
    let report = SpeedReport { endpoint: EndpointHash(9), percent: 250, age_ms: 120 };
    let digest = Digest { records_age_ms: Some(7), speeds: vec![report], ..digest(18) };
    let bytes = digest.to_bytes().unwrap();
    assert_eq!(Digest::from_bytes(&bytes).unwrap(), digest);
    let later = speeds_and_later(&digest);
    let from_earlier = &bytes[..bytes.len() - later.len()];
    let earlier = Digest { speeds: Vec::new(), ..digest.clone() };
    assert_eq!(Digest::from_bytes(from_earlier).unwrap(), earlier);
    assert_decodes_only_whole_sections(&digest);
}

#[test]
fn builds_that_dont_know_refusals_read_the_rest() {
    let digest = Digest {
        content_refusals: vec![refusal(1)],
        part_refusals: vec![refusal(2), refusal(3)],
        ..digest(18)
    };
    let bytes = digest.to_bytes().unwrap();
    assert_eq!(Digest::from_bytes(&bytes).unwrap(), digest);
    let from_earlier = &bytes[..bytes.len() - refusals(&digest).len()];
    let (content_refusals, part_refusals) = (Vec::new(), Vec::new());
    let earlier = Digest { content_refusals, part_refusals, ..digest.clone() };
    assert_eq!(Digest::from_bytes(from_earlier).unwrap(), earlier);
    assert_decodes_only_whole_sections(&digest);
}

/// Returns a refusal with as many trials as are stored.
fn refusal(suspect: u64) -> RefusalReport {
    let trial = TrialReport { number: u64::MAX, age_ms: 300_000, is_void: true };
    RefusalReport { suspect: u64::MAX - suspect, refused_ms: 300_000, trials: vec![trial; 8] }
}

/// An endpoint crashes under as many requests as a gateway tells of.
#[test]
fn digest_with_all_crashes_fits_the_largest_datagram() {
    const MAX_DATAGRAM_BYTES: usize = 16 * 1024;
    let hash = |number: u64| EndpointHash(number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let part_crash = |it| CrashReport {
        suspect: hash(it).0,
        endpoint: hash(it),
        age_ms: 300_000,
        ran_ms: 15_000,
        requests: 3,
    };
    let digest = Digest {
        crashes: (0..76).map(|it| (hash(it).0, hash(it))).collect(),
        crash_details: vec![CrashDetail { age_ms: 300_000, ran_ms: 15_000, requests: 3 }; 76],
        content_answers: (0..32)
            .map(|it| AnswerReport { suspect: hash(it).0, age_ms: 5_000 })
            .collect(),
        part_crashes: (0..76).map(part_crash).collect(),
        part_answers: (0..32)
            .map(|it| AnswerReport { suspect: hash(it).0, age_ms: 5_000 })
            .collect(),
        limits: (0..128)
            .map(|it| LimitReport { endpoint: hash(it), per_s: Some(4.3), age_ms: 100_000 })
            .collect(),
        speeds: (0..32)
            .map(|it| SpeedReport { endpoint: hash(it), percent: 1_000, age_ms: 3_000 })
            .collect(),
        content_refusals: (0..8).map(refusal).collect(),
        part_refusals: (0..8).map(refusal).collect(),
        ..digest(52)
    };
    let length = digest.to_bytes().unwrap().len();
    assert!(length <= MAX_DATAGRAM_BYTES, "{length} bytes");
}

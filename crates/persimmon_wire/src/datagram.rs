//! Encoding of membership digests as authenticated datagrams.

use capnp::message::{Builder, ReaderOptions};
use capnp::serialize;
use persimmon_decide::membership::{Digest, DigestEntry, NodeId};
use persimmon_decide::recovery::{SuspectMark, Suspicion, Verdict};
use persimmon_decide::{Fingerprint, Incarnation};
use persimmon_records::{Generation, SetVersion};
use thiserror::Error;

use crate::FleetKey;
use crate::fleet_capnp as schema;

/// Number of bytes of the message authentication code (MAC) at the start of a datagram.
const MAC_BYTES: usize = blake3::OUT_LEN;
const FLAG_LEAVING: u8 = 1;
const FLAG_SUSPECTED: u8 = 2;

/// The reason why a datagram can't be sent or is dropped on receipt.
#[derive(Debug, Error)]
pub enum DatagramError {
    /// The MAC doesn't match the content.
    #[error(
        "the datagram isn't authenticated with this fleet's key; set the same PERSIMMON_FLEET_KEY \
         on all VMs"
    )]
    Key,
    /// The content can't be decoded.
    #[error("the datagram is malformed ({0}); run the same version on all VMs")]
    Malformed(#[from] capnp::Error),
    /// The digest doesn't fit in a datagram.
    #[error("the digest takes {0} bytes, over the {max} permitted", max = Digest::MAX_BYTES)]
    TooLong(usize),
}

/// Encodes a digest, preceded by a MAC with the fleet key.
///
/// # Errors
///
/// Returns an error if the digest doesn't fit in a datagram.
pub fn encode_digest(digest: &Digest, key: &FleetKey) -> Result<Vec<u8>, DatagramError> {
    let mut message = Builder::new_default();
    write_digest(message.init_root(), digest);
    let payload = serialize::write_message_to_words(&message);
    let bytes = MAC_BYTES + payload.len();
    if bytes > Digest::MAX_BYTES {
        return Err(DatagramError::TooLong(bytes));
    }
    let mut datagram = Vec::with_capacity(bytes);
    datagram.extend_from_slice(key.datagram_mac(&payload).as_bytes());
    datagram.extend_from_slice(&payload);
    Ok(datagram)
}

/// Verifies the MAC of a datagram and decodes its digest.
///
/// # Errors
///
/// Returns an error if the MAC was made with another key or the content can't be decoded.
pub fn decode_digest(datagram: &[u8], key: &FleetKey) -> Result<Digest, DatagramError> {
    let Some((mac, payload)) = datagram.split_first_chunk::<MAC_BYTES>() else {
        return Err(DatagramError::Key);
    };
    // `blake3::Hash` compares in constant time.
    if blake3::Hash::from_bytes(*mac) != key.datagram_mac(payload) {
        return Err(DatagramError::Key);
    }
    // Copies the payload, since it isn't aligned to words within the datagram.
    let message = serialize::read_message(payload, ReaderOptions::new())?;
    read_digest(message.get_root()?)
}

fn write_digest(mut builder: schema::datagram::Builder<'_>, digest: &Digest) {
    builder.set_from(digest.from.0);
    builder.set_incarnation(digest.incarnation.0);
    builder.set_vms_version(digest.vms_version);
    builder.set_contact_age_ms(digest.contact_age_ms);
    builder.set_wants_reply(digest.wants_reply);
    if let Some(version) = digest.records {
        builder.set_generation(version.generation.0);
        builder.set_set_digest(version.digest.as_bytes());
    }
    let mut entries = builder.reborrow().init_entries(digest.entries.len() as u32);
    for (index, entry) in digest.entries.iter().enumerate() {
        write_entry(entries.reborrow().get(index as u32), entry);
    }
    let mut suspects = builder.init_suspects(digest.suspects.len() as u32);
    for (index, mark) in digest.suspects.iter().enumerate() {
        write_mark(suspects.reborrow().get(index as u32), mark);
    }
}

fn read_digest(reader: schema::datagram::Reader<'_>) -> Result<Digest, DatagramError> {
    let records = read_version(reader.get_generation(), reader.get_set_digest()?);
    let entries = reader.get_entries()?;
    let suspects = reader.get_suspects()?;
    Ok(Digest {
        from: NodeId(reader.get_from()),
        incarnation: Incarnation(reader.get_incarnation()),
        records,
        vms_version: reader.get_vms_version(),
        contact_age_ms: reader.get_contact_age_ms(),
        wants_reply: reader.get_wants_reply(),
        entries: entries.iter().take(Digest::MAX_ENTRIES).map(read_entry).collect(),
        suspects: suspects.iter().take(Digest::MAX_SUSPECTS).map(read_mark).collect(),
    })
}

/// Returns the version of a record set, or `None` if the digest doesn't have its full length.
pub(crate) fn read_version(generation: u64, digest: &[u8]) -> Option<SetVersion> {
    let digest = persimmon_records::Digest::try_from(digest).ok()?;
    Some(SetVersion { generation: Generation(generation), digest })
}

fn write_entry(mut builder: schema::digest_entry::Builder<'_>, entry: &DigestEntry) {
    let leaving = if entry.leaving { FLAG_LEAVING } else { 0 };
    let suspected = if entry.suspected { FLAG_SUSPECTED } else { 0 };
    builder.set_node(entry.node.0);
    builder.set_incarnation(entry.incarnation.0);
    builder.set_beat(entry.beat);
    builder.set_work(entry.work);
    builder.set_age(entry.age);
    builder.set_flags(leaving | suspected);
}

fn read_entry(reader: schema::digest_entry::Reader<'_>) -> DigestEntry {
    DigestEntry {
        node: NodeId(reader.get_node()),
        incarnation: Incarnation(reader.get_incarnation()),
        beat: reader.get_beat(),
        work: reader.get_work(),
        age: reader.get_age(),
        leaving: reader.get_flags() & FLAG_LEAVING != 0,
        suspected: reader.get_flags() & FLAG_SUSPECTED != 0,
    }
}

// Values of a mark's verdict on the wire. The round of an open verdict is in a field of its own.
const VERDICT_SUSPECT: u8 = 0;
const VERDICT_CLEARED: u8 = 1;
const VERDICT_QUARANTINED: u8 = 2;

fn write_mark(mut builder: schema::suspect_mark::Builder<'_>, mark: &SuspectMark) {
    let (verdict, round) = match mark.verdict {
        Verdict::Open { round, suspicion: Suspicion::Suspect } => (VERDICT_SUSPECT, round),
        Verdict::Open { round, suspicion: Suspicion::Cleared } => (VERDICT_CLEARED, round),
        Verdict::Quarantined => (VERDICT_QUARANTINED, 0),
    };
    builder.set_fingerprint(mark.fingerprint.0);
    builder.set_site(mark.site.0);
    builder.set_verdict(verdict);
    builder.set_round(round);
    builder.set_ttl_s(mark.ttl_s);
}

fn read_mark(reader: schema::suspect_mark::Reader<'_>) -> SuspectMark {
    let round = reader.get_round();
    let verdict = match reader.get_verdict() {
        VERDICT_QUARANTINED => Verdict::Quarantined,
        VERDICT_CLEARED => Verdict::Open { round, suspicion: Suspicion::Cleared },
        _ => Verdict::Open { round, suspicion: Suspicion::Suspect },
    };
    SuspectMark {
        fingerprint: Fingerprint(reader.get_fingerprint()),
        site: NodeId(reader.get_site()),
        verdict,
        ttl_s: reader.get_ttl_s(),
    }
}

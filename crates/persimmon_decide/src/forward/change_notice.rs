//! Messages by which gateways pass on that the records have changed.

use std::net::{IpAddr, Ipv4Addr};

use serde::{Deserialize, Serialize};

use super::StoreUpdate;

/// A notice that the sender has later records, small enough for a datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangeNotice {
    /// Position of the store up to which the sender has every change.
    pub position: u64,
    /// Gateways to which the receiver passes the notice on once it has the change, in no order.
    pub relay_to: Vec<IpAddr>,
    /// The change itself, if it is small.
    pub update: Option<StoreUpdate>,
}

/// A notice as it is encoded.
#[derive(Debug, Serialize, Deserialize)]
struct EncodedNotice {
    position: u64,
    /// Differences between the IPv4 addresses in `relay_to`, in their order. Those of a fleet lie close together,
    /// so that a notice hardly grows with it.
    distances: Vec<u32>,
    /// The other addresses in `relay_to`.
    others: Vec<IpAddr>,
    update: Option<StoreUpdate>,
}

impl From<&ChangeNotice> for EncodedNotice {
    fn from(notice: &ChangeNotice) -> Self {
        let (mut v4, mut others) = (Vec::new(), Vec::new());
        for ip in &notice.relay_to {
            match ip {
                IpAddr::V4(ip) => v4.push(ip.to_bits()),
                IpAddr::V6(_) => others.push(*ip),
            }
        }
        v4.sort_unstable();
        let before = [0].into_iter().chain(v4.iter().copied());
        let distances = v4.iter().zip(before).map(|(ip, before)| ip - before).collect();
        Self { position: notice.position, distances, others, update: notice.update.clone() }
    }
}

impl From<EncodedNotice> for ChangeNotice {
    fn from(encoded: EncodedNotice) -> Self {
        let v4 = encoded.distances.into_iter().scan(0_u32, |ip, distance| {
            *ip = ip.wrapping_add(distance);
            Some(IpAddr::V4(Ipv4Addr::from_bits(*ip)))
        });
        let relay_to = v4.chain(encoded.others).collect();
        Self { position: encoded.position, relay_to, update: encoded.update }
    }
}

impl ChangeNotice {
    /// Maximum size of an update in a notice, in bytes: the notice then fits into one packet.
    pub const MAX_UPDATE_BYTES: usize = 1_000;
    /// Size of the hash of the encoded notice that follows the prefix, in bytes. Detects damage.
    const HASH_BYTES: usize = 8;
    /// First bytes of each notice. Neither a digest nor another message begins with them.
    const PREFIX: [u8; 10] = [0xfe; 10];

    /// Encodes the notice for a datagram.
    ///
    /// # Errors
    ///
    /// The notice can't be encoded.
    pub fn to_bytes(&self) -> postcard::Result<Vec<u8>> {
        let encoded = postcard::to_allocvec(&EncodedNotice::from(self))?;
        let hash = hash(&encoded);
        Ok([&Self::PREFIX[..], &hash, &encoded].concat())
    }

    /// Decodes a datagram; none if it is of another kind.
    ///
    /// # Errors
    ///
    /// The bytes aren't a notice, or are damaged.
    pub fn from_bytes(bytes: &[u8]) -> Option<postcard::Result<Self>> {
        bytes.strip_prefix(&Self::PREFIX).map(Self::decode)
    }

    fn decode(bytes: &[u8]) -> postcard::Result<Self> {
        let parts = bytes.split_first_chunk::<{ Self::HASH_BYTES }>();
        let (expected, encoded) = parts.ok_or(postcard::Error::DeserializeUnexpectedEnd)?;
        if hash(encoded) != *expected {
            return Err(postcard::Error::DeserializeBadCrc);
        }
        postcard::from_bytes::<EncodedNotice>(encoded).map(Self::from)
    }
}

fn hash(encoded: &[u8]) -> [u8; ChangeNotice::HASH_BYTES] {
    let hash = blake3::hash(encoded);
    *hash.as_bytes().first_chunk().expect("a hash has 32 bytes")
}

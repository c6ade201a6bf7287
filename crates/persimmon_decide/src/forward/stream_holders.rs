//! Which holders, processes beside endpoints, store what began a stream.

use std::collections::{BTreeMap, HashMap};
use std::net::IpAddr;
use std::sync::Arc;

use super::StreamKey;
use crate::MonoMs;

/// What is known of a holder.
#[derive(Debug, Default)]
struct Contact {
    /// Messages since its last reply.
    unanswered: u32,
    last_sent: MonoMs,
}

/// VM that may have a holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HolderCandidate {
    /// Address of the VM, and of the endpoint on it.
    pub ip: IpAddr,
    /// Software version of that endpoint.
    pub version: Arc<str>,
}

/// Selects the holders of each stream and tracks which of them reply.
///
/// Handles fleets all of whose gateways end at one moment while endpoints of several versions serve:
/// holders run on the endpoints' VMs and still have the streams. Holders beside endpoints of the stream's
/// own version go first: they leave when the stream can't go on in any case. A VM without a holder is
/// found by its silence, and the next one in rank takes its place.
#[derive(Debug, Default)]
pub struct StreamHolders {
    contacts: HashMap<IpAddr, Contact>,
}

impl StreamHolders {
    /// Number of holders that store a stream.
    pub const PER_STREAM: usize = 3;
    /// Number of holders of each version that are asked for a stream. It exceeds [`Self::PER_STREAM`],
    /// since endpoints come and go and silent holders are replaced in between.
    pub const ASKED_PER_VERSION: usize = 4;
    /// Maximum number of holders that are asked for a stream.
    pub const MAX_ASKED: usize = 16;
    /// Number of messages in a row without a reply after which a holder counts as absent.
    const MAX_UNANSWERED: u32 = 8;
    /// Interval at which an absent holder is tried again, in milliseconds.
    const RETRY_INTERVAL_MS: u64 = 5_000;

    /// Creates a tracker that counts every candidate as present.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the holders to store a stream of this version at.
    pub fn select(
        &self,
        stream: StreamKey,
        version: &str,
        candidates: impl Iterator<Item = HolderCandidate>,
        now: MonoMs,
    ) -> Vec<IpAddr> {
        let present = candidates.filter(|it| self.is_present(it.ip, now));
        let (own, others): (Vec<_>, Vec<_>) = present.partition(|it| *it.version == *version);
        let ips = |of: Vec<HolderCandidate>| of.into_iter().map(|it| it.ip);
        let mut selected = stream.rank(ips(own), Self::PER_STREAM);
        let missing = Self::PER_STREAM - selected.len();
        if missing > 0 {
            selected.extend(stream.rank(ips(others), missing));
        }
        selected
    }

    /// Returns the holders that may have stored a stream of unknown version, the likeliest of each
    /// version first.
    pub fn asked(
        stream: StreamKey,
        candidates: impl Iterator<Item = HolderCandidate>,
    ) -> Vec<IpAddr> {
        let mut by_version: BTreeMap<Arc<str>, Vec<IpAddr>> = BTreeMap::new();
        for candidate in candidates {
            by_version.entry(candidate.version).or_default().push(candidate.ip);
        }
        let mut ranked: Vec<_> = by_version
            .into_values()
            .flat_map(|ips| {
                stream.rank(ips.into_iter(), Self::ASKED_PER_VERSION).into_iter().enumerate()
            })
            .collect();
        ranked.sort_by_key(|(position, _)| *position);
        ranked.into_iter().map(|(_, ip)| ip).take(Self::MAX_ASKED).collect()
    }

    /// Records a message to a holder that it has to reply to.
    pub fn record_sent(&mut self, holder: IpAddr, now: MonoMs) {
        let contact = self.contacts.entry(holder).or_default();
        contact.unanswered = contact.unanswered.saturating_add(1);
        contact.last_sent = now;
    }

    /// Records a reply of a holder.
    pub fn record_reply(&mut self, holder: IpAddr) {
        if let Some(contact) = self.contacts.get_mut(&holder) {
            contact.unanswered = 0;
        }
    }

    /// Removes the holders that `is_candidate` doesn't name.
    pub fn retain(&mut self, is_candidate: impl Fn(IpAddr) -> bool) {
        self.contacts.retain(|ip, _| is_candidate(*ip));
    }

    fn is_present(&self, holder: IpAddr, now: MonoMs) -> bool {
        self.contacts.get(&holder).is_none_or(|it| {
            it.unanswered < Self::MAX_UNANSWERED
                || now.ms_since(it.last_sent) >= Self::RETRY_INTERVAL_MS
        })
    }
}

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
    /// Start of that endpoint, in milliseconds since 1970 by the platform's clock; zero if not known.
    pub started_unix_ms: u64,
}

/// Selects the holders of each stream and tracks which of them reply.
///
/// Handles fleets all of whose gateways end at one moment while endpoints of several versions serve:
/// holders run on the endpoints' VMs and still have the streams. Holders beside endpoints of the stream's
/// own version go first: they leave when the stream can't go on in any case. A VM without a holder is
/// found by its silence, and the next one in rank takes its place.
///
/// While a version replaces another one, the holders of the earlier one leave one after the other,
/// although it still serves. So a stream is also stored beside an endpoint of the version that was
/// released last.
///
/// A version that is being released has a few endpoints when its first streams begin and hundreds a few
/// seconds later. So those are asked too that ranked first among the endpoints of their version that
/// had started by some moment; their number grows with the logarithm of all.
#[derive(Debug, Default)]
pub struct StreamHolders {
    contacts: HashMap<IpAddr, Contact>,
}

impl StreamHolders {
    /// Number of holders that store a stream; one more does while other versions serve.
    pub const PER_STREAM: usize = 3;
    /// Number of holders of each version that are asked for a stream. It exceeds [`Self::PER_STREAM`],
    /// since endpoints come and go and silent holders are replaced in between.
    pub const ASKED_PER_VERSION: usize = 4;
    /// Maximum number of holders that are asked for a stream as they rank first now.
    pub const MAX_ASKED: usize = 16;
    /// Maximum number of holders that are asked as they ranked first when fewer endpoints had started.
    pub const MAX_EARLIER: usize = 24;
    /// Number of holders that store what is refused because endpoints crashed.
    pub const OF_CRASHES: usize = 4;
    /// Number of holders that are asked for it: more than store it, since endpoints come and go and silent holders are
    /// passed over.
    pub const ASKED_FOR_CRASHES: usize = 16;
    /// Subject of the order of holders for crashes. A gateway that asks doesn't know the suspects.
    const CRASHES: StreamKey = StreamKey(0);
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
        let latest = latest_version(&others);
        let (latest, others): (Vec<_>, Vec<_>) =
            others.into_iter().partition(|it| Some(&it.version) == latest.as_ref());
        let in_latest = stream.rank(ips(latest), Self::PER_STREAM);
        let missing = (Self::PER_STREAM - selected.len()).max(usize::from(!in_latest.is_empty()));
        selected.extend(in_latest.into_iter().take(missing));
        let missing = Self::PER_STREAM.saturating_sub(selected.len());
        selected.extend(stream.rank(ips(others), missing));
        selected
    }

    /// Returns the holders that may have stored a stream of unknown version, the likeliest of each
    /// version first.
    pub fn asked(
        stream: StreamKey,
        candidates: impl Iterator<Item = HolderCandidate>,
    ) -> Vec<IpAddr> {
        let mut by_version: BTreeMap<Arc<str>, Vec<HolderCandidate>> = BTreeMap::new();
        for candidate in candidates {
            by_version.entry(candidate.version.clone()).or_default().push(candidate);
        }
        let (mut ranked, mut earlier) = (Vec::new(), Vec::new());
        for of_version in by_version.into_values() {
            let ips = of_version.iter().map(|it| it.ip);
            let first = stream.rank(ips, Self::ASKED_PER_VERSION);
            let displaced = Self::displaced(stream, of_version);
            earlier.extend(displaced.into_iter().filter(|it| !first.contains(it)).enumerate());
            ranked.extend(first.into_iter().enumerate());
        }
        let in_order = |mut of: Vec<(usize, IpAddr)>, max: usize| {
            of.sort_by_key(|(position, _)| *position);
            of.into_iter().map(|(_, ip)| ip).take(max)
        };
        let ranked = in_order(ranked, Self::MAX_ASKED);
        ranked.chain(in_order(earlier, Self::MAX_EARLIER)).collect()
    }

    /// Returns the holders to store at what is refused because endpoints crashed.
    pub fn select_for_crashes(
        &self,
        candidates: impl Iterator<Item = IpAddr>,
        now: MonoMs,
    ) -> Vec<IpAddr> {
        Self::CRASHES.rank(candidates.filter(|it| self.is_present(*it, now)), Self::OF_CRASHES)
    }

    /// Returns the holders that may have stored it.
    pub fn asked_for_crashes(candidates: impl Iterator<Item = IpAddr>) -> Vec<IpAddr> {
        Self::CRASHES.rank(candidates, Self::ASKED_FOR_CRASHES)
    }

    /// Returns the candidates of one version that were among the first in rank until others started, those
    /// that were displaced last first.
    fn displaced(stream: StreamKey, mut of_version: Vec<HolderCandidate>) -> Vec<IpAddr> {
        of_version.sort_by_key(|it| (it.started_unix_ms, it.ip));
        let (mut first, mut displaced) = (Vec::new(), Vec::new());
        for candidate in of_version {
            first.push(candidate.ip);
            let kept = stream.rank(first.iter().copied(), Self::PER_STREAM);
            displaced
                .extend(first.into_iter().filter(|it| !kept.contains(it) && *it != candidate.ip));
            first = kept;
        }
        displaced.reverse();
        displaced
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

/// Returns the version whose first endpoint started last.
fn latest_version(candidates: &[HolderCandidate]) -> Option<Arc<str>> {
    let mut first_starts: BTreeMap<&Arc<str>, u64> = BTreeMap::new();
    for it in candidates {
        let first = first_starts.entry(&it.version).or_insert(it.started_unix_ms);
        *first = it.started_unix_ms.min(*first);
    }
    let latest = first_starts.into_iter().max_by_key(|(version, first)| (*first, *version));
    latest.map(|(version, _)| version.clone())
}

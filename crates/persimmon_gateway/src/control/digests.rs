//! What gateways tell each other.

use std::net::IpAddr;
use std::sync::Arc;

use persimmon_decide::MonoMs;
use persimmon_decide::forward::{
    CrashDetail, CrashReport, Digest, DigestFreshness, Endpoint, EndpointState, KnownGateways,
    LimitReport, PartHolder, StoreEra,
};

use super::Control;

/// Maximum number of leaving endpoints in one digest.
const MAX_DIGEST_LEAVING: usize = 32;
/// Maximum number of crashes of contents, and of prompt parts, in one digest; more would take too
/// much of a datagram.
const MAX_DIGEST_CRASHES: usize = 64;
/// Maximum number of recent crashes of each kind in one round of digests to all peers; with more
/// peers, each digest contains fewer.
const MAX_CRASHES_PER_ROUND: usize = 800;

/// Maximum number of limits in one digest.
const MAX_DIGEST_LIMITS: usize = 128;

/// Maximum number of speeds in one digest. Values that have outlived their lifetime aren't reported, so
/// that digests of large fleets, which are far apart, contain few.
const MAX_DIGEST_SPEEDS: usize = 32;

/// Maximum number of endpoints with outcomes in one digest, which contains only endpoints at which
/// some gateway's requests have recently failed.
const MAX_DIGEST_OUTCOMES: usize = 64;

/// Maximum number of new announcements in one digest of endpoints that have cached a prompt part.
const MAX_DIGEST_NEW_HOLDERS: usize = 48;
/// Maximum number of repeated announcements of such endpoints in one digest.
const MAX_DIGEST_REPEATED_HOLDERS: usize = 6;
/// Maximum number of repeated announcements in one round of digests to all peers; with more peers,
/// each digest contains fewer.
const MAX_REPEATED_HOLDERS_PER_ROUND: usize = 250;
/// Maximum number of such endpoints in a digest to a gateway that has just started, and the number that
/// it gets from all peers together.
const MAX_NEWCOMER_HOLDERS: usize = 400;
const NEWCOMER_HOLDERS: usize = 6_400;

impl Control {
    /// Marks draining endpoints as leaving when the store has come back from a copy: gateways that start
    /// afterwards know only the copy's record, and learn from digests which endpoints leave.
    fn mark_draining_if_restored(&mut self, now: MonoMs) {
        let era = StoreEra::of(self.view.revision());
        if std::mem::replace(&mut self.marked_era, era) >= era {
            return;
        }
        let is_draining = |it: &&Arc<Endpoint>| it.state == EndpointState::Draining;
        let draining: Vec<_> =
            self.directory.iter().filter(is_draining).map(|it| it.hash).collect();
        for endpoint in draining {
            self.directory.mark_leaving(endpoint, now);
        }
    }

    /// Creates the next digest for the other gateways.
    pub(crate) fn digest(&mut self, now: MonoMs) -> Digest {
        let targets = self.peers.targets().len().max(1);
        let repeated = MAX_DIGEST_REPEATED_HOLDERS.min(MAX_REPEATED_HOLDERS_PER_ROUND / targets);
        let holders = self.prefixes.take_announcements(MAX_DIGEST_NEW_HOLDERS, repeated, now);
        self.digest_with(holders, targets, now)
    }

    /// Creates the next digest for gateways that weren't known. It holds more of what changes seldom, and
    /// leaves what is new to the next one for all.
    pub(crate) fn newcomer_digest(&mut self, now: MonoMs) -> Digest {
        let targets = self.peers.targets().len().max(1);
        let max = MAX_NEWCOMER_HOLDERS.min(NEWCOMER_HOLDERS / targets);
        let holders = self.prefixes.known_holders(max, now);
        self.digest_with(holders, targets, now)
    }

    /// Creates the next digest with these holders; `targets` gateways get one in each round.
    fn digest_with(&mut self, holders: Vec<PartHolder>, targets: usize, now: MonoMs) -> Digest {
        self.mark_draining_if_restored(now);
        self.sequence += 1;
        let draw = self.draw();
        let retries = self.retries.iter().map(|(name, it)| (name.clone(), it.counts(now)));
        let max_crashes = MAX_DIGEST_CRASHES.min(MAX_CRASHES_PER_ROUND / targets);
        let reports = self.crashes.reports(max_crashes, now);
        let contents = reports.contents.iter();
        let detail = |it: &CrashReport| {
            let CrashReport { age_ms, ran_ms, requests, .. } = *it;
            CrashDetail { age_ms, ran_ms, requests }
        };
        let details = contents.clone().map(detail);
        Digest {
            incarnation: self.incarnation,
            sequence: self.sequence,
            revision: self.view.revision(),
            store_age_ms: self
                .store_contact
                .map(|at| u32::try_from(now.ms_since(at)).unwrap_or(u32::MAX)),
            is_leaving: self.shutdown.is_leaving(),
            loads: self.loads.own_loads().collect(),
            ejections: self.health.ejections(now).collect(),
            outcomes: self.health.outcomes(MAX_DIGEST_OUTCOMES, now),
            retries: retries.filter(|(_, it)| it.fresh + it.repeated > 0).collect(),
            holders,
            crashes: contents.map(|it| (it.suspect, it.endpoint)).collect(),
            crash_details: details.collect(),
            content_answers: reports.content_answers,
            routes_version: self.routes_version(),
            reads_notices: true,
            records_age_ms: self
                .records_age
                .age_ms(now)
                .map(|ms| u32::try_from(ms).unwrap_or(u32::MAX)),
            part_crashes: reports.parts,
            part_answers: reports.part_answers,
            content_refusals: reports.content_refusals,
            part_refusals: reports.part_refusals,
            peers: self.peers.addresses(draw, now),
            limits: self.limits.reports(MAX_DIGEST_LIMITS, now),
            speeds: self.speeds.reports(MAX_DIGEST_SPEEDS, now),
            leaving: self.directory.leaving().take(MAX_DIGEST_LEAVING).collect(),
        }
    }

    /// Applies another gateway's digest, unless it is stale.
    pub(crate) fn apply_digest(
        &mut self,
        from: IpAddr,
        digest: Digest,
        now: MonoMs,
    ) -> DigestFreshness {
        let freshness = self.peers.record_digest(from, &digest, now);
        if freshness == DigestFreshness::Stale {
            return freshness;
        }
        if digest.store_age_ms.is_some() {
            self.records_age.record_watcher(now);
        }
        let confirmed_at = digest.records_age_ms.and_then(|ms| now.0.checked_sub(u64::from(ms)));
        if let Some(at) = confirmed_at {
            let own = self.view.revision();
            self.records_age.record_confirmed(digest.revision, MonoMs(at), own);
        }
        for (endpoint, ms) in &digest.ejections {
            self.health.record_peer_ejection(*endpoint, *ms, now);
        }
        self.crashes.record_peer_reports(&digest.crash_reports(), now);
        for endpoint in &digest.leaving {
            if self.directory.mark_leaving(*endpoint, now) {
                let published = self.directory.by_hash(*endpoint);
                tracing::info!(target: "endpoint", endpoint = published.map(|it| &*it.id),
                    hash = endpoint.0, peer = %from, "a peer says that an endpoint is leaving");
            }
        }
        if freshness == DigestFreshness::NewIncarnation {
            self.update_gateways(now);
            self.newcomers.push(from);
        }
        let changed = digest.limits.iter().filter(|it| self.limits.record_peer(it, now));
        self.changed_limits.extend(changed);
        for report in &digest.speeds {
            self.speeds.record_peer(report, now);
        }
        for holder in &digest.holders {
            self.prefixes.record_peer_holder(*holder, now);
        }
        self.loads.replace_peer(from, digest.loads);
        self.health.replace_peer(from, digest.outcomes);
        freshness
    }

    /// Takes the limits that peers' digests have changed, each with the endpoint if it is published.
    pub(crate) fn take_changed_limits(&mut self) -> Vec<(LimitReport, Option<Arc<Endpoint>>)> {
        let changed = std::mem::take(&mut self.changed_limits).into_iter();
        changed.map(|it| (it, self.directory.by_hash(it.endpoint).cloned())).collect()
    }

    /// Divides limits, and the turns to try what is refused, among the gateways that are known now, and
    /// determines how far apart their digests are.
    pub(crate) fn update_gateways(&mut self, now: MonoMs) {
        let own = self.settings.peers.ip();
        let (fleet, heard) = (self.peers.fleet(), self.peers.gateways(now));
        self.limits.set_gateways(own, &fleet, heard, now);
        let gateways = KnownGateways { own, all: &fleet, heard };
        self.cold.set_gateways(gateways, self.records_age.age_ms(now), now);
        self.crashes.set_gateways(own, self.peers.heard(now));
        self.load_interval_ms = self.peers.interval_ms(false);
    }
}

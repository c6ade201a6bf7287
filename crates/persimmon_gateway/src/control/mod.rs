//! Control state: the input of all decisions.

mod attempts;
mod digests;
mod fan_out;
mod overload;
mod records;
mod streams;

use std::collections::{HashMap, HashSet};
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;

use persimmon_decide::MonoMs;
use persimmon_decide::forward::{
    Admission, AdmissionInput, AdmissionSettings, Choice, ColdEndpoints, CrashTracker,
    DurationTracker, EndpointDirectory, EndpointLimits, EndpointPauses, EndpointSpeeds, FanOut,
    FirstByteTimeout, FleetView, HealthSettings, HealthTracker, IdleLimit, LimitReport,
    LoadTracker, NoChoice, OpenStreams, OverloadControl, PeerTable, PickRequest, Picker, PrefixMap,
    Rank, RecordsAge, RetryWindow, RouteTable, ServedVersions, ServiceRetries, Shutdown,
    ShutdownSettings, StartupRecords, StatedDeadlines, StoreEra, StoreFallback, StoreView,
    StreamHolders, StreamVersions, WaitingTime, WorkspaceShares, count_weight,
};
use persimmon_decide::load::EndpointHash;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

pub(crate) use self::fan_out::AddressedNotice;
pub(crate) use self::overload::ShortRequest;
pub(crate) use self::records::Applied;
use crate::settings::GatewaySettings;

/// A service with the counts for its retry limit from this gateway and from all others.
pub(crate) type RetryCounts = (Arc<str>, ServiceRetries, ServiceRetries);

/// The input of all decisions. Its methods never block.
#[derive(Debug)]
pub(crate) struct Control {
    pub(crate) view: StoreView,
    pub(crate) startup: StartupRecords,
    /// Age of the records in force.
    pub(crate) records_age: RecordsAge,
    /// How changes of the records are passed on.
    pub(crate) fan_out: FanOut,
    /// When this gateway reads from the store what it can't get from peers.
    pub(crate) store_fallback: StoreFallback,
    pub(crate) directory: EndpointDirectory,
    pub(crate) routes: Option<Rc<RouteTable>>,
    /// Value of the record of `routes`.
    routes_value: Option<Vec<u8>>,
    pub(crate) loads: LoadTracker,
    /// Time between the digests of each peer when the gateways were last counted, in milliseconds.
    load_interval_ms: u64,
    pub(crate) health: HealthTracker,
    pub(crate) pauses: EndpointPauses,
    pub(crate) limits: EndpointLimits,
    pub(crate) speeds: EndpointSpeeds,
    pub(crate) cold: ColdEndpoints,
    /// What began the streams that callers may take up again.
    pub(crate) streams: StreamVersions,
    pub(crate) holders: StreamHolders,
    /// Streams in progress that callers may take up again.
    pub(crate) open_streams: OpenStreams,
    /// Software versions of each service, for streams of unknown origin.
    pub(crate) served: ServedVersions,
    pub(crate) prefixes: PrefixMap,
    pub(crate) crashes: CrashTracker,
    /// Whether a holder has told what gateways refused before this one started.
    pub(crate) has_crashes_of_holders: bool,
    pub(crate) peers: PeerTable,
    pub(crate) shutdown: Shutdown,
    pub(crate) durations: DurationTracker,
    pub(crate) idle_limit: IdleLimit,
    pub(crate) first_byte_timeout: FirstByteTimeout,
    pub(crate) waiting_time: WaitingTime,
    pub(crate) shares: WorkspaceShares,
    pub(crate) stated_deadlines: StatedDeadlines,
    overload: HashMap<Arc<str>, OverloadControl>,
    /// Time of the store's last answer; none while this gateway doesn't watch the store.
    pub(crate) store_contact: Option<MonoMs>,
    /// Whether this gateway reads the store, or tries to.
    pub(crate) is_watching: bool,
    /// Gateways that weren't known and haven't got a digest since.
    pub(crate) newcomers: Vec<IpAddr>,
    /// End of the last request.
    pub(crate) idle_since: MonoMs,
    retries: HashMap<Arc<str>, RetryWindow>,
    picker: Picker,
    admission: Admission,
    rng: Pcg64Mcg,
    /// Era of the store at the last digest.
    marked_era: StoreEra,
    /// Limits that peers' digests have changed and that aren't logged yet.
    changed_limits: Vec<LimitReport>,
    incarnation: u64,
    sequence: u64,
    settings: GatewaySettings,
}

impl Control {
    /// Creates the state of a gateway that has just started.
    pub(crate) fn new(settings: &GatewaySettings, now: MonoMs) -> Self {
        let mut seed = [0; 16];
        if let Err(err) = getrandom::fill(&mut seed) {
            // Random numbers only spread load and identify this incarnation.
            tracing::warn!(target: "gateway", %err,
                "the system provides no random seed; using a fixed one");
        }
        let mut rng = Pcg64Mcg::new(u128::from_le_bytes(seed));
        let peers = PeerTable::new(settings.peers.ip(), settings.seeds.clone());
        Self {
            view: StoreView::new().with_heartbeat_ms(settings.heartbeat_ms),
            startup: StartupRecords::new(),
            records_age: RecordsAge::new(),
            fan_out: FanOut::new(),
            store_fallback: StoreFallback::new(),
            directory: EndpointDirectory::new(),
            routes: None,
            routes_value: None,
            loads: LoadTracker::new(),
            load_interval_ms: peers.interval_ms(false),
            health: HealthTracker::new(HealthSettings::default()),
            pauses: EndpointPauses::new(),
            limits: EndpointLimits::new(),
            speeds: EndpointSpeeds::new(),
            cold: ColdEndpoints::new(settings.cold),
            streams: StreamVersions::new(),
            holders: StreamHolders::new(),
            open_streams: OpenStreams::new(),
            served: ServedVersions::new(),
            prefixes: PrefixMap::new(),
            crashes: CrashTracker::new(),
            has_crashes_of_holders: false,
            peers,
            shutdown: Shutdown::new(ShutdownSettings { grace_ms: settings.grace_ms }),
            durations: DurationTracker::new(),
            idle_limit: IdleLimit::new(),
            first_byte_timeout: FirstByteTimeout::new(),
            waiting_time: WaitingTime::new(),
            shares: WorkspaceShares::new(),
            stated_deadlines: StatedDeadlines::new(),
            overload: HashMap::new(),
            admission: Admission::new(AdmissionSettings::default()),
            store_contact: None,
            is_watching: true,
            newcomers: Vec::new(),
            idle_since: now,
            retries: HashMap::new(),
            marked_era: StoreEra::default(),
            changed_limits: Vec::new(),
            picker: Picker::new(settings.picker),
            incarnation: rng.random(),
            sequence: 0,
            rng,
            settings: settings.clone(),
        }
    }

    /// Reports whether the gateway can serve requests: it knows routes and endpoints, and isn't
    /// shutting down.
    pub(crate) fn is_ready(&self) -> bool {
        self.can_route() && !self.shutdown.is_leaving()
    }

    /// Returns the milliseconds until a gateway may be available again if every gateway is shutting down;
    /// none if another gateway stays.
    pub(crate) fn return_ms(&self, now: MonoMs) -> Option<u64> {
        let since = self.shutdown.started_at().unwrap_or(now);
        self.peers.return_ms(since, self.shutdown.grace_ms(), now)
    }

    /// Returns a random number.
    pub(crate) fn draw(&mut self) -> u64 {
        self.rng.random()
    }

    /// Returns what the picker decides by.
    pub(crate) fn fleet_view(&self, now: MonoMs) -> FleetView<'_> {
        FleetView {
            endpoints: &self.directory,
            loads: &self.loads,
            load_interval_ms: self.load_interval_ms,
            health: &self.health,
            pauses: &self.pauses,
            limits: &self.limits,
            speeds: &self.speeds,
            cold: &self.cold,
            records_age_ms: self.records_age.age_ms(now),
            prefixes: &self.prefixes,
            now,
        }
    }

    /// Returns the weight of peers' counts for requests to a service that need no prompt.
    pub(crate) fn count_weight(&self, service: &str) -> f64 {
        match self.waiting_time.mean_ms(service) {
            0 => 1.0,
            answer_ms => count_weight(answer_ms, self.load_interval_ms),
        }
    }

    /// Picks an endpoint for a request.
    ///
    /// # Errors
    ///
    /// No endpoint accepts the request.
    pub(crate) fn pick(&self, req: &PickRequest<'_>, now: MonoMs) -> Result<Choice, NoChoice> {
        self.picker.pick(req, self.fleet_view(now))
    }

    /// Returns a request's rank and its workspace's share of the service's requests.
    pub(crate) fn admission_input(
        &self,
        service: &str,
        rank: Rank,
        workspace: &str,
    ) -> AdmissionInput {
        let (share, workspaces) = self.shares.share(service, workspace);
        AdmissionInput { rank, share, workspaces }
    }

    /// Returns the fill up to which an endpoint accepts a request, as a multiple of its slots.
    pub(crate) fn max_fill(&mut self, admission_input: AdmissionInput) -> f64 {
        self.admission.max_fill(admission_input, self.rng.random())
    }

    /// Records the first send of a caller's request.
    pub(crate) fn record_request(&mut self, service: &Arc<str>, now: MonoMs) {
        self.window(service).record_request(now);
    }

    /// Records a retry of a request.
    pub(crate) fn record_retry(&mut self, service: &Arc<str>, now: MonoMs) {
        self.window(service).record_retry(now);
    }

    /// Reports whether the fleet's retry limit allows one more retry.
    pub(crate) fn allows_repeat(&mut self, service: &Arc<str>, now: MonoMs) -> bool {
        let others = self.peers.retries(service, now);
        let gateways = self.peers.gateways(now);
        self.window(service).allows(others, gateways, now)
    }

    /// Returns the counts of first sends and retries in the window for each service: those of this
    /// gateway and those of all others.
    pub(crate) fn retry_counts(&self, now: MonoMs) -> impl Iterator<Item = RetryCounts> {
        self.retries.iter().map(move |(service, window)| {
            (service.clone(), window.counts(now), self.peers.retries(service, now))
        })
    }

    fn window(&mut self, service: &Arc<str>) -> &mut RetryWindow {
        let settings = self.settings.retries;
        self.retries.entry(service.clone()).or_insert_with(|| RetryWindow::new(settings))
    }

    /// Reports whether this gateway should read the store.
    pub(crate) fn should_watch(&mut self, now: MonoMs) -> bool {
        let draw = self.draw();
        self.peers.should_watch(self.is_watching, draw, now)
    }

    /// Removes the loads and outcomes reported by peers that no longer send digests.
    pub(crate) fn expire(&mut self, now: MonoMs) {
        for peer in self.peers.expire(now) {
            self.loads.drop_peer(peer);
            self.health.drop_peer(peer);
        }
        self.update_gateways(now);
    }

    /// Removes the health records of endpoints that are no longer published, and returns the
    /// published ones.
    pub(crate) fn forget_unpublished(&mut self, now: MonoMs) -> HashSet<EndpointHash> {
        let published: HashSet<_> = self.directory.iter().map(|endpoint| endpoint.hash).collect();
        self.health.retain(|endpoint| published.contains(&endpoint));
        self.directory.expire_marks(now);
        self.pauses.retain(|endpoint| published.contains(&endpoint), now);
        self.limits.retain(|endpoint| published.contains(&endpoint), now);
        self.speeds.retain(|endpoint| published.contains(&endpoint), now);
        self.cold.retain(|endpoint| published.contains(&endpoint), now);
        self.crashes.expire(now);
        self.streams.expire(now);
        let addresses: HashSet<_> = self.directory.iter().map(|it| it.address.ip()).collect();
        self.holders.retain(|ip| addresses.contains(&ip));
        for endpoint in self.directory.iter() {
            self.served.record(&endpoint.service, &endpoint.version, now);
        }
        self.served.expire(now);
        published
    }
}

//! Draws a schedule of faults from a seed.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A fault that is injected from outside the gateways.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// An endpoint fails the next requests.
    EndpointFails {
        /// Index of the endpoint.
        endpoint: usize,
        /// Number that selects how the requests fail.
        kind: u8,
        /// Number of requests that fail.
        count: u8,
    },
    /// Open connections to an endpoint are reset.
    Cut {
        /// Index of the endpoint.
        endpoint: usize,
    },
    /// Open connections to an endpoint drop all data in one direction.
    Silence {
        /// Index of the endpoint.
        endpoint: usize,
        /// Whether the answers are dropped rather than the requests.
        is_answer: bool,
    },
    /// An endpoint refuses connections for a while.
    Refuse {
        /// Index of the endpoint.
        endpoint: usize,
        /// Duration, in milliseconds.
        for_ms: u64,
    },
    /// An endpoint is published as draining, or withdrawn, for a while.
    Drain {
        /// Index of the endpoint.
        endpoint: usize,
        /// Whether its record is deleted.
        is_withdrawn: bool,
        /// Duration, in milliseconds.
        for_ms: u64,
    },
    /// The store doesn't respond for a while.
    StoreSilent {
        /// Duration, in milliseconds.
        for_ms: u64,
    },
    /// The store refuses one gateway for a while.
    StoreRefuses {
        /// Index of the gateway.
        gateway: usize,
        /// Duration, in milliseconds.
        for_ms: u64,
    },
    /// The store discards its history of changes.
    StoreForgets,
    /// The routes are published again, with a new version.
    PublishRoutes,
    /// A gateway receives SIGTERM, and is restarted when it has ended.
    Stop {
        /// Index of the gateway.
        gateway: usize,
    },
    /// A gateway is killed and restarted.
    Kill {
        /// Index of the gateway.
        gateway: usize,
    },
    /// All gateways are killed at the same time and restarted.
    KillAll,
    /// A gateway's process is suspended for a while.
    Pause {
        /// Index of the gateway.
        gateway: usize,
        /// Duration, in milliseconds.
        for_ms: u64,
    },
    /// An endpoint's process crashes: it resets its connections and refuses others for a while.
    Crash {
        /// Index of the endpoint.
        endpoint: usize,
        /// Duration, in milliseconds.
        for_ms: u64,
    },
    /// Data between an endpoint and its gateways is delayed for a while.
    Delay {
        /// Index of the endpoint.
        endpoint: usize,
        /// Delay, in milliseconds.
        delay_ms: u64,
        /// Duration, in milliseconds.
        for_ms: u64,
    },
    /// The store's answers are delayed for a while.
    StoreSlow {
        /// Delay, in milliseconds.
        delay_ms: u64,
        /// Duration, in milliseconds.
        for_ms: u64,
    },
    /// The store's answers are lost for a while.
    StoreLoses {
        /// Duration, in milliseconds.
        for_ms: u64,
    },
    /// One of the callers' keys is revoked for a while.
    Revoke {
        /// Duration, in milliseconds.
        for_ms: u64,
    },
    /// The number of callers greatly exceeds the endpoints' slots for a while.
    Surge {
        /// Duration, in milliseconds.
        for_ms: u64,
    },
    /// An endpoint names a limit on the rate of requests for a while.
    Limit {
        /// Index of the endpoint.
        endpoint: usize,
        /// The limit, in requests per second.
        per_s: u32,
        /// Duration, in milliseconds.
        for_ms: u64,
    },
    /// The store is away for a while, and comes back from a copy that is some seconds old. What was lost
    /// is then written again.
    StoreRestored {
        /// Duration, in milliseconds.
        for_ms: u64,
    },
    /// A gateway receives SIGHUP.
    Reload {
        /// Index of the gateway.
        gateway: usize,
    },
}

impl Fault {
    /// Reports whether the fault disrupts the process of this gateway.
    pub(crate) fn disrupts(self, process: usize) -> bool {
        match self {
            Self::Stop { gateway } | Self::Kill { gateway } | Self::Pause { gateway, .. } => {
                gateway == process
            }
            Self::KillAll => true,
            _ => false,
        }
    }

    /// Returns the endpoint whose connections the fault disrupts.
    pub(crate) fn disrupted_endpoint(self) -> Option<usize> {
        match self {
            Self::Cut { endpoint }
            | Self::Silence { endpoint, .. }
            | Self::Refuse { endpoint, .. }
            | Self::Crash { endpoint, .. }
            | Self::Delay { endpoint, .. } => Some(endpoint),
            _ => None,
        }
    }

    /// Reports whether the fault disrupts the process of any gateway.
    pub(crate) fn disrupts_any(self) -> bool {
        matches!(self, Self::Stop { .. } | Self::Kill { .. } | Self::Pause { .. } | Self::KillAll)
    }

    /// Reports whether the fault affects the store, so that gateways may miss changes of the
    /// records.
    pub(crate) fn affects_store(self) -> bool {
        matches!(
            self,
            Self::StoreSilent { .. }
                | Self::StoreRefuses { .. }
                | Self::StoreForgets
                | Self::StoreSlow { .. }
                | Self::StoreLoses { .. }
                | Self::StoreRestored { .. }
        )
    }

    /// Returns the duration of the fault, in milliseconds.
    pub(crate) fn duration_ms(self) -> u64 {
        match self {
            Self::Refuse { for_ms, .. }
            | Self::Drain { for_ms, .. }
            | Self::StoreSilent { for_ms }
            | Self::StoreRefuses { for_ms, .. }
            | Self::Crash { for_ms, .. }
            | Self::Delay { for_ms, .. }
            | Self::StoreSlow { for_ms, .. }
            | Self::StoreLoses { for_ms }
            | Self::StoreRestored { for_ms }
            | Self::Revoke { for_ms }
            | Self::Surge { for_ms }
            | Self::Limit { for_ms, .. }
            | Self::Pause { for_ms, .. } => for_ms,
            // The grace period in the stand-ins' settings plus a start.
            Self::Stop { .. } => 5_000,
            Self::Kill { .. } | Self::KillAll => 1_000,
            _ => 0,
        }
    }
}

/// A fault and the time of its injection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    /// Time from the start of the run, in milliseconds.
    pub at_ms: u64,
    /// Fault to inject.
    pub fault: Fault,
}

/// Faults of one seed, in order of time.
#[derive(Debug, Clone)]
pub struct Schedule {
    /// Seed from which the faults were drawn.
    pub seed: u64,
    /// Faults with their times.
    pub steps: Vec<Step>,
}

impl Schedule {
    /// Mean time between two faults, in milliseconds. It is shorter than the duration of most
    /// faults, so that they overlap.
    const MEAN_GAP_MS: u64 = 400;
    /// Time without faults at the start and at the end of a run, in milliseconds.
    const QUIET_MS: u64 = 1_500;
    /// Mean time between two faults of the second group, in milliseconds.
    const SECOND_GROUP_MEAN_GAP_MS: u64 = 1_500;
    /// Combined with the seed to draw the second group of faults independently of the first.
    const SECOND_GROUP_SALT: u64 = 0x6c61_7465_7200_0000;
    /// One in this many runs kills all gateways at once.
    const KILL_ALL_ONE_IN: u32 = 2;
    /// Combined with the seed to draw [`Fault::KillAll`] independently of other faults.
    const KILL_ALL_SALT: u64 = 0x6b69_6c6c_7300_0000;
    /// Combined with the seed to draw surges independently of other faults.
    const SURGE_SALT: u64 = 0x7375_7267_6500_0000;
    /// Combined with the seed to draw limits independently of other faults.
    const LIMIT_SALT: u64 = 0x6c69_6d69_7473_0000;
    /// One in this many endpoints names a limit.
    const LIMIT_ONE_IN: u32 = 3;
    /// Length of a limit, in milliseconds.
    const LIMIT_MS: std::ops::Range<u64> = 4_000..12_000;
    /// Combined with the seed to draw restorations of the store independently of other faults.
    const RESTORATION_SALT: u64 = 0x7265_7374_6f72_6500;
    /// Maximum number of restorations in a run.
    const MAX_RESTORATIONS: u32 = 2;
    /// Time for which a store is away before it is restored, in milliseconds.
    const AWAY_MS: std::ops::Range<u64> = 50..800;
    /// Time after a surge in which its streams may still occupy slots, in milliseconds. Equals the
    /// routes' timeout.
    const SURGE_DRAIN_MS: u64 = 3_000;
    /// Length of a surge, in milliseconds.
    const SURGE_MS: std::ops::Range<u64> = 500..3_000;

    /// Combined with the seed to draw planned stops.
    const STOPS_SALT: u64 = 0x7374_6f70_7300_0000;
    /// Time after SIGTERM at which settings are read again or routes published, in milliseconds. The
    /// process still runs then.
    const BESIDE_STOP_MS: std::ops::Range<u64> = 0..2_500;

    /// Draws the schedule of a seed.
    pub fn new(seed: u64, length_ms: u64, gateways: usize, endpoints: usize) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut steps = Vec::new();
        let mut at_ms = Self::QUIET_MS;
        while at_ms + Self::QUIET_MS < length_ms {
            let fault = Self::random_fault(&mut rng, gateways, endpoints);
            // Some faults are repeated several times in a row.
            let times = if rng.random_bool(0.2) { rng.random_range(2..4) } else { 1 };
            for _ in 0..times {
                steps.push(Step { at_ms, fault });
                at_ms += rng.random_range(0..2 * Self::MEAN_GAP_MS);
            }
        }
        steps.extend(Self::second_group_steps(seed, length_ms, endpoints));
        steps.extend(Self::kill_all(seed, length_ms));
        steps.push(Self::surge(seed, length_ms));
        steps.extend(Self::limits(seed, length_ms, endpoints));
        steps.extend(Self::restorations(seed, length_ms));
        steps.sort_by_key(|step| step.at_ms);
        steps.retain(|step| step.at_ms + Self::QUIET_MS < length_ms);
        Self { seed, steps }
    }

    /// Draws planned stops that overlap, after `warm_ms`. A gateway that has ended is stopped again after
    /// a while. Settings are read again and routes published in between.
    pub(crate) fn of_stops(
        seed: u64,
        length_ms: u64,
        gateways: usize,
        (warm_ms, grace_ms): (u64, u64),
    ) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ Self::STOPS_SALT);
        let mut steps = Vec::new();
        for gateway in 0..gateways {
            let mut at_ms = warm_ms + rng.random_range(0..grace_ms / 2);
            while at_ms + grace_ms + Self::QUIET_MS < length_ms {
                steps.push(Step { at_ms, fault: Fault::Stop { gateway } });
                let fault = match rng.random_range(0..3) {
                    0 => Fault::PublishRoutes,
                    _ => Fault::Reload { gateway },
                };
                let later_ms = rng.random_range(Self::BESIDE_STOP_MS);
                steps.push(Step { at_ms: at_ms + later_ms, fault });
                let runs_ms = Self::QUIET_MS + rng.random_range(0..grace_ms);
                at_ms += grace_ms + runs_ms;
            }
        }
        steps.sort_by_key(|step| step.at_ms);
        Self { seed, steps }
    }

    /// Reports whether a surge, or calls that started in it, may be in progress at this time.
    pub(crate) fn has_surge(&self, at: Duration) -> bool {
        let at_ms = u64::try_from(at.as_millis()).unwrap_or(u64::MAX);
        self.steps.iter().filter(|it| matches!(it.fault, Fault::Surge { .. })).any(|it| {
            (it.at_ms..it.at_ms + it.fault.duration_ms() + Self::SURGE_DRAIN_MS).contains(&at_ms)
        })
    }

    /// Draws the second group of faults. They use a separate random generator, so that adding them
    /// left the first group of each seed unchanged.
    fn second_group_steps(seed: u64, length_ms: u64, endpoints: usize) -> Vec<Step> {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ Self::SECOND_GROUP_SALT);
        let mut steps = Vec::new();
        let mut at_ms = Self::QUIET_MS;
        while at_ms < length_ms {
            let endpoint = rng.random_range(0..endpoints);
            let for_ms = rng.random_range(200..3_000);
            let delay_ms = rng.random_range(5..250);
            let fault = match rng.random_range(0..6) {
                0 => Fault::Crash { endpoint, for_ms },
                1 | 2 => Fault::Delay { endpoint, delay_ms, for_ms },
                3 => Fault::StoreSlow { delay_ms, for_ms },
                4 => Fault::StoreLoses { for_ms },
                _ => Fault::Revoke { for_ms: for_ms + 2_500 },
            };
            steps.push(Step { at_ms, fault });
            at_ms += rng.random_range(0..2 * Self::SECOND_GROUP_MEAN_GAP_MS);
        }
        steps
    }

    /// Draws whether and when all gateways are killed at once.
    fn kill_all(seed: u64, length_ms: u64) -> Option<Step> {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ Self::KILL_ALL_SALT);
        let is_drawn = rng.random_ratio(1, Self::KILL_ALL_ONE_IN);
        let at_ms = rng.random_range(Self::QUIET_MS..=length_ms.max(Self::QUIET_MS));
        is_drawn.then_some(Step { at_ms, fault: Fault::KillAll })
    }

    /// Draws the surge of the run.
    fn surge(seed: u64, length_ms: u64) -> Step {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ Self::SURGE_SALT);
        let at_ms = rng.random_range(Self::QUIET_MS..=length_ms.max(Self::QUIET_MS));
        Step { at_ms, fault: Fault::Surge { for_ms: rng.random_range(Self::SURGE_MS) } }
    }

    /// Draws which endpoints name a limit, and when.
    fn limits(seed: u64, length_ms: u64, endpoints: usize) -> Vec<Step> {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ Self::LIMIT_SALT);
        let mut steps = Vec::new();
        for endpoint in 0..endpoints {
            let is_drawn = rng.random_ratio(1, Self::LIMIT_ONE_IN);
            let at_ms = rng.random_range(0..=length_ms / 2);
            let (per_s, for_ms) = (rng.random_range(0..6), rng.random_range(Self::LIMIT_MS));
            if is_drawn {
                steps.push(Step { at_ms, fault: Fault::Limit { endpoint, per_s, for_ms } });
            }
        }
        steps
    }

    /// Draws when the store comes back from an older copy, if at all.
    fn restorations(seed: u64, length_ms: u64) -> Vec<Step> {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ Self::RESTORATION_SALT);
        let count = rng.random_range(0..=Self::MAX_RESTORATIONS);
        let mut restoration = |_| {
            let at_ms = rng.random_range(Self::QUIET_MS..=length_ms.max(Self::QUIET_MS));
            let for_ms = rng.random_range(Self::AWAY_MS);
            Step { at_ms, fault: Fault::StoreRestored { for_ms } }
        };
        (0..count).map(&mut restoration).collect()
    }

    fn random_fault(rng: &mut Pcg64Mcg, gateways: usize, endpoints: usize) -> Fault {
        let gateway = rng.random_range(0..gateways);
        let endpoint = rng.random_range(0..endpoints);
        let for_ms = rng.random_range(200..3_000);
        match rng.random_range(0..20) {
            0..6 => {
                let (kind, count) = (rng.random(), rng.random_range(1..8));
                Fault::EndpointFails { endpoint, kind, count }
            }
            6 | 7 => Fault::Cut { endpoint },
            8 => Fault::Silence { endpoint, is_answer: rng.random() },
            9 | 10 => Fault::Refuse { endpoint, for_ms },
            11 => Fault::Drain { endpoint, is_withdrawn: rng.random(), for_ms: for_ms + 2_500 },
            12 => Fault::StoreSilent { for_ms },
            13 => Fault::StoreRefuses { gateway, for_ms },
            14 => Fault::StoreForgets,
            15 => Fault::PublishRoutes,
            16 => Fault::Stop { gateway },
            17 => Fault::Kill { gateway },
            18 => Fault::Pause { gateway, for_ms },
            _ => Fault::Reload { gateway },
        }
    }
}

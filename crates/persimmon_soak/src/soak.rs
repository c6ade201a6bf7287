//! Runs the soak test: starts processes and callers, injects faults and checks the promises.

use std::io;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use crate::builds::Builds;
use crate::callers::{Call, CallerControls, CallerSpec, run_caller};
use crate::checks::{Finding, Observations, is_whole};
use crate::schedule::Schedule;
use crate::stops::{RunSize, StopCount, StopSettings, run_stops};
use crate::testbed::{KEY, REVOCABLE_KEY, TIMEOUT_MS, Testbed};

/// One in this many callers uses the revocable key.
const REVOCABLE_ONE_IN: u64 = 4;
/// Factor by which a surge multiplies the number of callers, so that they exceed the endpoints'
/// slots.
const SURGE_FACTOR: u64 = 6;

/// Settings of a soak test.
#[derive(Debug, Clone)]
pub struct Soak {
    program: String,
    /// Program of an earlier build that gateways run as well.
    earlier_program: Option<String>,
    gateways: u8,
    endpoints: usize,
    callers: u64,
    length: Duration,
    /// Settings if gateways are only stopped as planned.
    stops: Option<StopSettings>,
}

/// Result of a run.
#[derive(Debug)]
pub struct SoakReport {
    /// Injected faults.
    pub schedule: Schedule,
    /// Number of calls.
    pub calls: usize,
    /// Calls that received a complete successful answer.
    pub served: usize,
    /// Calls that gateways denied because of their key. One key is revoked from time to time.
    pub denied: usize,
    /// Calls that gateways refused without running them during a surge, when the callers exceed the
    /// endpoints' slots.
    pub refused_in_surge: usize,
    /// Broken promises.
    pub findings: Vec<Finding>,
    /// Counts of a run with planned stops only; empty otherwise.
    pub counts: StopCount,
}

impl Soak {
    /// Creates a soak test of three gateways, which run `program`, and six endpoints, for ten
    /// seconds.
    pub fn new(program: &str) -> Self {
        Self {
            program: program.to_owned(),
            earlier_program: None,
            gateways: 3,
            endpoints: 6,
            callers: 12,
            length: Duration::from_secs(10),
            stops: None,
        }
    }

    /// Makes some gateways run an earlier build at first. Each restart draws one of the two.
    #[must_use]
    pub fn with_earlier_program(mut self, program: &str) -> Self {
        self.earlier_program = Some(program.to_owned());
        self
    }

    /// Sets the number of gateways.
    #[must_use]
    pub fn with_gateways(mut self, gateways: u8) -> Self {
        self.gateways = gateways;
        self
    }

    /// Sets the number of endpoints.
    #[must_use]
    pub fn with_endpoints(mut self, endpoints: usize) -> Self {
        self.endpoints = endpoints;
        self
    }

    /// Sets the number of concurrent callers outside of surges.
    #[must_use]
    pub fn with_callers(mut self, callers: u64) -> Self {
        self.callers = callers;
        self
    }

    /// Sets the length of a run.
    #[must_use]
    pub fn with_length(mut self, length: Duration) -> Self {
        self.length = length;
        self
    }

    /// Makes runs stop gateways as planned, and inject no other fault.
    #[must_use]
    pub fn with_stops(mut self, settings: StopSettings) -> Self {
        self.stops = Some(settings);
        self
    }

    /// Runs one seed.
    ///
    /// # Errors
    ///
    /// Returns an error if a process or a stand-in can't be started or controlled.
    pub fn run(&self, seed: u64) -> io::Result<SoakReport> {
        let builds = self.earlier_program.as_deref().map(|it| Builds::new(it, &self.program, seed));
        if let Some(settings) = self.stops {
            let Self { gateways, endpoints, callers, length, .. } = *self;
            let size = RunSize { gateways, endpoints, callers, length };
            return run_stops((&self.program, builds), size, settings, seed);
        }
        let length_ms = u64::try_from(self.length.as_millis()).unwrap_or(u64::MAX);
        let schedule = Schedule::new(seed, length_ms, self.gateways.into(), self.endpoints);
        let mut testbed = Testbed::start(&self.program, self.gateways, self.endpoints, builds)?;
        let started = Instant::now();
        let controls = CallerControls::default();
        let addresses: Vec<_> =
            (0..self.gateways).map(|it| testbed.callers_address(it.into())).collect();
        let calls = thread::scope(|scope| {
            let caller = |number| {
                let (controls, addresses) = (&controls, &addresses[..]);
                let key = if number % REVOCABLE_ONE_IN == 0 { REVOCABLE_KEY } else { KEY };
                let is_surge_only = number >= self.callers;
                let spec = CallerSpec { number, seed, key, is_surge_only };
                scope.spawn(move || run_caller(controls, spec, addresses))
            };
            let threads: Vec<_> = (0..self.callers * SURGE_FACTOR).map(caller).collect();
            let played = testbed.inject_faults(&schedule.steps, started, self.length, &controls);
            controls.stop.store(true, Ordering::Relaxed);
            let calls = threads.into_iter().flat_map(|it| it.join().unwrap_or_default());
            played.map(|()| calls.collect::<Vec<_>>())
        })?;
        let observations = Observations {
            started,
            steps: &schedule.steps,
            calls: &calls,
            received: testbed.received(),
            timeout: Duration::from_millis(TIMEOUT_MS),
        };
        let mut findings = observations.findings();
        findings.extend(testbed.close());
        let served = calls.iter().filter(|call| is_whole(&call.answer, 200)).count();
        let with_status = |status| {
            let has_it =
                move |call: &&Call| call.answer.as_ref().is_ok_and(|it| it.status == status);
            calls.iter().filter(has_it)
        };
        let denied = with_status(401).count();
        let in_surge = |call: &&Call| schedule.has_surge(call.began.duration_since(started));
        let refused_in_surge = with_status(503).filter(in_surge).count();
        let calls = calls.len();
        let counts = StopCount::new();
        Ok(SoakReport { schedule, calls, served, denied, refused_in_surge, findings, counts })
    }
}

//! Tests of gateways that start again while they refuse requests that crash endpoints.

use std::thread;
use std::time::{Duration, Instant};

use persimmon_platform::standin::{
    Caller, CrashExit, CrashMoment, CrashPlan, CrashingEndpoint, Deployment, HolderProcess,
    RouteSpec, wait_until,
};
use rstest::rstest;

const KEY: &str = "key-1";
const GATEWAYS: usize = 3;
const ENDPOINTS: [&str; 6] = ["one", "two", "three", "four", "five", "six"];
const PATH: &str = "/chat/x";
const MARKER: &str = "bad00bad";
const SOUND_PART: &str = "50004d";
/// Pause between two requests with the part that crashes endpoints.
const BAD_PAUSE: Duration = Duration::from_millis(150);
/// Time for which requests are sent after each restart.
const ROUND: Duration = Duration::from_millis(2_500);
/// Time after the fifth crash from which requests count, and the number of those that may reach endpoints then, from
/// the specification.
const CONTACT: Duration = Duration::from_secs(3);
const CRASHES: usize = 5;
const MAX_LATE_ARRIVALS: usize = 3;

struct Fixture {
    deployment: Deployment,
    endpoints: Vec<CrashingEndpoint>,
    /// Holders beside the endpoints.
    _holders: Vec<HolderProcess>,
    /// Requests that have been sent.
    requests: usize,
}

impl Fixture {
    fn start() -> Self {
        let program = env!("CARGO_BIN_EXE_persimmonmountd");
        let mut deployment = Deployment::new(program, GATEWAYS as u8).unwrap();
        let (moment, exit) = (CrashMoment::BeforeHead, CrashExit::Refusing);
        let plan = CrashPlan { marker: MARKER, moment, exit };
        let start = |(number, name): (usize, &&'static str)| {
            let ip = deployment.endpoint_ip(number);
            CrashingEndpoint::start_at(name, ip, plan, &deployment.store).unwrap()
        };
        let endpoints: Vec<_> = ENDPOINTS.iter().enumerate().map(start).collect();
        let holders = (0..ENDPOINTS.len())
            .map(|number| deployment.start_holder(deployment.endpoint_ip(number)).unwrap())
            .collect();
        let route = RouteSpec::stream("chat", false).with_prompts().with_target_ms(200);
        deployment.publish_routes(&[route], &[KEY]);
        deployment.start_all().unwrap();
        let knows_all = |gateway| ENDPOINTS.iter().all(|id| deployment.knows(gateway, id));
        assert!(wait_until(|| (0..GATEWAYS).all(knows_all)), "an endpoint isn't known everywhere");
        Self { deployment, endpoints, _holders: holders, requests: 0 }
    }

    /// Sends a request through a gateway, without waiting for its answer.
    fn send(&mut self, gateway: usize, part: &str) -> Caller {
        self.requests += 1;
        let id = format!("request-{}", self.requests);
        let own = format!("{:x}", 1_000 + self.requests);
        let caller = self.deployment.caller(gateway).unwrap().request("POST", PATH, &id);
        let caller = caller.with_key(KEY).with_deadline_ms(2_000);
        let mut caller = caller.with_prompt(&[("aaaa01", 700), (part, 50), (&own, 20)]);
        caller.send(&id).unwrap();
        caller
    }

    /// Sends requests with the bad part through all gateways in turn, beside sound ones.
    fn play(&mut self, lasting: Duration) {
        let until = Instant::now() + lasting;
        let mut callers = Vec::new();
        while Instant::now() < until {
            let gateway = self.requests % GATEWAYS;
            callers.push(self.send(gateway, MARKER));
            for gateway in 0..GATEWAYS {
                let mut sound = self.send(gateway, SOUND_PART);
                let _ = sound.receive();
            }
            thread::sleep(BAD_PAUSE);
        }
    }

    fn restart(&mut self, gateways: &[usize]) {
        gateways.iter().for_each(|it| self.deployment.kill(*it).unwrap());
        gateways.iter().for_each(|it| self.deployment.restart(*it).unwrap());
        gateways.iter().for_each(|it| self.deployment.wait_ready(*it).unwrap());
    }

    /// Returns the number of requests that reached endpoints late, and of crashes.
    fn late_arrivals(&self) -> (usize, usize) {
        let mut crashes: Vec<_> =
            self.endpoints.iter().flat_map(CrashingEndpoint::crashes).collect();
        crashes.sort();
        let Some(fifth) = crashes.get(CRASHES - 1) else { return (0, crashes.len()) };
        let arrivals = self.endpoints.iter().flat_map(CrashingEndpoint::marked_arrivals);
        (arrivals.filter(|at| *at > *fifth + CONTACT).count(), crashes.len())
    }
}

/// Guards against trials of a refused part that each gateway counts anew after a start, or that all of them forget
/// when they are killed at one moment.
#[rstest]
#[case::one_after_the_other(&[&[0][..], &[1], &[2]], 6)]
#[case::all_at_one_moment(&[&[0, 1, 2][..]], 3)]
fn part_stays_refused_after_gateways_were_killed(
    #[case] together: &[&[usize]],
    #[case] rounds: usize,
) {
    let mut fixture = Fixture::start();
    fixture.play(2 * ROUND);
    for _ in 0..rounds {
        together.iter().for_each(|it| fixture.restart(it));
        fixture.play(ROUND);
    }
    let (late, crashes) = fixture.late_arrivals();
    assert!(crashes >= 3, "{crashes} crashes, so that nothing was refused");
    assert!(late <= MAX_LATE_ARRIVALS, "{late} requests reached endpoints, {crashes} crashes");
    fixture.deployment.close();
}

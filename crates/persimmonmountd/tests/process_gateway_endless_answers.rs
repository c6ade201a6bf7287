//! Tests of a gateway with endpoints that send bytes without end.

use std::fs;
use std::thread;
use std::time::{Duration, Instant};

use persimmon_platform::standin::{Answer, Behaviour, EndpointStandin, GatewayFixture, wait_until};
use rstest::rstest;

/// Deadline of the callers of [`GatewayFixture`], and the time that the gateway may take beyond it.
const DEADLINE: Duration = Duration::from_secs(4);
const SLACK: Duration = Duration::from_millis(500);
/// Time in which a gateway notices that bytes can't be an answer; they arrive at several megabytes a
/// second.
const NOTICE_LIMIT: Duration = Duration::from_secs(2);
/// Number of endless answers at the same time.
const ENDLESS: usize = 8;
/// Number of sound requests beside them.
const SOUND: usize = 40;
/// Maximum memory of the gateway at its peak, in kilobytes: far less than the endpoints send.
const MAX_PEAK_KB: u64 = 64 * 1024;

const HEAD: &str = "HTTP/1.1 200 x\r\n{signed}";
const GARBAGE: Behaviour = Behaviour::Endless { start: "", unit: "garbage " };
const HEADER_LINES: Behaviour = Behaviour::Endless { start: HEAD, unit: "X-More: more\r\n" };
const HEADER_VALUE: Behaviour =
    Behaviour::Endless { start: "HTTP/1.1 200 x\r\nX-Long: ", unit: "long" };
const BODY: Behaviour =
    Behaviour::Endless { start: "HTTP/1.1 200 x\r\n{signed}\r\n", unit: "more " };
const CHUNKS: Behaviour = Behaviour::Endless {
    start: "HTTP/1.1 200 x\r\n{signed}Transfer-Encoding: chunked\r\n\r\n",
    unit: "4\r\nmore\r\n",
};
const CHUNK_EXTENSION: Behaviour = Behaviour::Endless {
    start: "HTTP/1.1 200 x\r\n{signed}Transfer-Encoding: chunked\r\n\r\n4;",
    unit: "more",
};
const TRAILERS: Behaviour = Behaviour::Endless {
    start: "HTTP/1.1 200 x\r\n{signed}Transfer-Encoding: chunked\r\n\r\n4\r\nmore\r\n0\r\n",
    unit: "X-More: more\r\n",
};
const FAILURE: Behaviour =
    Behaviour::Endless { start: "HTTP/1.1 500 x\r\n{signed}\r\n", unit: "more " };
const REFUSAL: Behaviour =
    Behaviour::Endless { start: "HTTP/1.1 503 x\r\n{not_run}\r\n", unit: "no " };
const INTERIM: Behaviour =
    Behaviour::Endless { start: "", unit: "HTTP/1.1 102 Processing\r\n\r\n" };
const EVENT: Behaviour = Behaviour::Endless {
    start: "HTTP/1.1 200 x\r\n{signed}Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ",
    unit: "more ",
};
const COMMENT: Behaviour = Behaviour::Endless {
    start: "HTTP/1.1 200 x\r\n{signed}Content-Type: text/event-stream\r\n\r\n:",
    unit: "more ",
};

/// Plays endless answers of one endpoint beside sound requests at another one.
struct Play {
    fixture: GatewayFixture,
    /// The answers of the endpoint `endless`, each with its time.
    endless: Vec<(Option<Answer>, Duration)>,
    sound: Vec<Answer>,
}

impl Play {
    fn run(behaviour: &Behaviour, path: &'static str) -> Self {
        let program = env!("CARGO_BIN_EXE_persimmonmountd");
        let fixture = GatewayFixture::start(program, 1, &["endless"]).unwrap();
        fixture.endpoints[0].set_behaviour(behaviour.clone());
        let fixture_ref = &fixture;
        let (endless, sound) = thread::scope(|scope| {
            let calls: Vec<_> = (0..ENDLESS)
                .map(|number| {
                    scope.spawn(move || {
                        let started = Instant::now();
                        let id = format!("endless-{number}");
                        let answer = fixture_ref.call(0, path, &id).ok();
                        (answer, started.elapsed())
                    })
                })
                .collect();
            let all_arrived = || fixture_ref.endpoints[0].received().len() >= ENDLESS;
            assert!(wait_until(all_arrived));
            let sound = fixture_ref.call_sound_endpoint();
            (calls.into_iter().map(|it| it.join().unwrap()).collect(), sound)
        });
        Self { fixture, endless, sound }
    }

    /// Checks that the gateway gave all endless answers up within `limit`, kept little of them and
    /// served the sound requests.
    fn check(self, limit: Duration) {
        for (answer, took) in &self.endless {
            // A request that may be repeated may have been answered by the sound endpoint.
            let is_endless = |it: &Answer| it.status == 200 && it.is_complete && it.body != "done";
            assert!(!answer.as_ref().is_some_and(is_endless), "an endless answer looks complete");
            assert!(*took < limit, "given up after {took:?}");
        }
        let endless = &self.fixture.endpoints[0];
        let all_closed = || endless.abandoned() as usize >= endless.received().len();
        assert!(wait_until(all_closed), "{} closed", endless.abandoned());
        assert!(self.sound.iter().all(|it| it.status == 200 && it.is_complete), "{:?}", self.sound);
        let peak_kb = peak_memory_kb(self.fixture.deployment.id(0));
        assert!(peak_kb < MAX_PEAK_KB, "{peak_kb} KB");
        self.fixture.deployment.close();
    }
}

trait SoundEndpoint {
    fn call_sound_endpoint(&self) -> Vec<Answer>;
}

impl SoundEndpoint for GatewayFixture {
    /// Publishes an endpoint in place of the endless one, and calls it.
    fn call_sound_endpoint(&self) -> Vec<Answer> {
        let sound = EndpointStandin::start("sound", Behaviour::ok()).unwrap();
        self.deployment.publish_endpoint(&sound, false);
        self.wait_for_log(0, "\"endpoint\":\"sound\"").unwrap();
        self.deployment.publish_endpoint(&self.endpoints[0], true);
        let is_draining = "\"endpoint\":\"endless\",\"address\":\"{}\",\"is_draining\":true";
        let address = self.endpoints[0].address().to_string();
        self.wait_for_log(0, &is_draining.replace("{}", &address)).unwrap();
        (0..SOUND).map(|it| self.call(0, "/commit/x", &format!("sound-{it}")).unwrap()).collect()
    }
}

fn peak_memory_kb(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

#[rstest]
#[case::garbage(GARBAGE)]
#[case::header_lines(HEADER_LINES)]
#[case::header_value(HEADER_VALUE)]
#[case::body(BODY)]
#[case::chunks(CHUNKS)]
#[case::chunk_extension(CHUNK_EXTENSION)]
#[case::trailers(TRAILERS)]
#[case::failure(FAILURE)]
#[case::refusal(REFUSAL)]
fn endless_answer_to_a_call_is_given_up_early(
    #[case] behaviour: Behaviour,
    #[values("/commit/x", "/lookup/x")] path: &'static str,
) {
    Play::run(&behaviour, path).check(NOTICE_LIMIT);
}

#[rstest]
#[case::garbage(GARBAGE)]
#[case::header_lines(HEADER_LINES)]
#[case::header_value(HEADER_VALUE)]
#[case::chunk_extension(CHUNK_EXTENSION)]
#[case::event(EVENT)]
#[case::comment(COMMENT)]
fn endless_stream_that_never_ends_an_event_is_given_up_early(
    #[case] behaviour: Behaviour,
    #[values("/draft/x", "/chat/x")] path: &'static str,
) {
    Play::run(&behaviour, path).check(NOTICE_LIMIT);
}

/// Nothing tells that no answer will follow.
#[rstest]
fn endless_interim_answers_are_given_up_at_the_deadline(
    #[values("/commit/x", "/lookup/x", "/draft/x", "/chat/x")] path: &'static str,
) {
    Play::run(&INTERIM, path).check(DEADLINE + SLACK);
}

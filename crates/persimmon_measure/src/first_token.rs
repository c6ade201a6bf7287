//! Measures the time that a router and a sidecar add to a streamed answer.

use std::fmt;
use std::time::{Duration, Instant};

use persimmon_standins::Engine;
use persimmon_standins::fleet::{Caller, ChatRequest, Fleet};
use serde::Serialize;

use crate::direct::DirectRequest;
use crate::{MeasureError, load_average, percentile};

const MODEL: &str = "chat-large";
const ROUTER: &str = "router-1";
const ENGINE: &str = "engine-1";
const CONTENT: &str = "a week on the coast in early March for a family of five";

/// Number of pairs of requests that are sent before the measured ones, as a warm-up.
const WARM_UP_PAIRS: usize = 20;

/// Settings of the measurement.
#[derive(Debug, Clone, Copy)]
pub struct FirstTokenSettings {
    /// Number of pairs of a direct request and one through the fleet.
    pub pairs: usize,
    /// Number of tokens in each answer.
    pub tokens: u32,
    /// Interval at which the engine generates tokens.
    pub token_interval: Duration,
}

impl Default for FirstTokenSettings {
    fn default() -> Self {
        Self { pairs: 400, tokens: 16, token_interval: Duration::from_millis(2) }
    }
}

/// Times of direct requests and of requests through the fleet, in milliseconds.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct FirstTokenFigures {
    /// Number of pairs of a direct request and one through the fleet.
    pub pairs: usize,
    /// Median time to the first token of direct requests.
    pub direct_p50_ms: f64,
    /// Median time to the first token of requests through router and sidecar.
    pub fleet_p50_ms: f64,
    /// Median of the added time to the first token.
    pub added_p50_ms: f64,
    /// 95th percentile of the added time to the first token.
    pub added_p95_ms: f64,
    /// Median of the time added between tokens, where each answer counts with its mean.
    pub added_between_p50_ms: f64,
    /// 95th percentile of the time added between tokens, where each answer counts with its mean.
    pub added_between_p95_ms: f64,
    /// Load average of the machine at the end of the run.
    pub load_average: Option<f64>,
}

impl FirstTokenFigures {
    /// Maximum 95th percentile of the added time to the first token, in milliseconds.
    pub const TARGET_MS: f64 = 10.0;

    /// Reports whether the figures meet the target.
    pub fn is_within_target(&self) -> bool {
        self.added_p95_ms <= Self::TARGET_MS
    }
}

impl fmt::Display for FirstTokenFigures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} pairs, load average {:.1}", self.pairs, self.load_average.unwrap_or(-1.0))?;
        writeln!(f, "{:<44} {:>9}", "", "ms")?;
        let rows = [
            ("time to first token, direct, p50", self.direct_p50_ms),
            ("time to first token, router + sidecar, p50", self.fleet_p50_ms),
            ("added time to first token, p50", self.added_p50_ms),
            ("added time to first token, p95", self.added_p95_ms),
            ("added mean time between tokens, p50", self.added_between_p50_ms),
            ("added mean time between tokens, p95", self.added_between_p95_ms),
        ];
        for (name, ms) in rows {
            writeln!(f, "{name:<44} {ms:>9.3}")?;
        }
        let verdict = if self.is_within_target() { "met" } else { "not met" };
        write!(f, "target: added p95 at most {} ms: {verdict}", Self::TARGET_MS)
    }
}

/// Times at which the tokens of one answer arrived.
#[derive(Debug)]
pub(crate) struct Arrivals {
    pub(crate) sent_at: Instant,
    pub(crate) tokens: Vec<Instant>,
}

impl Arrivals {
    /// Returns the time to the first token and the mean time between tokens, in milliseconds.
    fn times_ms(&self, wanted: u32) -> Result<Times, MeasureError> {
        let (found, wanted) = (self.tokens.len(), wanted as usize);
        let (Some(first), Some(last)) = (self.tokens.first(), self.tokens.last()) else {
            return Err(MeasureError::StreamCutOff { found, wanted });
        };
        if found != wanted {
            return Err(MeasureError::StreamCutOff { found, wanted });
        }
        let between = (*last - *first).as_secs_f64() * 1e3 / (found.max(2) - 1) as f64;
        Ok(Times { first: (*first - self.sent_at).as_secs_f64() * 1e3, between })
    }
}

#[derive(Debug, Clone, Copy)]
struct Times {
    first: f64,
    between: f64,
}

/// Requests the same stream alternately from the engine and through the fleet, and compares the
/// times.
///
/// # Errors
///
/// Returns an error if a process can't be started or a stream breaks off.
pub fn measure_first_token(
    daemon: &std::path::Path,
    settings: FirstTokenSettings,
) -> Result<FirstTokenFigures, MeasureError> {
    let engine = Engine::builder(MODEL).with_token_interval(settings.token_interval);
    let fleet = Fleet::builder(daemon)
        .with_router(ROUTER, "zone-a")
        .with_engine(ENGINE, "zone-a", engine)
        .start()?;
    let mut pairs = Vec::new();
    for number in 0..WARM_UP_PAIRS + settings.pairs {
        let pair = run_pair(&fleet, settings, number)?;
        if number >= WARM_UP_PAIRS {
            pairs.push(pair);
        }
    }
    fleet.close();
    Ok(figures(&pairs))
}

/// Sends a direct request and one through the fleet. The order alternates from pair to pair.
fn run_pair(
    fleet: &Fleet,
    settings: FirstTokenSettings,
    number: usize,
) -> Result<(Times, Times), MeasureError> {
    let request = ChatRequest::new(MODEL, CONTENT).with_max_tokens(settings.tokens);
    let caller = fleet.caller(ROUTER)?;
    let direct = DirectRequest {
        engine: fleet.engine(ENGINE).address(),
        model: MODEL,
        content: CONTENT,
        max_tokens: settings.tokens,
        number: number as u128 + 1,
    };
    let through = || run_through_fleet(&caller, &request)?.times_ms(settings.tokens);
    if number.is_multiple_of(2) {
        let direct = direct.run()?.times_ms(settings.tokens)?;
        Ok((direct, through()?))
    } else {
        let through = through()?;
        Ok((direct.run()?.times_ms(settings.tokens)?, through))
    }
}

fn run_through_fleet(caller: &Caller, request: &ChatRequest) -> Result<Arrivals, MeasureError> {
    let sent_at = Instant::now();
    let stream = caller.stream(request)?;
    if stream.status() != 200 {
        let reply = stream.into_reply()?;
        return Err(MeasureError::Refused { status: reply.status, body: reply.body });
    }
    let events = stream.read_rest().events;
    let tokens = events.iter().filter(|event| !event.text().is_empty());
    Ok(Arrivals { sent_at, tokens: tokens.map(|event| event.arrived_at).collect() })
}

fn figures(pairs: &[(Times, Times)]) -> FirstTokenFigures {
    let at = |percent, value: fn(&(Times, Times)) -> f64| {
        let values: Vec<f64> = pairs.iter().map(value).collect();
        percentile(&values, percent).unwrap_or(f64::NAN)
    };
    let added: fn(&(Times, Times)) -> f64 = |(direct, fleet)| fleet.first - direct.first;
    let between: fn(&(Times, Times)) -> f64 = |(direct, fleet)| fleet.between - direct.between;
    FirstTokenFigures {
        pairs: pairs.len(),
        direct_p50_ms: at(50.0, |(direct, _)| direct.first),
        fleet_p50_ms: at(50.0, |(_, fleet)| fleet.first),
        added_p50_ms: at(50.0, added),
        added_p95_ms: at(95.0, added),
        added_between_p50_ms: at(50.0, between),
        added_between_p95_ms: at(95.0, between),
        load_average: load_average(),
    }
}

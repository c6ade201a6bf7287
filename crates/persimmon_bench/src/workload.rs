//! Generates the workload: the turns of all chats, in order of time.

use persimmon_decide::load::ChatKey;
use persimmon_records::Class;
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::Scenario;
use crate::deployment::Shape;

/// One turn of a chat.
#[derive(Debug, Clone, Copy)]
pub struct Turn {
    /// Time at which the caller sends the turn, in milliseconds.
    pub at: u64,
    /// Key of the chat.
    pub chat: ChatKey,
    /// Index of the workspace.
    pub workspace: usize,
    /// Index of the model.
    pub model: usize,
    /// Index of the router that the platform's load balancer selects.
    pub router: usize,
    /// Class of the request.
    pub class: Class,
    /// Prompt tokens, including the chat's earlier turns.
    pub prompt_tokens: u32,
    /// Number of tokens that the engine generates.
    pub generated_tokens: u32,
}

impl Turn {
    /// Returns the maximum number of tokens that the caller sets. The engine generates fewer.
    pub fn max_tokens(&self) -> u32 {
        self.generated_tokens + self.generated_tokens / 4
    }
}

/// Generates all turns of a run. Their times don't depend on when earlier turns end, so every
/// strategy gets the same workload.
///
/// ```
/// use persimmon_bench::{Deployment, Scenario, workload};
///
/// let scenario = Scenario::new(Deployment::kalahari()).with_duration_s(60);
/// let turns = workload(&scenario);
/// assert!(turns.is_sorted_by_key(|turn| turn.at));
/// ```
pub fn workload(scenario: &Scenario) -> Vec<Turn> {
    let mut base = Pcg64Mcg::seed_from_u64(scenario.seed);
    let gap_ms = 1_000.0 / scenario.chats_per_s();
    let mut turns: Vec<_> = start_times(scenario, &mut base, gap_ms)
        .into_iter()
        .flat_map(|at| chat_turns(scenario, &mut base, None, at))
        .collect();
    if scenario.surges {
        // Surges use a separate random generator, so that the other chats are the same with and
        // without surges.
        let mut surge = Pcg64Mcg::seed_from_u64(scenario.seed ^ 0x5u64.rotate_right(8));
        let gap_ms = gap_ms / Scenario::SURGE_SHARE;
        let times =
            start_times(scenario, &mut surge, gap_ms).into_iter().filter(|at| in_surge(*at));
        turns.extend(
            times.flat_map(|at| chat_turns(scenario, &mut surge, Some(Class::Drafting), at)),
        );
    }
    turns.sort_by_key(|turn| turn.at);
    turns
}

/// Reports whether a surge is in progress at a time in milliseconds.
pub fn in_surge(at: u64) -> bool {
    let into_s = (at / 1_000) % Scenario::SURGE_EVERY_S;
    let from_s = Scenario::SURGE_EVERY_S / 2;
    (from_s..from_s + Scenario::SURGE_S).contains(&into_s)
}

/// Returns random times at which chats start, in milliseconds, with a mean gap of `gap_ms`.
fn start_times(scenario: &Scenario, rng: &mut Pcg64Mcg, gap_ms: f64) -> Vec<u64> {
    let end = scenario.duration_s * 1_000;
    let mut times = Vec::new();
    let mut at = 0.0;
    loop {
        at += -gap_ms * (1.0 - rng.random::<f64>()).ln();
        if at >= end as f64 {
            return times;
        }
        times.push(at as u64);
    }
}

fn random_class(scenario: &Scenario, rng: &mut Pcg64Mcg) -> Class {
    let mut draw = rng.random::<f64>();
    for class in Class::ALL {
        draw -= scenario.deployment.shapes.get(class).share;
        if draw < 0.0 {
            return class;
        }
    }
    Class::Quick
}

/// Generates the turns of one chat, of a random class if `class` is `None`.
fn chat_turns(
    scenario: &Scenario,
    rng: &mut Pcg64Mcg,
    class: Option<Class>,
    start: u64,
) -> Vec<Turn> {
    let class = class.unwrap_or_else(|| random_class(scenario, rng));
    let shape = scenario.deployment.shapes.get(class);
    let chat = ChatKey(rng.next_u64());
    let workspace = random_workspace(rng);
    let model = rng.random_range(0..scenario.models);
    let mut turns = Vec::new();
    let mut prompt_tokens = 0;
    let mut at = start;
    for _ in 0..turn_count(shape, rng) {
        prompt_tokens += random_in(shape.prompt_tokens, rng);
        let generated_tokens = random_in(shape.generated_tokens, rng);
        let router = rng.random_range(0..scenario.routers);
        turns.push(Turn {
            at,
            chat,
            workspace,
            model,
            router,
            class,
            prompt_tokens,
            generated_tokens,
        });
        prompt_tokens += generated_tokens;
        at += u64::from(generated_tokens) * Scenario::TOKEN_MS + pause_ms(rng);
    }
    turns.retain(|turn| turn.at < scenario.duration_s * 1_000);
    turns
}

fn random_in(range: [u32; 2], rng: &mut Pcg64Mcg) -> u32 {
    rng.random_range(range[0]..=range[1])
}

/// Draws a number of turns from a geometric distribution with the shape's mean.
fn turn_count(shape: &Shape, rng: &mut Pcg64Mcg) -> u32 {
    let mut turns = 1;
    while rng.random::<f64>() < 1.0 - 1.0 / shape.turns {
        turns += 1;
    }
    turns
}

/// Draws a workspace. The first two workspaces send half of all chats.
fn random_workspace(rng: &mut Pcg64Mcg) -> usize {
    if rng.random::<f64>() < 0.5 {
        rng.random_range(0..2)
    } else {
        rng.random_range(2..Scenario::WORKSPACES)
    }
}

/// Draws the pause before the next turn. Of ten pauses, seven last 5 to 60 seconds, two last 1 to
/// 15 minutes, and one lasts 15 minutes to 3 hours.
fn pause_ms(rng: &mut Pcg64Mcg) -> u64 {
    let draw = rng.random::<f64>();
    let [from, to]: [f64; 2] = match draw {
        _ if draw < 0.7 => [5e3, 60e3],
        _ if draw < 0.9 => [60e3, 900e3],
        _ => [900e3, 10_800e3],
    };
    (from * (to / from).powf(rng.random::<f64>())) as u64
}

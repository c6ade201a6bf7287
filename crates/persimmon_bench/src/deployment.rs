//! The deployments that the benchmark simulates.

use persimmon_records::{Class, PerClass, Policy};

/// Distribution of the requests of one class.
#[derive(Debug, Clone, Copy, Default)]
pub struct Shape {
    /// Share of all chats that belong to this class, from 0 to 1.
    pub share: f64,
    /// Minimum and maximum number of prompt tokens that each turn adds.
    pub prompt_tokens: [u32; 2],
    /// Minimum and maximum number of tokens generated in each turn.
    pub generated_tokens: [u32; 2],
    /// Mean number of turns of a chat.
    pub turns: f64,
}

/// A deployment's policy and workload.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Name in reports.
    pub name: &'static str,
    /// Settings of the fleet.
    pub policy: Policy,
    /// Minimum cache reuse, as a share of what unbounded placement reaches.
    pub reuse_target: f64,
    /// Distribution of the requests of each class.
    pub shapes: PerClass<Shape>,
}

impl Deployment {
    /// Returns the deployment of a swap desk, where blurbs, replies and dossiers share engines. Low
    /// skew has priority over cache reuse.
    pub fn mwakilema() -> Self {
        Self {
            name: "mwakilema",
            policy: Policy { load_multiple: 1.25, ..Policy::default() },
            reuse_target: 0.90,
            shapes: PerClass {
                quick: shape(0.62, [80, 200], [30, 90], 1.0),
                conversation: shape(0.30, [40, 400], [80, 240], 6.0),
                drafting: shape(0.08, [400, 2_000], [600, 1_600], 3.0),
            },
        }
    }

    /// Returns the deployment of a registry desk, where work on long drafts continues after pauses.
    /// Cache reuse has priority over low skew.
    pub fn kalahari() -> Self {
        Self {
            name: "kalahari",
            policy: Policy { load_multiple: 2.0, ..Policy::default() },
            reuse_target: 0.95,
            shapes: PerClass {
                quick: shape(0.55, [60, 160], [20, 80], 1.0),
                conversation: shape(0.25, [60, 500], [100, 300], 5.0),
                drafting: shape(0.20, [800, 3_000], [800, 2_000], 5.0),
            },
        }
    }

    /// Returns both deployments.
    pub fn all() -> [Self; 2] {
        [Self::mwakilema(), Self::kalahari()]
    }

    /// Returns the deployment with this name.
    pub fn named(name: &str) -> Option<Self> {
        Self::all().into_iter().find(|deployment| deployment.name == name)
    }

    /// Returns the mean time for which all turns of a chat together occupy a slot, in milliseconds.
    pub fn mean_chat_ms(&self, token_ms: f64) -> f64 {
        let of = |class: Class| {
            let shape = self.shapes.get(class);
            let generated = f64::from(shape.generated_tokens[0] + shape.generated_tokens[1]) / 2.0;
            shape.share * shape.turns * generated * token_ms
        };
        Class::ALL.into_iter().map(of).sum()
    }
}

fn shape(share: f64, prompt_tokens: [u32; 2], generated_tokens: [u32; 2], turns: f64) -> Shape {
    Shape { share, prompt_tokens, generated_tokens, turns }
}

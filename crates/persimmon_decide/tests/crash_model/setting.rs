//! Random settings of the model.

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use super::END_MS;

/// What crashes endpoints, and how they go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Variant {
    /// A prompt part; endpoints refuse connections afterwards.
    Refusing,
    /// A prompt part; endpoints keep their connections open and send nothing more.
    SilentUnderPart,
    /// One content that comes again and again; endpoints fall silent.
    SilentUnderContent,
    /// The same, but gateways try silent endpoints again now and then, and what waits there breaks when
    /// they restart.
    BrokenUnderContent,
}

impl Variant {
    pub(super) fn is_silent(self) -> bool {
        self != Self::Refusing
    }

    pub(super) fn repeats_content(self) -> bool {
        matches!(self, Self::SilentUnderContent | Self::BrokenUnderContent)
    }
}

/// A random setting of the model.
#[derive(Debug)]
pub(crate) struct Setting {
    pub(super) gateways: usize,
    pub(super) endpoints: usize,
    pub(super) bad_interval_ms: u64,
    pub(super) sound_interval_ms: u64,
    pub(super) longest_ms: u64,
    pub(super) downtime_ms: u64,
    pub(super) digest_loss: f64,
    /// Whether requests with the bad part were answered before.
    pub(super) was_sound: bool,
    /// Whether an interrupted request is resumed at another endpoint.
    pub(super) is_resumable: bool,
    /// Times at which a third of the endpoints, or all of them, fail together.
    pub(super) failures: Vec<(u64, bool)>,
}

impl Setting {
    /// Reports whether endpoints fail for other reasons too.
    pub(crate) fn fails_otherwise(&self) -> bool {
        !self.failures.is_empty()
    }

    pub(super) fn draw(rng: &mut Pcg64Mcg) -> Self {
        Self {
            gateways: rng.random_range(1..=6),
            endpoints: rng.random_range(6..=30),
            bad_interval_ms: rng.random_range(40..=3_000),
            sound_interval_ms: rng.random_range(8..=60),
            longest_ms: rng.random_range(50..=1_800),
            downtime_ms: rng.random_range(500..=4_000),
            digest_loss: rng.random_range(0.0..0.1),
            was_sound: rng.random(),
            is_resumable: rng.random(),
            failures: (0..rng.random_range(0..4))
                .map(|_| (rng.random_range(0..END_MS), rng.random_ratio(1, 3)))
                .collect(),
        }
    }
}

//! Draws which build each gateway runs during a release.

use std::path::{Path, PathBuf};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The builds of a release, of which each start of a gateway draws one.
pub(crate) struct Builds {
    earlier: PathBuf,
    present: PathBuf,
    rng: Pcg64Mcg,
}

impl Builds {
    /// Combined with the seed to draw builds independently of faults.
    const SALT: u64 = 0x6275_696c_6473_0000;

    /// Creates the draws of a seed.
    pub(crate) fn new(earlier: &str, present: &str, seed: u64) -> Self {
        let rng = Pcg64Mcg::seed_from_u64(seed ^ Self::SALT);
        Self { earlier: earlier.into(), present: present.into(), rng }
    }

    /// Draws the program of each gateway at the start: at least one runs each of the two, unless there is
    /// only one gateway.
    pub(crate) fn draw_first(&mut self, gateways: usize) -> Vec<PathBuf> {
        let first = self.rng.random_range(0..gateways.max(1));
        let earlier = self.rng.random_range(1..gateways.max(2));
        let is_earlier = |gateway: usize| (gateway + gateways - first) % gateways < earlier;
        let program = |gateway| if is_earlier(gateway) { &self.earlier } else { &self.present };
        (0..gateways).map(|gateway| program(gateway).clone()).collect()
    }

    /// Draws the program with which a gateway is restarted.
    pub(crate) fn draw(&mut self) -> &Path {
        if self.rng.random() { &self.earlier } else { &self.present }
    }
}

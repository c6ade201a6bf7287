//! Time for which a measured value predicts the next one.

/// Distances between successive values, and how much of a deviation was left after them.
#[derive(Debug, Clone, Copy, Default)]
struct Bin {
    /// Sum of the products of successive deviations.
    product: f64,
    /// Sum of their mean squares.
    square: f64,
    /// Sum of the distances in milliseconds, weighted by the squares.
    weighted_gap_ms: f64,
}

impl Bin {
    fn scale(&mut self, factor: f64) {
        self.product *= factor;
        self.square *= factor;
        self.weighted_gap_ms *= factor;
    }
}

/// Estimates how fast values that are stated at irregular times change.
///
/// Handles values that endpoints redraw at a rate that nobody publishes: the correlation of successive
/// deviations from the mean decays with the time between them. An exponential is fitted to it, which is
/// exact for values that are redrawn at random times. Values that never change have no deviations, and
/// so no influence on the estimate.
#[derive(Debug, Default)]
pub(super) struct ValueLifetime {
    bins: [Bin; Self::BINS],
    /// Pairs since the last fit.
    pairs: u32,
    fitted_ms: Option<f64>,
}

impl ValueLifetime {
    /// Lifetime until enough changes are known, in milliseconds.
    const DEFAULT_MS: f64 = 1_000.0;
    /// Shortest lifetime, in milliseconds. Values that change faster are of no use.
    const MIN_MS: f64 = 50.0;
    /// Number of lifetimes that are tried, each the root of two times the one before; the longest is
    /// 3.2 s. Values that change more slowly are heard again before they age.
    const FITTED: i32 = 13;
    /// Classes of distances between values; each begins at twice the distance of the one before.
    const BINS: usize = 8;
    /// Pairs after which the lifetime is fitted again.
    const PAIRS_PER_FIT: u32 = 64;
    /// Factor on what is known, for each pair: about the last thousand pairs of a class count.
    const KEPT_PER_PAIR: f64 = 0.999;
    /// Sum of squared deviations from which an estimate is used: about ten changes by a factor of two.
    const MIN_SQUARES: f64 = 4.0;
    /// Weight of the default. It decides where values are so far apart that they only say that the
    /// lifetime is shorter, as at a gateway that hears no peer.
    const DEFAULT_WEIGHT: f64 = 0.2;

    /// Records the deviations of two successive values from the mean.
    pub(super) fn record(&mut self, earlier: f64, later: f64, gap_ms: u64) {
        let doublings = (gap_ms as f64 / Self::MIN_MS).max(1.0).log2() as usize;
        let bin = &mut self.bins[doublings.min(Self::BINS - 1)];
        bin.scale(Self::KEPT_PER_PAIR);
        let square = (earlier * earlier + later * later) / 2.0;
        bin.product += earlier * later;
        bin.square += square;
        bin.weighted_gap_ms += square * gap_ms as f64;
        self.pairs += 1;
        if self.pairs >= Self::PAIRS_PER_FIT {
            self.pairs = 0;
            self.fitted_ms = self.fit();
        }
    }

    /// Returns the lifetime in milliseconds: the time after which 37 % of a deviation is left.
    pub(super) fn ms(&self) -> f64 {
        self.fitted_ms.unwrap_or(Self::DEFAULT_MS)
    }

    /// Returns the part of a deviation that is left after this time.
    pub(super) fn left_after(&self, age_ms: u64) -> f64 {
        (-(age_ms as f64) / self.ms()).exp()
    }

    /// Returns the lifetime that fits the correlations best; none if too few changes are known.
    fn fit(&self) -> Option<f64> {
        let squares: f64 = self.bins.iter().map(|it| it.square).sum();
        if squares < Self::MIN_SQUARES {
            return None;
        }
        let error = |ms: &f64| -> f64 {
            let of_bin = |it: &Bin| {
                let expected = (-(it.weighted_gap_ms / it.square) / ms).exp();
                it.square * (it.product / it.square - expected).powi(2)
            };
            let of_bins: f64 = self.bins.iter().filter(|it| it.square > 0.0).map(of_bin).sum();
            of_bins + Self::DEFAULT_WEIGHT * (ms / Self::DEFAULT_MS).ln().powi(2)
        };
        let tried = (0..Self::FITTED).map(|it| Self::MIN_MS * 2.0_f64.powf(f64::from(it) / 2.0));
        tried.min_by(|a, b| error(a).total_cmp(&error(b)))
    }
}

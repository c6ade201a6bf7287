//! How full endpoints may be for a request.

use super::Rank;

/// Bounds on the fill of endpoints: requests in progress there, as a multiple of their slots.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionSettings {
    /// Fill up to which the most urgent requests are taken. A little over one keeps a short queue
    /// at each endpoint, so that no slot stays empty until the gateways hear that it is free.
    pub full: f64,
    /// How much earlier the least urgent requests are refused than the most urgent ones.
    pub reserve: f64,
    /// Half of the range of fill in which a growing part of the requests is refused. It lies wide
    /// enough for the ranges of all ranks to overlap, so that none is starved by more urgent ones.
    pub softness: f64,
    /// How much earlier the requests of a workspace are refused for its part of the requests in
    /// progress beyond an equal_share one, but never by more than what the others use, so that a
    /// workspace that is nearly alone has nearly all.
    pub fairness: f64,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self { full: 1.06, reserve: 0.04, softness: 0.1, fairness: 0.5 }
    }
}

/// Where a request stands among those of its service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Standing {
    /// Its rank.
    pub rank: Rank,
    /// The part of the requests in progress that are its workspace's, from 0 to 1.
    pub share: f64,
    /// Workspaces with requests in progress.
    pub workspaces: usize,
}

/// Decides how full an endpoint may be to take a request.
///
/// Answers the load at which engines have no free slots: what they then take waits, all streams
/// start late, and callers leave. Refusing the least urgent part at once, and most of all that of a
/// workspace that sends far more than the others, keeps the rest on time.
///
/// ```
/// use persimmon_decide::forward::{Admission, AdmissionSettings, Rank, Standing};
///
/// let admission = Admission::new(AdmissionSettings::default());
/// let urgent = Standing { rank: Rank { place: 0, count: 3 }, share: 0.1, workspaces: 10 };
/// let least = Standing { rank: Rank { place: 2, count: 3 }, ..urgent };
/// assert!(admission.max_fill(urgent, 0.5) > admission.max_fill(least, 0.5));
/// ```
#[derive(Debug)]
pub struct Admission {
    settings: AdmissionSettings,
}

impl Admission {
    /// Admission by these settings.
    pub fn new(settings: AdmissionSettings) -> Self {
        Self { settings }
    }

    /// The fill up to which a request is taken, as a multiple of an endpoint's slots. `draw`, from
    /// 0 to 1, spreads the refusals over the range of fill.
    pub fn max_fill(&self, standing: Standing, draw: f64) -> f64 {
        let settings = self.settings;
        let rank_fraction =
            standing.rank.place as f64 / standing.rank.count.saturating_sub(1).max(1) as f64;
        let equal_share = 1.0 / standing.workspaces.max(1) as f64;
        let excess = (standing.share - equal_share).max(0.0);
        let fairness_margin = (settings.fairness * excess).min(1.0 - standing.share);
        let offset = settings.softness * (2.0 * draw - 1.0);
        settings.full - settings.reserve * rank_fraction - fairness_margin + offset
    }
}

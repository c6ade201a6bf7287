//! Admission of requests by the fill of endpoints.

use super::Rank;

/// Limits on the fill of endpoints: their requests in progress as a multiple of their slots.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionSettings {
    /// Fill up to which the most urgent requests are accepted. A value slightly above one gives
    /// each endpoint a short queue, so that a freed slot isn't idle until the gateways send the
    /// next request.
    pub urgent_max_fill: f64,
    /// Difference in fill between the limits for the most and the least urgent requests.
    pub rank_reserve: f64,
    /// Half of the range of fill over which the share of refused requests grows. The ranges of all
    /// ranks overlap, so that more urgent requests don't starve the others.
    pub ramp_half_width: f64,
    /// Factor for the reduction of the limit of a workspace with more than an equal share of the
    /// requests in progress: the reduction is this factor times the excess share, but at most the
    /// share of the other workspaces, so that a workspace that is almost alone can use almost all
    /// slots.
    pub fairness_factor: f64,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            urgent_max_fill: 1.06,
            rank_reserve: 0.04,
            ramp_half_width: 0.1,
            fairness_factor: 0.5,
        }
    }
}

/// Rank of a request, and the share of its workspace in the service's requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionInput {
    /// Rank by priority.
    pub rank: Rank,
    /// Share of the requests in progress that belong to the request's workspace, from 0 to 1.
    pub share: f64,
    /// Number of workspaces with requests in progress.
    pub workspaces: usize,
}

/// Decides how full an endpoint may be to accept a request.
///
/// When an engine has no free slot, further requests queue, all streams start late, and callers
/// give up. Refusing some requests immediately keeps the others on time: the least urgent ones, and
/// above all those of a workspace that sends far more than the others.
///
/// ```
/// use persimmon_decide::forward::{Admission, AdmissionInput, AdmissionSettings, Rank};
///
/// let admission = Admission::new(AdmissionSettings::default());
/// let urgent =
///     AdmissionInput { rank: Rank { position: 0, count: 3 }, share: 0.1, workspaces: 10 };
/// let least = AdmissionInput { rank: Rank { position: 2, count: 3 }, ..urgent };
/// assert!(admission.max_fill(urgent, 0.5) > admission.max_fill(least, 0.5));
/// ```
#[derive(Debug)]
pub struct Admission {
    settings: AdmissionSettings,
}

impl Admission {
    /// Creates the admission with these settings.
    pub fn new(settings: AdmissionSettings) -> Self {
        Self { settings }
    }

    /// Returns the fill up to which a request is accepted, as a multiple of an endpoint's slots.
    /// The random number `draw`, from 0 to 1, spreads the refusals over a range of fill.
    pub fn max_fill(&self, input: AdmissionInput, draw: f64) -> f64 {
        let settings = self.settings;
        let rank_fraction =
            input.rank.position as f64 / input.rank.count.saturating_sub(1).max(1) as f64;
        let equal_share = 1.0 / input.workspaces.max(1) as f64;
        let excess = (input.share - equal_share).max(0.0);
        let fairness_margin = (settings.fairness_factor * excess).min(1.0 - input.share);
        let offset = settings.ramp_half_width * (2.0 * draw - 1.0);
        settings.urgent_max_fill - settings.rank_reserve * rank_fraction - fairness_margin + offset
    }
}

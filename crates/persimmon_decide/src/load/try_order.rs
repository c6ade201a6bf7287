//! The order in which a router offers one request to endpoints.

use super::{Candidate, LoadReport};

/// The next endpoint to which a request is offered.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Try {
    /// The endpoint.
    pub candidate: Candidate,
    /// Mean load per slot of the endpoints that have just refused the request, to be sent with the
    /// offer.
    pub refused_mean_per_slot: Option<f64>,
}

#[derive(Debug, Clone, Copy)]
struct RefusedCandidate {
    candidate: Candidate,
    load: LoadReport,
}

/// Iterates over the candidates of one request. Each refusal reports the endpoint's present load.
/// Once every candidate has refused, the least loaded ones are tried a second time, and the offer
/// includes the mean of the reported loads. Without this, endpoints whose estimate of the mean lags
/// behind growing demand would all refuse the request.
///
/// ```
/// use persimmon_decide::load::{Candidate, EndpointHash, LoadReport, TryOrder, Work};
///
/// let candidate = Candidate::new(EndpointHash(1));
/// let mut order = TryOrder::new(vec![candidate]);
/// assert_eq!(order.next_try().unwrap().candidate, candidate);
/// order.refused(LoadReport::default());
/// assert!(order.next_try().is_none());
/// ```
#[derive(Debug, Clone)]
pub struct TryOrder {
    candidates: Vec<Candidate>,
    tried: usize,
    refused: Vec<RefusedCandidate>,
    second_tries: usize,
}

impl TryOrder {
    /// Minimum number of refusals for the mean of their loads to be used.
    pub const MIN_REFUSED: usize = 4;

    /// Maximum number of endpoints that are tried a second time.
    pub const MAX_SECOND_TRIES: usize = 2;

    /// Creates an order that starts with the first of `candidates`.
    pub fn new(candidates: Vec<Candidate>) -> Self {
        Self { candidates, tried: 0, refused: Vec::new(), second_tries: 0 }
    }

    /// Returns the next endpoint to try, or `None` if the caller has to retry later.
    pub fn next_try(&mut self) -> Option<Try> {
        if let Some(candidate) = self.candidates.get(self.tried).copied() {
            self.tried += 1;
            return Some(Try { candidate, refused_mean_per_slot: None });
        }
        let refused_mean_per_slot = self.mean_of_refused();
        if refused_mean_per_slot.is_none() || self.second_tries >= Self::MAX_SECOND_TRIES {
            return None;
        }
        let candidate = self.refused.get(self.second_tries)?.candidate;
        self.second_tries += 1;
        Some(Try { candidate, refused_mean_per_slot })
    }

    /// Records that the endpoint tried last refused the request because of its load.
    pub fn refused(&mut self, load: LoadReport) {
        if self.second_tries > 0 || self.tried == 0 {
            return;
        }
        let candidate = self.candidates[self.tried - 1];
        self.refused.push(RefusedCandidate { candidate, load });
        self.refused.sort_by(|a, b| a.load.work_per_slot().total_cmp(&b.load.work_per_slot()));
    }

    fn mean_of_refused(&self) -> Option<f64> {
        if self.refused.len() < Self::MIN_REFUSED {
            return None;
        }
        let sum: f64 = self.refused.iter().map(|refused| refused.load.work_per_slot()).sum();
        Some(sum / self.refused.len() as f64)
    }
}

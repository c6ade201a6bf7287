//! The endpoints that a router tries for one request, one after the other.

use super::{Candidate, LoadReport};

/// The next endpoint to offer a request to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Try {
    /// The endpoint.
    pub candidate: Candidate,
    /// The mean load per slot of the endpoints that have just refused the request, to be sent
    /// along with the offer.
    pub refused_mean_per_slot: Option<f64>,
}

#[derive(Debug, Clone, Copy)]
struct Refused {
    candidate: Candidate,
    load: LoadReport,
}

/// Walks down the candidates of one request. The refusals' loads are the latest that anybody knows
/// of the model's endpoints: when every candidate has refused, the least loaded are tried again and
/// told the mean of those loads. Without this, endpoints whose estimate of the mean lags
/// behind a growing demand would all refuse it.
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
    refused: Vec<Refused>,
    second_tries: usize,
}

impl TryOrder {
    /// Refusals from which their mean load is told.
    pub const MIN_REFUSED: usize = 4;

    /// Endpoints tried again.
    pub const MAX_SECOND_TRIES: usize = 2;

    /// Starts with the first of `candidates`.
    pub fn new(candidates: Vec<Candidate>) -> Self {
        Self { candidates, tried: 0, refused: Vec::new(), second_tries: 0 }
    }

    /// The next endpoint to try, or `None` if the caller has to come back.
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

    /// Notes that the endpoint tried last refused the request for its load.
    pub fn refused(&mut self, load: LoadReport) {
        if self.second_tries > 0 || self.tried == 0 {
            return;
        }
        let candidate = self.candidates[self.tried - 1];
        self.refused.push(Refused { candidate, load });
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

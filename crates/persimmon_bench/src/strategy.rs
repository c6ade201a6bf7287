//! The placement strategies that the benchmark compares.

use std::cmp::Reverse;

use persimmon_decide::MonoMs;
use persimmon_decide::load::{
    Candidate, Directory, EndpointView, Placement, PlacementRequest, rank_by_slots,
};
use serde::Serialize;

/// A placement strategy. A bounded strategy runs with sidecars that enforce the load bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Strategy {
    /// The endpoint that has cached most of the prefix, found with global knowledge; unbounded, and
    /// without a limit on slots. The reuse of the other strategies is relative to this one.
    Reference,
    /// The less loaded of two random endpoints; unbounded.
    TwoChoices,
    /// The first in rendezvous rank; unbounded.
    Rendezvous,
    /// The next endpoint on a hash ring; bounded.
    Ring,
    /// The first in rendezvous rank, ignoring the chat token; bounded.
    RankFirst,
    /// The first in rendezvous rank, then the least loaded of the next three, ignoring the chat
    /// token; bounded.
    RankThenLeastLoaded,
    /// The holders from the chat token, then by rendezvous rank, without imports; bounded.
    TokenFirst,
    /// By rendezvous rank, with imports from the best holder in the chat token; bounded.
    RankFirstImport,
    /// The strategy that routers use: holders first, then by expected cost, with imports; bounded.
    Project,
}

impl Strategy {
    /// All strategies, with the reference first.
    pub const ALL: [Self; 9] = [
        Self::Reference,
        Self::TwoChoices,
        Self::Rendezvous,
        Self::Ring,
        Self::RankFirst,
        Self::RankThenLeastLoaded,
        Self::TokenFirst,
        Self::RankFirstImport,
        Self::Project,
    ];

    /// Returns the name in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Reference => "reference",
            Self::TwoChoices => "two-choices",
            Self::Rendezvous => "rendezvous",
            Self::Ring => "ring",
            Self::RankFirst => "rank-first",
            Self::RankThenLeastLoaded => "rank-least-loaded",
            Self::TokenFirst => "token-first",
            Self::RankFirstImport => "rank-first-import",
            Self::Project => "project",
        }
    }

    /// Reports whether sidecars enforce the load bound.
    pub fn is_bounded(self) -> bool {
        !matches!(self, Self::Reference | Self::TwoChoices | Self::Rendezvous)
    }

    /// Reports whether sidecars import cache from other endpoints.
    pub fn imports(self) -> bool {
        matches!(self, Self::RankFirstImport | Self::Project)
    }

    /// Returns the endpoints to try, in order. `draw` is a random number for randomized strategies.
    pub fn place(
        self,
        req: &PlacementRequest<'_>,
        directory: &Directory,
        now: MonoMs,
        draw: u64,
    ) -> Vec<Candidate> {
        let without_token = PlacementRequest { holders: &[], ..req.clone() };
        match self {
            Self::Project => Placement::default().place(req, directory, now),
            Self::TokenFirst => token_first(req, ranked(req, directory)),
            Self::RankFirstImport => import_from_token(req, ranked(req, directory)),
            Self::RankFirst | Self::Rendezvous | Self::Reference => {
                ranked(&without_token, directory)
            }
            Self::RankThenLeastLoaded => least_loaded_of_next(req, directory, now),
            Self::Ring => ring(req, directory),
            Self::TwoChoices => two_choices(req, directory, now, draw),
        }
    }
}

const MAX_CANDIDATES: usize = 8;

fn serving<'a>(
    req: &PlacementRequest<'a>,
    directory: &'a Directory,
) -> impl Iterator<Item = &'a EndpointView> {
    directory.serving(req.target).filter(|view| !view.is_leaving())
}

fn ranked(req: &PlacementRequest<'_>, directory: &Directory) -> Vec<Candidate> {
    let all = serving(req, directory).map(|view| (view.hash, view.slots));
    rank_by_slots(req.chat, all).into_iter().take(MAX_CANDIDATES).map(Candidate::new).collect()
}

fn token_first(req: &PlacementRequest<'_>, mut ranked: Vec<Candidate>) -> Vec<Candidate> {
    let mut holders: Vec<_> = req.holders.to_vec();
    holders.sort_by_key(|holder| Reverse(holder.tokens));
    ranked.retain(|candidate| holders.iter().all(|holder| holder.endpoint != candidate.endpoint));
    let held = holders.iter().map(|holder| Candidate::new(holder.endpoint));
    held.chain(ranked).take(MAX_CANDIDATES).collect()
}

fn import_from_token(req: &PlacementRequest<'_>, mut ranked: Vec<Candidate>) -> Vec<Candidate> {
    let best = req.holders.iter().max_by_key(|holder| holder.tokens).copied();
    for candidate in &mut ranked {
        candidate.import_from = best.filter(|best| best.endpoint != candidate.endpoint);
    }
    ranked
}

fn least_loaded_of_next(
    req: &PlacementRequest<'_>,
    directory: &Directory,
    now: MonoMs,
) -> Vec<Candidate> {
    let mut order = ranked(req, directory);
    let next = order.len().min(4);
    let load = |candidate: &Candidate| {
        directory.view(candidate.endpoint).map(|view| view.expected_work(now))
    };
    if next > 1 {
        order[1..next].sort_by_key(load);
    }
    order
}

fn ring(req: &PlacementRequest<'_>, directory: &Directory) -> Vec<Candidate> {
    let mut after: Vec<_> = serving(req, directory)
        .map(|view| (view.hash.0.wrapping_sub(req.chat.0), view.hash))
        .collect();
    after.sort_unstable();
    after.into_iter().take(MAX_CANDIDATES).map(|(_, endpoint)| Candidate::new(endpoint)).collect()
}

fn two_choices(
    req: &PlacementRequest<'_>,
    directory: &Directory,
    now: MonoMs,
    draw: u64,
) -> Vec<Candidate> {
    let views: Vec<_> = serving(req, directory).collect();
    if views.is_empty() {
        return Vec::new();
    }
    let at = |number: u64| views[(number % views.len() as u64) as usize];
    let mut two = [at(draw >> 32), at(draw & 0xffff_ffff)];
    two.sort_by_key(|view| view.expected_work(now));
    two.map(|view| Candidate::new(view.hash)).to_vec()
}

//! Software versions that the store's history shows.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use thiserror::Error;

use super::{Endpoint, StreamOrigin};
use crate::MonoMs;

/// What a change in the store's history made of a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HistoryValue {
    /// The record of an endpoint.
    Endpoint(Endpoint),
    /// The routes.
    Routes,
    /// No record that names an endpoint: it was removed, or can't be read.
    Nothing,
}

/// One change in the store's history.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HistoryChange {
    /// ID of the endpoint, or the key of the routes.
    pub key: Arc<str>,
    /// What the change made of the record.
    pub value: HistoryValue,
    /// Whether the change created the record.
    pub is_creation: bool,
}

/// The latest part of the store's history.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HistoryPart {
    /// The changes, in their order.
    pub changes: Vec<HistoryChange>,
    /// Position of the store at the end of this part.
    pub position: u64,
    /// Whether no change came before this part.
    pub is_whole: bool,
}

/// Why the store's history doesn't show what began a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Undetermined {
    /// The history couldn't be read.
    #[error("the store's history couldn't be read")]
    Unread,
    /// The history doesn't reach back far enough.
    #[error("the records are known for {covered_ms} ms of {needed_ms} ms")]
    NotCovered {
        /// Time for which all records are known, in milliseconds.
        covered_ms: u64,
        /// Time for which they have to be known, in milliseconds.
        needed_ms: u64,
    },
    /// The routes have changed, so that another service may have begun the stream.
    #[error("the routes may have changed {ago_ms} ms ago")]
    RoutesChanged {
        /// Time since the change, in milliseconds.
        ago_ms: u64,
    },
    /// Several services or versions may have begun the stream, or none.
    #[error("there are {0} services or versions that may have begun the stream")]
    Origins(usize),
}

/// Time since a moment, as a lower bound in milliseconds that was determined at `at`.
#[derive(Debug, Clone, Copy)]
struct Elapsed {
    at: MonoMs,
    ms: u64,
}

impl Elapsed {
    fn ms(self, now: MonoMs) -> u64 {
        self.ms.saturating_add(now.ms_since(self.at))
    }
}

/// What is known of the records since the beginning of the part of the history that was read.
#[derive(Debug)]
struct Known {
    /// Position up to which all changes are known.
    position: u64,
    /// Time for which all changes are known.
    covered: Elapsed,
    /// Time for which the routes have been as they are.
    routes: Elapsed,
    /// Origins of the published endpoints, by key.
    published: HashMap<Arc<str>, Arc<StreamOrigin>>,
    /// Time since an endpoint of each origin was last removed or replaced.
    removed: HashMap<Arc<StreamOrigin>, Elapsed>,
}

impl Known {
    /// Records a change that was made `since` ago.
    fn apply(&mut self, change: &HistoryChange, since: impl FnOnce() -> Elapsed) {
        let previous = match &change.value {
            HistoryValue::Endpoint(endpoint) => {
                let origin = origin_of(endpoint);
                let previous = self.published.insert(change.key.clone(), origin.clone());
                previous.filter(|it| *it != origin)
            }
            HistoryValue::Nothing => self.published.remove(&change.key),
            HistoryValue::Routes => None,
        };
        if let Some(previous) = previous {
            self.removed.insert(previous, since());
        }
    }

    /// Returns the origins of a service that may have sent events within the last `ms`.
    fn origins(&self, service: &str, ms: u64, now: MonoMs) -> BTreeSet<&Arc<StreamOrigin>> {
        let removed = self.removed.iter().filter(|(_, since)| since.ms(now) < ms);
        let origins = self.published.values().chain(removed.map(|(origin, _)| origin));
        origins.filter(|it| *it.service == *service).collect()
    }
}

/// Determines which software version began a stream that no gateway and no holder remembers.
///
/// Handles fleets all of whose processes end at one moment: the store's history outlives them, and shows all
/// endpoints that were published lately, those included that have left since. If all of them are of one version,
/// it began each stream whose endpoint sent an event in this time, since a stream only goes on at its own version.
#[derive(Debug, Default)]
pub struct VersionHistory {
    known: Option<Known>,
}

impl VersionHistory {
    /// Minimum time for which the records have to be known, in milliseconds. A caller may go on with a stream for
    /// longer than the route's timeout, in further attempts.
    pub const MIN_NEEDED_MS: u64 = 15_000;
    /// Time for which gateways may still send requests to an endpoint whose record was removed, in milliseconds.
    pub const REMOVAL_DELAY_MS: u64 = 2_000;
    /// Time for which a version that has left is remembered, in milliseconds.
    const REMOVED_KEPT_MS: u64 = 600_000;

    /// Creates a history of which nothing is known.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the time for which the records have to be known, in milliseconds, if the first attempt of a stream
    /// and all that follow it end within `timeout_ms`.
    pub fn needed_ms(timeout_ms: u64) -> u64 {
        timeout_ms.max(Self::MIN_NEEDED_MS) + Self::REMOVAL_DELAY_MS
    }

    /// Returns the position up to which all changes are known.
    pub fn position(&self) -> Option<u64> {
        self.known.as_ref().map(|it| it.position)
    }

    /// Returns the time for which all changes are known, in milliseconds.
    pub fn covered_ms(&self, now: MonoMs) -> u64 {
        self.known.as_ref().map_or(0, |it| it.covered.ms(now))
    }

    /// Replaces what is known with a part of the history that was received at `now`. `published` are the endpoints
    /// at any moment in this part. Each writes its record every `heartbeat_ms`, or at unknown times if it is zero.
    pub fn record_part<'a>(
        &mut self,
        part: &HistoryPart,
        published: impl Iterator<Item = &'a Endpoint>,
        heartbeat_ms: u64,
        now: MonoMs,
    ) {
        let timeline = Timeline::new(&part.changes, heartbeat_ms);
        let elapsed = |ms| Elapsed { at: now, ms };
        let covered_ms = match timeline.known_from(part.is_whole) {
            Some(index) => timeline.elapsed_ms(index),
            None if part.is_whole => u64::MAX,
            None => 0,
        };
        let routes =
            part.changes.iter().enumerate().filter(|(_, it)| it.value == HistoryValue::Routes);
        let routes: Vec<_> = routes.map(|(index, _)| index).collect();
        let routes_ms = match (routes.as_slice(), part.is_whole) {
            // These are the first routes.
            ([], _) | ([_], true) => covered_ms,
            ([.., last], _) => timeline.elapsed_ms(*last),
        };
        let mut known = Known {
            position: part.position,
            covered: elapsed(covered_ms),
            routes: elapsed(routes_ms),
            published: published
                .filter(|it| !timeline.contains(&it.id))
                .map(|it| (it.id.clone(), origin_of(it)))
                .collect(),
            removed: HashMap::new(),
        };
        for (index, change) in part.changes.iter().enumerate() {
            known.apply(change, || elapsed(timeline.elapsed_ms(index)));
        }
        self.known = Some(known);
    }

    /// Records the changes that followed what is known, received at `now`.
    pub fn record_changes(&mut self, part: &HistoryPart, now: MonoMs) {
        let Some(known) = &mut self.known else { return };
        let just_now = Elapsed { at: now, ms: 0 };
        for change in &part.changes {
            if change.value == HistoryValue::Routes {
                known.routes = just_now;
            }
            known.apply(change, || just_now);
        }
        known.position = part.position;
        known.removed.retain(|_, since| since.ms(now) < Self::REMOVED_KEPT_MS);
    }

    /// Forgets all that is known.
    pub fn clear(&mut self) {
        self.known = None;
    }

    /// Returns the origin of each stream of a service that had events within the last `needed_ms`.
    ///
    /// # Errors
    ///
    /// The records aren't known for that long, or there may have been several origins.
    pub fn only_origin(
        &self,
        service: &str,
        needed_ms: u64,
        now: MonoMs,
    ) -> Result<Arc<StreamOrigin>, Undetermined> {
        let known = self.known.as_ref().ok_or(Undetermined::Unread)?;
        let covered_ms = known.covered.ms(now);
        if covered_ms < needed_ms || needed_ms > Self::REMOVED_KEPT_MS {
            return Err(Undetermined::NotCovered { covered_ms, needed_ms });
        }
        let ago_ms = known.routes.ms(now);
        if ago_ms < needed_ms {
            return Err(Undetermined::RoutesChanged { ago_ms });
        }
        let mut origins = known.origins(service, needed_ms, now).into_iter();
        match (origins.next(), origins.len()) {
            (Some(origin), 0) => Ok(origin.clone()),
            (first, others) => Err(Undetermined::Origins(usize::from(first.is_some()) + others)),
        }
    }
}

/// Order of the writes in a part of the history, from which the time since a change follows.
///
/// The history has no times. But a store that records each write shows endpoints' heartbeats, which come at a known
/// interval.
#[derive(Debug)]
struct Timeline<'a> {
    changes: &'a [HistoryChange],
    /// Indexes of the changes of each record.
    writes: HashMap<&'a str, Vec<usize>>,
    /// Indexes of the heartbeats of each endpoint that was published at the end.
    heartbeats: HashMap<&'a str, Vec<usize>>,
    heartbeat_ms: u64,
}

impl<'a> Timeline<'a> {
    fn new(changes: &'a [HistoryChange], heartbeat_ms: u64) -> Self {
        let mut writes: HashMap<&str, Vec<usize>> = HashMap::new();
        for (index, change) in changes.iter().enumerate() {
            writes.entry(&change.key).or_default().push(index);
        }
        let mut timeline = Self { changes, writes, heartbeats: HashMap::new(), heartbeat_ms };
        let published = timeline
            .writes
            .iter()
            .filter(|(_, of_key)| of_key.last().is_some_and(|it| timeline.endpoint(*it).is_some()));
        let heartbeats = |of_key: &Vec<usize>| {
            let pairs = of_key.windows(2).filter(|pair| timeline.is_heartbeat(pair[0], pair[1]));
            pairs.map(|pair| pair[1]).collect()
        };
        timeline.heartbeats = published.map(|(key, of_key)| (*key, heartbeats(of_key))).collect();
        timeline
    }

    fn contains(&self, key: &str) -> bool {
        self.writes.contains_key(key)
    }

    /// Returns the change from which on all records are known: the last one to a record of which nothing was known
    /// before, or before which writes are missing, since the store has come back from an older copy.
    fn known_from(&self, is_whole: bool) -> Option<usize> {
        let shows_unknown = |of_key: &Vec<usize>| {
            let is_known = |it: &usize| is_whole || self.changes[*it].is_creation;
            let first = of_key.first().copied().filter(|it| !is_known(it));
            let is_gap = |pair: &&[usize]| self.follows_gap(pair[0], pair[1]);
            let last_gap = of_key.windows(2).filter(is_gap).map(|pair| pair[1]).next_back();
            last_gap.or(first)
        };
        self.writes.values().filter_map(shows_unknown).max()
    }

    fn endpoint(&self, index: usize) -> Option<&'a Endpoint> {
        match &self.changes[index].value {
            HistoryValue::Endpoint(endpoint) => Some(endpoint),
            HistoryValue::Routes | HistoryValue::Nothing => None,
        }
    }

    /// Reports whether writes of an endpoint are missing between two successive ones.
    fn follows_gap(&self, earlier: usize, later: usize) -> bool {
        let write = |index| self.endpoint(index).and_then(Endpoint::write);
        write(earlier).zip(write(later)).is_some_and(|((start, earlier), (later_start, later))| {
            start == later_start && later != earlier.saturating_add(1)
        })
    }

    /// Reports whether an endpoint only confirmed its record. Other writes may come at any time.
    fn is_heartbeat(&self, earlier: usize, later: usize) -> bool {
        let content = |index| self.endpoint(index).map(|it| it.clone().with_sequence(None));
        content(earlier).is_some_and(|it| content(later) == Some(it))
    }

    /// Returns a lower bound of the time since a change, in milliseconds: the median of those that the heartbeats
    /// of the endpoints show which were published before and still are.
    fn elapsed_ms(&self, index: usize) -> u64 {
        let lasting = self.heartbeats.iter().filter(|(key, _)| self.writes[*key][0] <= index);
        let later = |of_key: &Vec<usize>| of_key.len() - of_key.partition_point(|it| *it <= index);
        let mut counts: Vec<_> = lasting.map(|(_, of_key)| later(of_key)).collect();
        counts.sort_unstable();
        let intervals = counts.get(counts.len() / 2).map_or(0, |count| count.saturating_sub(1));
        intervals as u64 * self.heartbeat_ms
    }
}

fn origin_of(endpoint: &Endpoint) -> Arc<StreamOrigin> {
    let (service, version) = (endpoint.service.clone(), endpoint.version.clone());
    Arc::new(StreamOrigin { service, version })
}

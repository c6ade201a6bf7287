//! The platform's store, with every content that it has had.

use std::collections::BTreeMap;
use std::sync::Arc;

use persimmon_decide::forward::{StoreEra, StoreRecord};

/// Key of the large record.
pub(crate) const ROUTES: &str = "routes";

type Content = BTreeMap<Arc<str>, StoreRecord>;

#[derive(Debug)]
struct Snapshot {
    content: Content,
    /// Position at which the store last came back from a copy.
    restored_at: u64,
}

#[derive(Debug)]
pub(crate) struct Store {
    era: StoreEra,
    revision: u64,
    restored_at: u64,
    content: Content,
    /// Changes of this era's history, in order.
    log: Vec<StoreRecord>,
    snapshots: BTreeMap<u64, Snapshot>,
    /// Lines of the large record, and all of its values.
    routes: Vec<String>,
    route_bytes: usize,
    versions: Vec<Vec<u8>>,
    /// Times of the changes, each with the position after it.
    pub(crate) changes: Vec<(u64, u64)>,
}

impl Store {
    /// Creates a store whose large record has this number of routes, of `route_bytes` each.
    pub(crate) fn new(routes: usize, route_bytes: usize) -> Self {
        let mut store = Self {
            era: StoreEra::default(),
            revision: 0,
            restored_at: 0,
            content: Content::new(),
            log: Vec::new(),
            snapshots: BTreeMap::new(),
            routes: (0..routes).map(|it| line(it, 0, route_bytes)).collect(),
            route_bytes,
            versions: Vec::new(),
            changes: Vec::new(),
        };
        store.write_routes(0..0, 0);
        (0..8).for_each(|it| store.write(it, Some(it as u64), 0));
        store
    }

    pub(crate) fn position(&self) -> u64 {
        self.era.position(self.revision)
    }

    /// Replaces or adds the routes in the range, and writes the large record.
    pub(crate) fn write_routes(&mut self, range: std::ops::Range<usize>, now: u64) {
        let version = self.versions.len();
        self.routes.resize(self.routes.len().max(range.end), String::new());
        for number in range {
            self.routes[number] = line(number, version, self.route_bytes);
        }
        let text = format!("version {version}\n{}", self.routes.concat());
        self.versions.push(text.clone().into_bytes());
        self.put(ROUTES.into(), Some(text.into_bytes()), now);
    }

    /// Writes or removes a small record.
    pub(crate) fn write(&mut self, number: usize, value: Option<u64>, now: u64) {
        let value = value.map(|it| it.to_le_bytes().repeat(8));
        self.put(format!("small-{number}").into(), value, now);
    }

    fn put(&mut self, key: Arc<str>, value: Option<Vec<u8>>, now: u64) {
        if value.is_none() && !self.content.contains_key(&key) {
            return;
        }
        self.revision += 1;
        let record = StoreRecord { key: key.clone(), revision: self.position(), value };
        self.log.push(record.clone());
        match record.value {
            Some(_) => self.content.insert(key, record),
            None => self.content.remove(&key),
        };
        self.record_change(now);
    }

    /// Comes back from the copy made `changes` before.
    pub(crate) fn restore(&mut self, changes: u64, now: u64) {
        let at =
            self.revision.saturating_sub(changes).max(StoreEra::revision(self.restored_at)).max(1);
        let Some(copy) = self.snapshots.get(&self.era.position(at)) else { return };
        self.era.0 += 1;
        let position = |it: u64| self.era.position(StoreEra::revision(it));
        self.content = copy.content.clone();
        self.content.values_mut().for_each(|it| it.revision = position(it.revision));
        self.log.clear();
        self.revision = at;
        self.restored_at = self.position();
        self.record_change(now);
    }

    fn record_change(&mut self, now: u64) {
        let snapshot = Snapshot { content: self.content.clone(), restored_at: self.restored_at };
        self.snapshots.insert(self.position(), snapshot);
        self.changes.push((now, self.position()));
    }

    /// Returns all records.
    pub(crate) fn list(&self) -> Vec<StoreRecord> {
        self.content.values().cloned().collect()
    }

    /// Returns the changes after a position; none if the store has come back from a copy since.
    pub(crate) fn changes_since(&self, position: u64) -> Option<Vec<StoreRecord>> {
        let is_known = StoreEra::of(position) == self.era;
        let later = self.log.iter().filter(|it| it.revision > position);
        is_known.then(|| later.cloned().collect())
    }

    /// Compares what a gateway has at a position with what the store had there. Gateways keep routes that a
    /// store has lost until they are written again.
    pub(crate) fn check(&self, position: u64, records: &[StoreRecord]) -> Result<(), String> {
        let Some(snapshot) = self.snapshots.get(&position) else {
            return Err(format!("position {position} never was the store's"));
        };
        let keys = |it: &StoreRecord| it.key.clone();
        let (had, has): (Vec<_>, Vec<_>) =
            (snapshot.content.keys().cloned().collect(), records.iter().map(keys).collect());
        if had != has {
            return Err(format!("at {position}: {has:?} in place of {had:?}"));
        }
        for record in records {
            let expected = &snapshot.content[&record.key];
            let number = |value: &Option<Vec<u8>>| {
                self.versions.iter().position(|it| Some(it) == value.as_ref())
            };
            let may_keep = &*record.key == ROUTES
                && expected.revision <= snapshot.restored_at
                && number(&record.value) >= number(&expected.value);
            if record.revision != expected.revision || record.value != expected.value && !may_keep {
                return Err(format!("at {position}: another value of {}", record.key));
            }
        }
        Ok(())
    }
}

/// Returns a line of `bytes` that no other route and no other version of it shares.
fn line(route: usize, version: usize, bytes: usize) -> String {
    let mut text = String::with_capacity(bytes + 16);
    let mut state = (route * 1_000_003 + version) as u64;
    while text.len() < bytes {
        state = state.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        text += &format!("{state:016x}");
    }
    text.truncate(bytes - 1);
    text + "\n"
}

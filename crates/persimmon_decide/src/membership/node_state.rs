//! The newest known state of one node.

use super::{DigestEntry, NodeId};
use crate::{Incarnation, MonoMs};

/// The effect of merging one entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Change {
    Nothing,
    Refreshed,
    Left,
    /// A newer incarnation, which isn't leaving, replaced one that was.
    Returned,
    Suspected,
}

/// The newest known state of a node. Merging is commutative and idempotent, so digests may be
/// lost, duplicated and reordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct NodeState {
    pub(super) incarnation: Incarnation,
    pub(super) beat: u32,
    pub(super) work: u32,
    pub(super) measured_at: MonoMs,
    pub(super) leaving: bool,
    pub(super) suspected: bool,
}

impl NodeState {
    pub(super) fn of(entry: &DigestEntry, now: MonoMs) -> Self {
        Self {
            incarnation: entry.incarnation,
            beat: entry.beat,
            work: entry.work,
            measured_at: MonoMs(now.0.saturating_sub(entry.age_ms())),
            leaving: entry.leaving,
            suspected: entry.suspected,
        }
    }

    pub(super) fn merge(&mut self, other: Self) -> Change {
        if other.incarnation < self.incarnation {
            return Change::Nothing;
        }
        if other.incarnation > self.incarnation {
            let has_returned = self.leaving && !other.leaving;
            *self = other;
            return if has_returned { Change::Returned } else { self.initial_change() };
        }
        let before = *self;
        self.leaving |= other.leaving;
        self.suspected = match other.beat.cmp(&self.beat) {
            std::cmp::Ordering::Less => self.suspected,
            std::cmp::Ordering::Equal => self.suspected || other.suspected,
            std::cmp::Ordering::Greater => other.suspected,
        };
        self.beat = self.beat.max(other.beat);
        if other.measured_at > self.measured_at {
            self.work = other.work;
            self.measured_at = other.measured_at;
        }
        match before {
            before if self.leaving && !before.leaving => Change::Left,
            before if self.suspected && !before.suspected => Change::Suspected,
            before if *self != before => Change::Refreshed,
            _ => Change::Nothing,
        }
    }

    pub(super) fn initial_change(&self) -> Change {
        match (self.leaving, self.suspected) {
            (true, _) => Change::Left,
            (false, true) => Change::Suspected,
            (false, false) => Change::Refreshed,
        }
    }

    pub(super) fn entry(&self, node: NodeId, now: MonoMs) -> DigestEntry {
        DigestEntry {
            node,
            incarnation: self.incarnation,
            beat: self.beat,
            work: self.work,
            age: DigestEntry::age_from_ms(now.ms_since(self.measured_at)),
            leaving: self.leaving,
            suspected: self.suspected,
        }
    }
}

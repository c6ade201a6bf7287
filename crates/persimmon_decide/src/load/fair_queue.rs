//! Deficit round robin over workspaces.

use std::collections::{BTreeMap, VecDeque};

use persimmon_records::WorkspaceName;
use slotmap::{SlotMap, new_key_type};

use super::{AdmittedKey, Work};
use crate::MonoMs;

new_key_type! {
    /// Identifies a workspace with queued requests in one [`FairQueue`].
    pub struct WorkspaceKey;
}

/// A queued request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Key of the request.
    pub key: AdmittedKey,
    /// Estimated work of the request.
    pub work: Work,
    /// Time at which the request was queued.
    pub since: MonoMs,
    /// Latest time at which the request may start, if it has a deadline.
    pub deadline: Option<MonoMs>,
}

#[derive(Debug)]
struct Lane {
    workspace: WorkspaceName,
    queue: VecDeque<QueuedRequest>,
    deficit: Work,
}

/// The queued requests of one class. Workspaces take turns of equal work, so that a workspace with
/// many or long requests doesn't delay others. The queue itself has no length limit; its owner
/// applies one.
#[derive(Debug, Default)]
pub struct FairQueue {
    lanes: SlotMap<WorkspaceKey, Lane>,
    by_name: BTreeMap<WorkspaceName, WorkspaceKey>,
    turns: VecDeque<WorkspaceKey>,
    len: usize,
    work: Work,
}

impl FairQueue {
    /// Work that a workspace may start per turn.
    pub const QUANTUM: Work = Work(256);

    /// Appends a request to its workspace's lane.
    pub fn push(&mut self, workspace: &WorkspaceName, queued: QueuedRequest) {
        let known = self.by_name.get(workspace).copied();
        let key = known.unwrap_or_else(|| self.add_lane(workspace));
        self.lanes[key].queue.push_back(queued);
        self.len += 1;
        self.work += queued.work;
    }

    /// Removes and returns the next request by deficit round robin.
    pub fn pop(&mut self) -> Option<QueuedRequest> {
        loop {
            let key = *self.turns.front()?;
            let lane = &mut self.lanes[key];
            let head = *lane.queue.front()?;
            if lane.deficit >= head.work {
                lane.deficit = lane.deficit.saturating_sub(head.work);
                return self.take_head(key);
            }
            lane.deficit += Self::QUANTUM;
            self.turns.rotate_left(1);
        }
    }

    /// Removes and returns the oldest request if it was queued at `before` or earlier.
    pub fn pop_older_than(&mut self, before: MonoMs) -> Option<QueuedRequest> {
        let oldest = self.oldest()?;
        let key = *self.turns.iter().find(|key| {
            self.lanes[**key].queue.front().is_some_and(|head| head.key == oldest.key)
        })?;
        if oldest.since > before {
            return None;
        }
        self.take_head(key)
    }

    /// Returns the oldest request.
    pub fn oldest(&self) -> Option<QueuedRequest> {
        self.lanes.values().filter_map(|lane| lane.queue.front()).min_by_key(|q| q.since).copied()
    }

    /// Removes and returns every request for which `matches` returns true.
    pub fn remove_where(
        &mut self,
        mut matches: impl FnMut(&QueuedRequest) -> bool,
    ) -> Vec<QueuedRequest> {
        let mut removed = Vec::new();
        for lane in self.lanes.values_mut() {
            lane.queue.retain(|queued| {
                let is_removed = matches(queued);
                if is_removed {
                    removed.push(*queued);
                }
                !is_removed
            });
        }
        for queued in &removed {
            self.len -= 1;
            self.work = self.work.saturating_sub(queued.work);
        }
        self.drop_empty_lanes();
        removed
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Reports whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the total work of the queued requests.
    pub fn work(&self) -> Work {
        self.work
    }

    fn add_lane(&mut self, workspace: &WorkspaceName) -> WorkspaceKey {
        let lane =
            Lane { workspace: workspace.clone(), queue: VecDeque::new(), deficit: Work::ZERO };
        let key = self.lanes.insert(lane);
        self.by_name.insert(workspace.clone(), key);
        self.turns.push_back(key);
        key
    }

    fn take_head(&mut self, key: WorkspaceKey) -> Option<QueuedRequest> {
        let queued = self.lanes[key].queue.pop_front()?;
        self.len -= 1;
        self.work = self.work.saturating_sub(queued.work);
        if self.lanes[key].queue.is_empty() {
            self.drop_empty_lanes();
        }
        Some(queued)
    }

    /// Removes empty lanes with their deficits, so that an idle workspace can't accumulate turns.
    fn drop_empty_lanes(&mut self) {
        let by_name = &mut self.by_name;
        self.lanes.retain(|_, lane| {
            let kept = !lane.queue.is_empty();
            if !kept {
                by_name.remove(&lane.workspace);
            }
            kept
        });
        let lanes = &self.lanes;
        self.turns.retain(|key| lanes.contains_key(*key));
    }
}

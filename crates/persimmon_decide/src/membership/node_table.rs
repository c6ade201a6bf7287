//! A bounded table of the known state of all nodes.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::ops::Bound::{Excluded, Unbounded};

use super::node_state::{Change, NodeState};
use super::{DigestEntry, GroupId, NodeId};
use crate::MonoMs;

#[derive(Debug, Clone, Copy)]
pub(super) struct Node {
    pub(super) group: Option<GroupId>,
    pub(super) state: Option<NodeState>,
    /// Number of digests that will still contain the node's last change ahead of other entries.
    priority_sends_left: u8,
    is_listed: bool,
    pub(super) is_listed_leaving: bool,
    updated_at: MonoMs,
}

/// A node's entry in the VM list.
#[derive(Debug, Clone, Copy)]
pub(super) struct ListedNode {
    pub(super) id: NodeId,
    pub(super) group: Option<GroupId>,
    pub(super) is_leaving: bool,
}

/// Nodes by id.
#[derive(Debug, Default)]
pub(super) struct NodeTable {
    nodes: BTreeMap<NodeId, Node>,
    /// The leaving node that [`Self::next_repeated`] returned last.
    last_repeated: Option<NodeId>,
}

impl NodeTable {
    /// Maximum number of nodes in the table: twice the largest planned fleet.
    pub(super) const MAX_NODES: usize = 8_192;
    /// Number of digests that contain a change ahead of other entries: three times the base-2
    /// logarithm of the largest planned fleet, so that the change reaches practically every node.
    const PRIORITY_SENDS: u8 = 36;

    pub(super) fn get(&self, node: NodeId) -> Option<&Node> {
        self.nodes.get(&node)
    }

    pub(super) fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Applies a new VM list: updates the listed nodes, and removes the nodes that the list lacks
    /// and that no digest or reply has updated since `since`.
    pub(super) fn apply_list(
        &mut self,
        listed: impl Iterator<Item = ListedNode>,
        since: MonoMs,
        now: MonoMs,
    ) {
        for node in self.nodes.values_mut() {
            node.is_listed = false;
            node.is_listed_leaving = false;
        }
        for ListedNode { id, group, is_leaving } in listed {
            if let Some(node) = self.entry(id, now) {
                node.is_listed = true;
                node.is_listed_leaving = is_leaving;
                node.group = group;
            }
        }
        self.nodes.retain(|_, node| node.is_listed || node.updated_at >= since);
    }

    /// Merges a node's state into the table and returns the effect. Ignores an unknown node if the
    /// table is full.
    pub(super) fn merge(&mut self, id: NodeId, state: NodeState, now: MonoMs) -> Change {
        let Some(node) = self.entry(id, now) else { return Change::Nothing };
        let change = match &mut node.state {
            Some(known) => known.merge(state),
            None => {
                node.state = Some(state);
                state.initial_change()
            }
        };
        if change != Change::Nothing {
            node.updated_at = now;
        }
        if matches!(change, Change::Left | Change::Returned | Change::Suspected) {
            node.priority_sends_left = Self::PRIORITY_SENDS;
        }
        change
    }

    /// Selects the entries of a digest in this order: nodes with recent changes (those sent fewer
    /// than [`Self::PRIORITY_SENDS`] times), one leaving node whose change is no longer recent,
    /// loads of `group`, loads of other endpoints; each newest first. Changes take at most half of
    /// `max_entries` if the loads can fill the other half.
    ///
    /// Repeating one older departure per digest spreads the departures of each side of a healed
    /// partition to the other side: a node to which one is new forwards it as a recent change.
    pub(super) fn select_entries(
        &mut self,
        group: Option<GroupId>,
        max_entries: usize,
        now: MonoMs,
    ) -> Vec<DigestEntry> {
        let mut changes = Vec::new();
        let mut loads = Vec::new();
        for (id, node) in &self.nodes {
            let Some(state) = node.state else { continue };
            let is_near = group.is_some() && node.group == group;
            if node.priority_sends_left > 0 {
                changes.push((Reverse(node.priority_sends_left), Reverse(state.measured_at), *id));
            } else if !state.leaving && node.group != Some(GroupId::ROUTERS) {
                loads.push((Reverse(is_near), Reverse(state.measured_at), *id));
            }
        }
        let max_changes = max_entries - loads.len().min(max_entries / 2);
        keep_smallest(&mut changes, max_changes);
        for (.., id) in &changes {
            self.nodes.get_mut(id).expect("selected from the table").priority_sends_left -= 1;
        }
        let mut ids: Vec<_> = changes.into_iter().map(|(.., id)| id).collect();
        if ids.len() < max_entries {
            ids.extend(self.next_repeated());
        }
        keep_smallest(&mut loads, max_entries - ids.len());
        ids.extend(loads.into_iter().map(|(.., id)| id));
        ids.into_iter().filter_map(|id| Some(self.nodes[&id].state?.entry(id, now))).collect()
    }

    /// Returns the next leaving node, in round-robin order, whose change is no longer recent.
    fn next_repeated(&mut self) -> Option<NodeId> {
        let is_candidate = |node: &Node| {
            node.priority_sends_left == 0 && node.state.is_some_and(|state| state.leaving)
        };
        let after = (Excluded(self.last_repeated.unwrap_or(NodeId(0))), Unbounded);
        let rest = self.nodes.range(after).chain(self.nodes.iter());
        self.last_repeated = rest.filter(|(_, node)| is_candidate(node)).map(|(id, _)| *id).next();
        self.last_repeated
    }

    fn entry(&mut self, id: NodeId, now: MonoMs) -> Option<&mut Node> {
        let is_full = self.nodes.len() >= Self::MAX_NODES;
        if is_full && !self.nodes.contains_key(&id) {
            return None;
        }
        let fresh = Node {
            group: None,
            state: None,
            priority_sends_left: 0,
            is_listed: false,
            is_listed_leaving: false,
            updated_at: now,
        };
        Some(self.nodes.entry(id).or_insert(fresh))
    }
}

fn keep_smallest<T: Ord>(items: &mut Vec<T>, count: usize) {
    if count < items.len() {
        items.select_nth_unstable(count);
        items.truncate(count);
    }
    items.sort_unstable();
}

//! Everything known of other nodes, in a bounded table.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::ops::Bound::{Excluded, Unbounded};

use super::mark::{Change, Mark};
use super::{DigestEntry, GroupId, NodeId};
use crate::MonoMs;

#[derive(Debug, Clone, Copy)]
pub(super) struct Node {
    pub(super) group: Option<GroupId>,
    pub(super) mark: Option<Mark>,
    /// Digests that still carry the last change ahead of other entries.
    tells_left: u8,
    is_listed: bool,
    pub(super) is_listed_leaving: bool,
    heard_at: MonoMs,
}

/// What the VM list says of one node.
#[derive(Debug, Clone, Copy)]
pub(super) struct Listed {
    pub(super) id: NodeId,
    pub(super) group: Option<GroupId>,
    pub(super) is_leaving: bool,
}

/// Nodes by id.
#[derive(Debug, Default)]
pub(super) struct NodeTable {
    nodes: BTreeMap<NodeId, Node>,
    /// The leaving node that was last told again.
    told_again: Option<NodeId>,
}

impl NodeTable {
    /// Nodes held. Twice the largest fleet planned for.
    pub(super) const MAX_NODES: usize = 8_192;
    /// Digests that carry a change ahead of other entries: three times the base-2 logarithm of the
    /// largest fleet planned for, which leaves next to nobody uninformed.
    const TELLS: u8 = 36;

    pub(super) fn get(&self, node: NodeId) -> Option<&Node> {
        self.nodes.get(&node)
    }

    pub(super) fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Marks exactly `listed` as listed, with their groups, and drops nodes that are neither listed
    /// nor were heard of since `since`.
    pub(super) fn follow_list(
        &mut self,
        listed: impl Iterator<Item = Listed>,
        since: MonoMs,
        now: MonoMs,
    ) {
        for node in self.nodes.values_mut() {
            node.is_listed = false;
            node.is_listed_leaving = false;
        }
        for Listed { id, group, is_leaving } in listed {
            if let Some(node) = self.entry(id, now) {
                node.is_listed = true;
                node.is_listed_leaving = is_leaving;
                node.group = group;
            }
        }
        self.nodes.retain(|_, node| node.is_listed || node.heard_at >= since);
    }

    /// Merges one mark. Returns what it changed.
    pub(super) fn absorb(&mut self, id: NodeId, mark: Mark, now: MonoMs) -> Change {
        let Some(node) = self.entry(id, now) else { return Change::Nothing };
        let change = match &mut node.mark {
            Some(held) => held.absorb(mark),
            None => {
                node.mark = Some(mark);
                mark.first_change()
            }
        };
        if change != Change::Nothing {
            node.heard_at = now;
        }
        if matches!(change, Change::Left | Change::Returned | Change::Suspected) {
            node.tells_left = Self::TELLS;
        }
        change
    }

    /// Entries for a digest: changes first, then one leaving node whose change has been told enough,
    /// then loads of `group`, then of other endpoints, each newest first. Half of the places are kept from
    /// changes for loads when there are more changes than that.
    ///
    /// The one that is told again lets both sides of a partition learn what the other side went
    /// through: whoever didn't know it passes it on as a change.
    pub(super) fn pick(
        &mut self,
        group: Option<GroupId>,
        places: usize,
        now: MonoMs,
    ) -> Vec<DigestEntry> {
        let mut changes = Vec::new();
        let mut loads = Vec::new();
        for (id, node) in &self.nodes {
            let Some(mark) = node.mark else { continue };
            let is_near = group.is_some() && node.group == group;
            if node.tells_left > 0 {
                changes.push((Reverse(node.tells_left), Reverse(mark.measured_at), *id));
            } else if !mark.leaving && node.group != Some(GroupId::ROUTERS) {
                loads.push((Reverse(is_near), Reverse(mark.measured_at), *id));
            }
        }
        let change_places = places - loads.len().min(places / 2);
        keep_first(&mut changes, change_places);
        for (.., id) in &changes {
            self.nodes.get_mut(id).expect("picked from the table").tells_left -= 1;
        }
        let mut ids: Vec<_> = changes.into_iter().map(|(.., id)| id).collect();
        if ids.len() < places {
            ids.extend(self.next_told_again());
        }
        keep_first(&mut loads, places - ids.len());
        ids.extend(loads.into_iter().map(|(.., id)| id));
        ids.into_iter().filter_map(|id| Some(self.nodes[&id].mark?.entry(id, now))).collect()
    }

    /// The next leaving node in turn, of those whose change has been told enough.
    fn next_told_again(&mut self) -> Option<NodeId> {
        let is_told = |node: &Node| node.tells_left == 0 && node.mark.is_some_and(|m| m.leaving);
        let after = (Excluded(self.told_again.unwrap_or(NodeId(0))), Unbounded);
        let rest = self.nodes.range(after).chain(self.nodes.iter());
        self.told_again = rest.filter(|(_, node)| is_told(node)).map(|(id, _)| *id).next();
        self.told_again
    }

    fn entry(&mut self, id: NodeId, now: MonoMs) -> Option<&mut Node> {
        let is_full = self.nodes.len() >= Self::MAX_NODES;
        if is_full && !self.nodes.contains_key(&id) {
            return None;
        }
        let fresh = Node {
            group: None,
            mark: None,
            tells_left: 0,
            is_listed: false,
            is_listed_leaving: false,
            heard_at: now,
        };
        Some(self.nodes.entry(id).or_insert(fresh))
    }
}

fn keep_first<T: Ord>(items: &mut Vec<T>, count: usize) {
    if count < items.len() {
        items.select_nth_unstable(count);
        items.truncate(count);
    }
    items.sort_unstable();
}

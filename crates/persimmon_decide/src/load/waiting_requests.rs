//! Queued requests of every class.

use persimmon_records::Class;

use super::{AdmittedKey, FairQueue, QueuedRequest, Work};
use crate::MonoMs;

/// The queues of all classes.
#[derive(Debug, Default)]
pub(super) struct WaitingRequests {
    quick: FairQueue,
    conversation: FairQueue,
    drafting: FairQueue,
}

impl WaitingRequests {
    pub(super) fn of(&mut self, class: Class) -> &mut FairQueue {
        match class {
            Class::Quick => &mut self.quick,
            Class::Conversation => &mut self.conversation,
            Class::Drafting => &mut self.drafting,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.quick.len() + self.conversation.len() + self.drafting.len()
    }

    /// Returns the work that runs before a new request of `class`.
    pub(super) fn work_before(&self, class: Class) -> Work {
        match class {
            Class::Quick => self.quick.work(),
            Class::Conversation => self.quick.work() + self.conversation.work(),
            Class::Drafting => self.quick.work() + self.conversation.work() + self.drafting.work(),
        }
    }

    /// Removes and returns the requests whose deadline has passed.
    pub(super) fn remove_expired(&mut self, now: MonoMs) -> Vec<AdmittedKey> {
        let expired =
            |queued: &QueuedRequest| queued.deadline.is_some_and(|deadline| deadline <= now);
        let mut removed = Vec::new();
        for class in Class::ALL {
            removed
                .extend(self.of(class).remove_where(expired).into_iter().map(|queued| queued.key));
        }
        removed
    }

    /// Removes and returns the oldest conversation or drafting request if it was queued at `before`
    /// or earlier.
    pub(super) fn pop_older_than(&mut self, before: MonoMs) -> Option<QueuedRequest> {
        let conversation = self.conversation.oldest().map(|queued| queued.since);
        let drafting = self.drafting.oldest().map(|queued| queued.since);
        let draft_is_older = match (conversation, drafting) {
            (Some(conversation), Some(drafting)) => drafting <= conversation,
            (conversation, _) => conversation.is_none(),
        };
        let queue = if draft_is_older { &mut self.drafting } else { &mut self.conversation };
        queue.pop_older_than(before)
    }
}

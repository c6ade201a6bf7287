//! Retained answers and the routers subscribed to them.

use persimmon_decide::outcome::{FrameId, LedgerKey, Refusal, StreamEnd};
use persimmon_decide::{MonoMs, Offset};
use persimmon_wire::Refused;

use super::super::command::FrameTx;
use super::super::subscriber::{FeedResult, Subscriber};
use super::{Runs, refuse};

impl Runs {
    pub(super) fn finish_output(&mut self, key: LedgerKey, end: StreamEnd, now: MonoMs) {
        if let Some(output) = self.outputs.get_mut(key) {
            output.finish(end, now);
        }
        self.feed(key);
    }

    pub(super) fn subscribe(
        &mut self,
        key: LedgerKey,
        id: FrameId,
        frames: FrameTx,
        next: Offset,
    ) -> Result<(), Refused> {
        let is_retained =
            self.outputs.get(key).is_some_and(|output| output.read_from(next).is_ok());
        if !is_retained {
            return Err(refuse(Refusal::AnswerNotKept));
        }
        let subscriber = Subscriber::new(id, frames, next);
        self.subscribers.insert(key, subscriber);
        self.feed(key);
        Ok(())
    }

    /// Sends pending frames to the subscriber, and removes the subscriber once it is done.
    pub(super) fn feed(&mut self, key: LedgerKey) {
        let Some(subscriber) = self.subscribers.get_mut(&key) else { return };
        let result = match self.outputs.get(key) {
            Some(output) => subscriber.feed(output),
            None => FeedResult::Gone,
        };
        if result != FeedResult::Waiting {
            self.subscribers.remove(&key);
        }
    }
}

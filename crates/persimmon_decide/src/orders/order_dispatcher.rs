//! Dispatch of orders to an engine.

use std::collections::VecDeque;

use persimmon_records::{Fencing, Generation};
use thiserror::Error;

use super::{EngineState, Fence, Order, OrderSettings};
use crate::{Incarnation, MonoMs};

/// An order to send now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dispatch {
    /// Fencing number to send with the order.
    pub fence: Fence,
    /// Order to send.
    pub order: Order,
    /// Time from which the order must not be sent any more. Check [`Self::may_send`] immediately
    /// before writing the order to the open connection.
    pub send_before: MonoMs,
}

impl Dispatch {
    /// Reports whether the order may still be sent.
    pub fn may_send(&self, now: MonoMs) -> bool {
        now < self.send_before
    }
}

/// Result of sending an order to the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderReply {
    /// The engine executed the order.
    Done,
    /// The engine refused the order because it has seen a higher fence.
    StaleFence,
    /// The order wasn't sent, or no reply arrived. The engine may or may not have executed it.
    Unknown,
}

/// Reason for refusing a submitted order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum OrderRefusal {
    /// The order belongs to an earlier generation than the latest accepted order.
    #[error(
        "the order belongs to generation {submitted}, but generation {latest} is in force; drop the order"
    )]
    StaleGeneration {
        /// Generation of the refused order.
        submitted: Generation,
        /// Latest generation of accepted orders.
        latest: Generation,
    },
    /// The queue of orders is full.
    #[error("the queue is full with {waiting} orders; retry after the engine has executed some")]
    Full {
        /// Number of queued orders.
        waiting: usize,
    },
    /// The engine has seen orders of a newer sidecar.
    #[error("the engine obeys a newer sidecar; stop this one")]
    Superseded,
}

/// Status of the dispatcher, for status reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderStatus {
    /// No order is queued.
    Idle,
    /// Queued orders wait until no order of an earlier incarnation can reach the engine.
    QuietUntil(MonoMs),
    /// Orders are queued.
    Waiting,
    /// An order was sent and its reply is outstanding.
    Sent,
    /// The engine obeys a newer sidecar; this one sends no more orders.
    Superseded,
}

/// Sends an engine its orders, one at a time, from its sidecar.
///
/// An engine that refuses outdated fences needs no further protection. For an engine that ignores
/// fences, three rules ensure that only one sidecar sends orders: only one sidecar can bind the
/// port, it sends nothing until every order of an earlier incarnation has expired, and it drops an
/// order that is late. The same rules protect an engine that doesn't check who sends orders; there,
/// [`Self::drift`] reveals orders from other senders.
///
/// ```
/// use persimmon_decide::orders::{Order, OrderDispatcher, OrderSettings};
/// use persimmon_decide::{Incarnation, MonoMs};
/// use persimmon_records::{Fencing, Generation};
///
/// let settings = OrderSettings::default();
/// let mut dispatcher = OrderDispatcher::new(settings, Fencing::Ignores, Incarnation(1), MonoMs(0));
/// dispatcher.submit(Order::LoadModel("chat-large".into()), Generation(1)).unwrap();
/// assert!(dispatcher.next(MonoMs(0)).is_none(), "an earlier incarnation's order may be in flight");
/// let order = dispatcher.next(MonoMs(settings.quiet_ms())).unwrap();
/// assert!(order.may_send(MonoMs(settings.quiet_ms())));
/// ```
#[derive(Debug)]
pub struct OrderDispatcher {
    settings: OrderSettings,
    fencing: Fencing,
    incarnation: Incarnation,
    started_at: MonoMs,
    latest: Generation,
    waiting: VecDeque<OrderEntry>,
    sent: Option<OrderEntry>,
    superseded_at: Option<Generation>,
    ordered: EngineState,
    ordered_any: bool,
}

/// An order that is queued or was sent, with the generation of the records that require it.
#[derive(Debug, Clone, PartialEq, Eq)]
struct OrderEntry {
    order: Order,
    generation: Generation,
}

impl OrderDispatcher {
    /// Maximum number of queued orders.
    pub const MAX_WAITING: usize = 16;

    /// Creates the dispatcher of a sidecar that starts now and has bound its port.
    pub fn new(
        settings: OrderSettings,
        fencing: Fencing,
        incarnation: Incarnation,
        now: MonoMs,
    ) -> Self {
        Self {
            settings,
            fencing,
            incarnation,
            started_at: now,
            latest: Generation::default(),
            waiting: VecDeque::new(),
            sent: None,
            superseded_at: None,
            ordered: EngineState::default(),
            ordered_any: false,
        }
    }

    /// Queues an order that records of this generation require. It replaces queued orders that it
    /// makes pointless.
    ///
    /// # Errors
    ///
    /// Returns an [`OrderRefusal`] if the order is outdated, the queue is full or another sidecar
    /// has taken over.
    pub fn submit(&mut self, order: Order, generation: Generation) -> Result<(), OrderRefusal> {
        if generation < self.latest {
            return Err(OrderRefusal::StaleGeneration {
                submitted: generation,
                latest: self.latest,
            });
        }
        if self.superseded_at.is_some() {
            return Err(OrderRefusal::Superseded);
        }
        self.latest = generation;
        self.waiting.retain(|waiting| !waiting.order.is_superseded_by(&order));
        if self.waiting.len() >= Self::MAX_WAITING {
            return Err(OrderRefusal::Full { waiting: self.waiting.len() });
        }
        self.waiting.push_back(OrderEntry { order, generation });
        Ok(())
    }

    /// Returns the next order to send, if one may be sent now. The previous one must have been
    /// answered.
    pub fn next(&mut self, now: MonoMs) -> Option<Dispatch> {
        let may_send = self.superseded_at.is_none() && self.sent.is_none();
        if !may_send || self.quiet_until().is_some_and(|until| now < until) {
            return None;
        }
        let next = self.waiting.pop_front()?;
        let dispatch = Dispatch {
            fence: Fence { generation: self.latest, incarnation: self.incarnation },
            order: next.order.clone(),
            send_before: now.plus_ms(self.settings.ttl_ms),
        };
        self.sent = Some(next);
        Some(dispatch)
    }

    /// Records the result of the order that was sent. An order without a reply is sent again unless
    /// a newer one replaces it: executing an order twice has the same effect as once.
    pub fn answered(&mut self, reply: OrderReply) {
        let Some(sent) = self.sent.take() else { return };
        match reply {
            OrderReply::Done => {
                self.ordered.apply(&sent.order);
                self.ordered_any = true;
            }
            OrderReply::StaleFence => {
                self.superseded_at = Some(self.latest);
                self.waiting.clear();
            }
            OrderReply::Unknown => self.requeue(sent),
        }
    }

    /// Returns the status of the dispatcher.
    pub fn status(&self, now: MonoMs) -> OrderStatus {
        if self.superseded_at.is_some() {
            return OrderStatus::Superseded;
        }
        if self.sent.is_some() {
            return OrderStatus::Sent;
        }
        if self.waiting.is_empty() {
            return OrderStatus::Idle;
        }
        match self.quiet_until() {
            Some(until) if now < until => OrderStatus::QuietUntil(until),
            _ => OrderStatus::Waiting,
        }
    }

    /// Returns the state that this sidecar ordered if the engine's state differs from it, because
    /// another sender gave orders or the engine restarted. Returns `None` while orders are queued
    /// or sent, and before the first has been executed.
    pub fn drift(&self, engine: &EngineState) -> Option<&EngineState> {
        let is_settled = self.ordered_any && self.sent.is_none() && self.waiting.is_empty();
        (is_settled && *engine != self.ordered).then_some(&self.ordered)
    }

    fn quiet_until(&self) -> Option<MonoMs> {
        match self.fencing {
            Fencing::Refuses => None,
            Fencing::Ignores => Some(self.started_at.plus_ms(self.settings.quiet_ms())),
        }
    }

    fn requeue(&mut self, sent: OrderEntry) {
        let is_superseded =
            self.waiting.iter().any(|waiting| sent.order.is_superseded_by(&waiting.order));
        if !is_superseded {
            self.waiting.push_front(sent);
        }
    }
}

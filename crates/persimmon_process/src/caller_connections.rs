//! The open connections of callers, and those that give way to new ones.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use persimmon_decide::MonoMs;
use persimmon_decide::forward::{CallerActivity, OpenConnection, Shutdown, connection_to_close};
use slotmap::{SlotMap, new_key_type};
use tokio::sync::Notify;

use crate::{BodyBuffers, CallerConnection};

/// Minimum factor by which receive windows grow. They shrink by half at once, so that they don't change with
/// each connection that is opened or closed.
const GROWTH_FACTOR: usize = 4;

new_key_type! {
    /// Key of a connection in [`CallerConnections`].
    pub struct ConnectionKey;
}

/// The open connections of callers that one thread serves.
#[derive(Debug)]
pub struct CallerConnections {
    bodies: Rc<BodyBuffers>,
    open: RefCell<SlotMap<ConnectionKey, Rc<CallerConnection>>>,
    /// Receive window of each connection, in bytes.
    window_bytes: Cell<usize>,
    /// Notified when a connection has been closed.
    closed: Notify,
}

impl CallerConnections {
    /// Creates a set without connections. `bodies` holds the bodies of their requests.
    pub fn new(bodies: Rc<BodyBuffers>) -> Self {
        let window_bytes = Cell::new(bodies.receive_window_bytes());
        Self { bodies, open: RefCell::default(), window_bytes, closed: Notify::new() }
    }

    /// Adds a connection.
    pub fn insert(&self, connection: &Rc<CallerConnection>) -> ConnectionKey {
        let key = self.open.borrow_mut().insert(connection.clone());
        self.record_len();
        connection.set_window(self.window_bytes.get());
        key
    }

    /// Removes a connection that has been closed.
    pub fn remove(&self, key: ConnectionKey) {
        self.open.borrow_mut().remove(key);
        self.record_len();
        self.closed.notify_one();
    }

    /// Closes a connection that gives way to a new one, and returns what its caller was doing; none if
    /// each has a complete request in progress.
    pub fn close_one(&self, now: MonoMs) -> Option<CallerActivity> {
        let open = self.open.borrow();
        let candidates: Vec<_> = open
            .iter()
            .filter(|(_, connection)| connection.is_lasting())
            .map(|(key, connection)| {
                let (activity, since) = connection.activity(&self.bodies);
                OpenConnection { key, address: connection.address(), activity, since }
            })
            .collect();
        let closed = open.get(connection_to_close(&candidates, now)?)?;
        let (activity, _) = closed.activity(&self.bodies);
        closed.give_way(&self.bodies);
        Some(activity)
    }

    /// Waits until a connection has been closed, for at most `limit`. Returns whether one has.
    pub async fn wait_closed(&self, limit: Duration) -> bool {
        tokio::time::timeout(limit, self.closed.notified()).await.is_ok()
    }

    /// Closes the connections that a shutdown closes now, each after the answer in progress.
    pub fn close_unused(&self, shutdown: &Shutdown, now: MonoMs) {
        for connection in self.open.borrow().values() {
            let (activity, since) = connection.activity(&self.bodies);
            let has_request =
                matches!(activity, CallerActivity::Request | CallerActivity::PartialBody);
            let is_used = has_request || connection.has_answered();
            // While the rest of a refused body is read, a close would reset the connection. One with a
            // partial head is closed after its answer, or when the head takes too long.
            let is_kept = connection.is_closing()
                || connection.is_discarding()
                || activity == CallerActivity::PartialHead;
            if !is_kept && shutdown.closes_connection(is_used, since, now) {
                connection.close();
            }
        }
    }

    /// Closes connections that have been idle for more than `idle_ms`, or whose request head has been
    /// incomplete for more than `head_ms`.
    pub fn close_overdue(&self, idle_ms: u64, head_ms: u64) {
        for connection in self.open.borrow().values() {
            if connection.is_overdue(idle_ms, head_ms) {
                connection.close();
            }
        }
    }

    /// Returns the number of connections that an exit waits for: those with an unfinished answer, and idle
    /// ones that aren't closed yet.
    pub fn awaited(&self) -> usize {
        let open = self.open.borrow();
        let activity = |it: &Rc<CallerConnection>| it.activity(&self.bodies).0;
        open.values().filter(|it| activity(it) != CallerActivity::PartialHead).count()
    }

    /// Returns the receive window that new connections need, in bytes.
    pub fn window_bytes(&self) -> usize {
        self.window_bytes.get()
    }

    /// Returns the number of connections that aren't about to be closed.
    pub fn lasting(&self) -> usize {
        self.open.borrow().values().filter(|it| it.is_lasting()).count()
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.open.borrow().len()
    }

    /// Reports whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.open.borrow().is_empty()
    }

    fn record_len(&self) {
        self.bodies.set_connections(self.len());
        let (bytes, before) = (self.bodies.receive_window_bytes(), self.window_bytes.get());
        if bytes < before || bytes >= GROWTH_FACTOR * before {
            self.window_bytes.set(bytes);
            self.open.borrow().values().for_each(|it| it.set_window(bytes));
        }
    }
}

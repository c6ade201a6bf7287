//! The state that the requests of one traffic thread share.

use std::cell::RefCell;
use std::rc::Rc;

use flume::Sender;
use persimmon_decide::Sealer;
use persimmon_decide::forward::MemoryBudget;
use persimmon_decide::load::TokenKey;
use persimmon_decide::outcome::ClaimSealer;
use persimmon_process::{BodyBuffers, CallerConnections, LogLimiter};
use persimmon_wire::FleetKey;

use super::command::{Command, Plan, PlanRequest, PlannedEndpoint};
use super::control::InProgress;
use super::failure::Failure;
use super::front::MAX_HEAD_BYTES;
use super::pool::{Link, Pool, PoolError};
use crate::common::{Clock, Metrics};

/// Context string for deriving the key that seals answer tokens.
const ANSWER_KEY_PURPOSE: &str = "persimmonmount 2026-12-03 answer token v1";

/// Number of copies of a request's body that the request needs: one in the form that sidecars get, and one
/// that is being sent or read.
const BODY_COPIES: usize = 2;

/// The parts from which each traffic thread creates its [`TrafficCx`].
#[derive(Clone)]
pub(crate) struct TrafficParts {
    pub(crate) commands: Sender<Command>,
    pub(crate) clock: Clock,
    pub(crate) metrics: Metrics,
    pub(crate) key: FleetKey,
    pub(crate) in_progress: InProgress,
    /// Number of traffic threads.
    pub(crate) threads: usize,
    /// Maximum number of callers' connections that are open on all threads.
    pub(crate) max_connections: usize,
    /// Memory that the process may use, in bytes.
    pub(crate) memory_bytes: u64,
}

/// The state that the requests of one traffic thread share.
pub(crate) struct TrafficCx {
    pub(crate) pool: Pool,
    pub(crate) clock: Clock,
    pub(crate) metrics: Metrics,
    pub(crate) token_key: TokenKey,
    pub(crate) claim_sealer: ClaimSealer,
    pub(crate) answer_sealer: Sealer,
    pub(crate) in_progress: InProgress,
    /// Maximum number of callers' connections that are open on all threads.
    pub(crate) max_connections: usize,
    /// Bodies of the thread's requests.
    pub(crate) bodies: Rc<BodyBuffers>,
    pub(crate) log_limiter: LogLimiter,
    /// Connections that the thread serves.
    pub(crate) callers: CallerConnections,
    commands: Sender<Command>,
}

impl TrafficCx {
    /// Creates the state of a new thread.
    pub(crate) fn new(parts: TrafficParts) -> Self {
        let secret = parts.key.secret().to_owned();
        let budget = MemoryBudget::for_thread(parts.memory_bytes, parts.threads)
            .with_head_bytes(MAX_HEAD_BYTES);
        let bodies = BodyBuffers::new(parts.clock, Rc::new(RefCell::new(budget)));
        let bodies = Rc::new(bodies.with_copies(BODY_COPIES));
        Self {
            pool: Pool::new(parts.key, parts.clock),
            clock: parts.clock,
            metrics: parts.metrics,
            token_key: TokenKey::from_fleet_key(&secret),
            claim_sealer: ClaimSealer::new(&secret),
            answer_sealer: Sealer::new(&secret, ANSWER_KEY_PURPOSE),
            in_progress: parts.in_progress,
            max_connections: parts.max_connections,
            log_limiter: LogLimiter::new(),
            callers: CallerConnections::new(bodies.clone()),
            bodies,
            commands: parts.commands,
        }
    }

    /// Sends a command to the control thread.
    pub(crate) fn send(&self, command: Command) {
        // A closed channel means that the process has ended.
        let _ended = self.commands.send(command);
    }

    /// Returns the connection to an endpoint, or marks the endpoint as suspect if there is none.
    pub(crate) fn link_or_suspect(
        &self,
        endpoint: &PlannedEndpoint,
        link: Result<Link, PoolError>,
    ) -> Option<Link> {
        let link = link.inspect_err(|err| {
            tracing::warn!("router: no connection to {}: {err}.", endpoint.name);
            self.send(Command::Suspect { endpoint: endpoint.hash });
        });
        link.ok()
    }

    /// Requests the plan for a request from the control thread.
    ///
    /// # Errors
    ///
    /// Returns a failure if the request isn't permitted or the router is shutting down.
    pub(crate) async fn plan(&self, req: PlanRequest) -> Result<Plan, Failure> {
        let (reply, rx) = flume::bounded(1);
        self.send(Command::Plan { req: Box::new(req), reply });
        rx.recv_async().await.unwrap_or_else(|_| Err(Failure::draining()))
    }

    /// Asks the control thread whether the retry budget permits another run.
    pub(crate) async fn ask_budget(&self) -> bool {
        let (reply, rx) = flume::bounded(1);
        self.send(Command::AskBudget { reply });
        // A closed channel means that the process is ending, so nothing is retried.
        rx.recv_async().await.unwrap_or(false)
    }
}

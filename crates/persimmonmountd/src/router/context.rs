//! What one traffic thread holds for its requests.

use flume::Sender;
use persimmon_decide::Sealer;
use persimmon_decide::load::TokenKey;
use persimmon_decide::outcome::ClaimSealer;
use persimmon_wire::FleetKey;

use super::command::{Command, Plan, PlanRequest, PlannedEndpoint};
use super::control::InProgress;
use super::failure::Failure;
use super::pool::{Link, Pool, PoolError};
use crate::common::{Clock, Metrics};

/// Names the key under which answer tokens are sealed.
const ANSWER_KEY_PURPOSE: &str = "persimmonmount 2026-12-03 answer token v1";

/// What every traffic thread is given.
#[derive(Clone)]
pub(crate) struct TrafficParts {
    pub(crate) commands: Sender<Command>,
    pub(crate) clock: Clock,
    pub(crate) metrics: Metrics,
    pub(crate) key: FleetKey,
    pub(crate) in_progress: InProgress,
}

/// The state of one traffic thread.
pub(crate) struct TrafficCx {
    pub(crate) pool: Pool,
    pub(crate) clock: Clock,
    pub(crate) metrics: Metrics,
    pub(crate) token_key: TokenKey,
    pub(crate) claims: ClaimSealer,
    pub(crate) answers: Sealer,
    pub(crate) in_progress: InProgress,
    commands: Sender<Command>,
}

impl TrafficCx {
    /// The state of a thread that has carried nothing.
    pub(crate) fn new(parts: TrafficParts) -> Self {
        let secret = parts.key.secret().to_owned();
        Self {
            pool: Pool::new(parts.key, parts.clock),
            clock: parts.clock,
            metrics: parts.metrics,
            token_key: TokenKey::from_fleet_key(&secret),
            claims: ClaimSealer::new(&secret),
            answers: Sealer::new(&secret, ANSWER_KEY_PURPOSE),
            in_progress: parts.in_progress,
            commands: parts.commands,
        }
    }

    /// Sends a message to the control thread.
    pub(crate) fn send(&self, command: Command) {
        // A closed channel means that the process has ended.
        let _ended = self.commands.send(command);
    }

    /// The connection to an endpoint, if it could be had. One that couldn't makes the endpoint suspect.
    pub(crate) fn link_or_suspect(
        &self,
        endpoint: &PlannedEndpoint,
        link: Result<Link, PoolError>,
    ) -> Option<Link> {
        let reached = link.inspect_err(|err| {
            tracing::warn!("router: {} can't be reached: {err}.", endpoint.name);
            self.send(Command::Suspect { endpoint: endpoint.hash });
        });
        reached.ok()
    }

    /// Asks the control thread where a request may go.
    ///
    /// # Errors
    ///
    /// The request may not run, nothing can run it, or the router is stopping.
    pub(crate) async fn plan(&self, req: PlanRequest) -> Result<Plan, Failure> {
        let (reply, rx) = flume::bounded(1);
        self.send(Command::Plan { req: Box::new(req), reply });
        rx.recv_async().await.unwrap_or_else(|_| Err(Failure::draining()))
    }

    /// Asks the control thread whether one more retry is within the budget.
    pub(crate) async fn ask_budget(&self) -> bool {
        let (reply, rx) = flume::bounded(1);
        self.send(Command::AskBudget { reply });
        // A closed channel means that the process is ending, which retries nothing.
        rx.recv_async().await.unwrap_or(false)
    }
}

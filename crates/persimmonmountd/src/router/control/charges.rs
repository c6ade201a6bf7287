//! Charges requests to their workspaces' limits.

use flume::Sender;
use persimmon_decide::MonoMs;
use persimmon_decide::load::{CreditDemand, CreditPool, EndpointHash, LimitKey, credit_home_of};

use super::super::command::{Charge, ChargeResult, HomeDemand, Plan};
use super::{Control, planned_endpoint, send};
use crate::common::rate_of;

/// Maximum number of requests that wait for credits at the same time.
const MAX_WAITING_FOR_CREDIT: usize = 4_096;

/// A request that waits for credits from the home of its limit.
pub(super) struct WaitingForCredit {
    pub(super) key: LimitKey,
    reply: Sender<ChargeResult>,
    pub(super) until: MonoMs,
}

impl Control {
    /// Charges a planned request to its workspace's limits, if it is subject to them and has an
    /// endpoint to go to.
    pub(super) fn charge_plan(&mut self, mut plan: Plan, is_limited: bool) -> Plan {
        if is_limited && !plan.endpoints.is_empty() {
            let workspace = self.records.workspace(&plan.workspace);
            let has_total = workspace.is_some_and(|one| one.total_limits.is_some());
            let classes = [Some(Some(plan.class)), has_total.then_some(None)];
            for class in classes.into_iter().flatten() {
                let key = LimitKey { workspace: plan.workspace.clone(), class };
                let (result, _) = self.charge(&key);
                plan.charges.push(Charge { key, result });
            }
        }
        plan
    }

    /// Tries again to charge a request to a limit. If that fails while a demand is in flight, the
    /// reply is sent once the home has answered or timed out.
    pub(super) fn retry_charge(&mut self, key: LimitKey, reply: Sender<ChargeResult>) {
        let (result, awaits_home) = self.charge(&key);
        if result.is_charged || !awaits_home || self.waiting.len() >= MAX_WAITING_FOR_CREDIT {
            send(&reply, result);
            return;
        }
        let until = self.clock.now().plus_ms(CreditPool::REPLY_TIMEOUT_MS);
        self.waiting.push(WaitingForCredit { key, reply, until });
    }

    /// Tries again to charge the waiting requests that match `is_due`, and sends the replies.
    pub(super) fn charge_waiting_requests(&mut self, is_due: impl Fn(&WaitingForCredit) -> bool) {
        let waiting = std::mem::take(&mut self.waiting);
        let (due, rest) = waiting.into_iter().partition(is_due);
        self.waiting = rest;
        for WaitingForCredit { key, reply, .. } in due {
            let (result, _) = self.charge(&key);
            send(&reply, result);
        }
    }

    /// Spends a credit if one is available. Also returns whether a demand to the home is in flight.
    pub(super) fn charge(&mut self, key: &LimitKey) -> (ChargeResult, bool) {
        let workspace = self.records.workspace(&key.workspace);
        let per_second = workspace.map_or(0, |workspace| rate_of(workspace, key.class));
        let spend = self.pool.spend(key, per_second, self.clock.now());
        let demand = spend.demand.and_then(|demand| self.home_demand(demand));
        let retry_after_ms = spend.retry_after_ms;
        (ChargeResult { is_charged: spend.paid, demand, retry_after_ms }, spend.awaits_home)
    }

    /// Returns the demand with the home that it goes to, or `None` if no endpoint is live.
    pub(super) fn home_demand(&self, demand: CreditDemand) -> Option<HomeDemand> {
        let now = self.clock.now();
        let is_live = |hash: &EndpointHash| {
            let view = self.directory.view(*hash);
            view.is_some_and(|view| !view.leaving && !view.is_suspect(now))
        };
        let live = self.by_hash.keys().copied().filter(is_live);
        let home = credit_home_of(&demand.key, live)?;
        Some(HomeDemand { home: planned_endpoint(self.by_hash.get(&home)?), demand })
    }
}

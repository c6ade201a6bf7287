//! Charges requests to their workspaces' fleet-wide limits.

use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use persimmon_decide::load::{CreditPool, CreditReply};
use persimmon_wire::{read_credit_batch, write_credit_demand};
use tokio::time::timeout;

use super::command::{Charge, ChargeResult, Command, HomeDemand, Plan};
use super::context::TrafficCx;
use super::failure::Failure;

/// Charges a planned request to each limit of its workspace, and demands credits from the limits'
/// homes where the router has too few.
///
/// # Errors
///
/// Returns a failure if a limit is used up. The request wasn't run.
pub(crate) async fn charge_request(cx: &Rc<TrafficCx>, plan: &Plan) -> Result<(), Failure> {
    for charge in &plan.charges {
        charge_to_limit(cx, charge.clone()).await?;
    }
    Ok(())
}

async fn charge_to_limit(cx: &Rc<TrafficCx>, charge: Charge) -> Result<(), Failure> {
    let Charge { key, result: ChargeResult { is_charged, demand, retry_after_ms } } = charge;
    match demand {
        Some(demand) if is_charged => {
            prefetch_credits(cx, demand);
            return Ok(());
        }
        None if is_charged => return Ok(()),
        Some(demand) => demand_credits(cx, demand).await,
        None => {}
    }
    let (reply, rx) = flume::bounded(1);
    cx.send(Command::RetryCharge { key, reply });
    let retried = rx.recv_async().await;
    let retried =
        retried.unwrap_or(ChargeResult { is_charged: false, demand: None, retry_after_ms });
    if let Some(demand) = retried.demand {
        prefetch_credits(cx, demand);
    }
    if retried.is_charged {
        return Ok(());
    }
    Err(Failure::not_run(
        StatusCode::TOO_MANY_REQUESTS,
        "limit-reached",
        "the workspace's limit is used up; retry after the given delay",
    )
    .with_retry_after_ms(retried.retry_after_ms))
}

/// Demands the next batch of credits in the background, before the current one is used up.
fn prefetch_credits(cx: &Rc<TrafficCx>, demand: HomeDemand) {
    let cx = cx.clone();
    tokio::task::spawn_local(async move { demand_credits(&cx, demand).await });
}

/// Demands credits from a limit's home and passes the reply to the control thread.
async fn demand_credits(cx: &TrafficCx, demand: HomeDemand) {
    let sent_at = cx.clock.now();
    let limit = Duration::from_millis(CreditPool::REPLY_TIMEOUT_MS);
    let batch = timeout(limit, request_credits(cx, &demand)).await.ok().flatten();
    match batch {
        Some(reply) => {
            let key = demand.demand.key;
            cx.send(Command::HomeReplied { key, reply, sent_at });
        }
        // The credit pool has a timeout of its own for the missing reply.
        None => cx.send(Command::Suspect { endpoint: demand.home.hash }),
    }
}

async fn request_credits(cx: &TrafficCx, demand: &HomeDemand) -> Option<CreditReply> {
    let link = cx.pool.link(&demand.home).await.ok()?;
    let mut call = link.sidecar.credit_request();
    write_credit_demand(call.get().init_demand(), &demand.demand);
    let reply = call.send().promise.await.ok()?;
    Some(read_credit_batch(reply.get().ok()?.get_batch().ok()?))
}

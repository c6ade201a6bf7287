//! A thread that reads weights and sends orders, so that neither blocks the control thread.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use flume::{Receiver, Sender, TrySendError};
use persimmon_decide::orders::{Dispatch, Fence, Order, OrderReply, OrderSettings};
use persimmon_records::ModelName;
use serde::Serialize;

use super::command::Command;
use crate::common::{Clock, HttpAnswer, HttpError, HttpRequest, Platform, WeightsRead};

/// Maximum number of queued jobs.
const MAX_WAITING_JOBS: usize = 4;
/// Delay before a failed read of the weight store is retried, in milliseconds.
const FAILED_RETRY_MS: u64 = 1_000;

/// Result of a job.
#[derive(Debug)]
pub(crate) enum OrderResult {
    /// The weight store's answer.
    Weights(WeightsRead),
    /// The engine's answer to the order.
    Answered(OrderReply),
}

/// Result of a job with the load that it belongs to.
#[derive(Debug)]
pub(crate) struct OrderEvent {
    /// Number of the load since the sidecar started.
    pub(crate) load: u64,
    pub(crate) result: OrderResult,
}

/// A job of a load.
#[derive(Debug)]
pub(crate) enum OrderJob {
    /// A read of the weights.
    Weights { load: u64, model: ModelName },
    /// An order to send.
    Send { load: u64, dispatch: Dispatch },
}

#[derive(Serialize)]
struct OrderBody<'a> {
    fence: Fence,
    order: &'a Order,
}

/// Queues jobs for the thread, which sends their results as [`Command::Order`].
#[derive(Debug)]
pub(crate) struct OrderSender {
    jobs: Sender<OrderJob>,
}

impl OrderSender {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread can't be started.
    pub(crate) fn start(
        engine: SocketAddr,
        platform: Platform,
        clock: Clock,
        commands: Sender<Command>,
    ) -> std::io::Result<Self> {
        let (jobs, rx) = flume::bounded(MAX_WAITING_JOBS);
        let worker = Worker { engine, platform, clock, timeout_s: transit_s() };
        thread::Builder::new()
            .name("engine-loads".into())
            .spawn(move || worker.run(&rx, &commands))?;
        Ok(Self { jobs })
    }

    /// Queues a job.
    ///
    /// # Errors
    ///
    /// Returns the job if the queue is full or the thread has ended.
    pub(crate) fn send(&self, job: OrderJob) -> Result<(), TrySendError<OrderJob>> {
        self.jobs.try_send(job)
    }
}

/// Returns the timeout of an order, in seconds. The connection is closed then, so the order can't
/// reach the engine later.
fn transit_s() -> u64 {
    OrderSettings::default().transit_ms / 1_000
}

struct Worker {
    engine: SocketAddr,
    platform: Platform,
    clock: Clock,
    timeout_s: u64,
}

impl Worker {
    fn run(&self, jobs: &Receiver<OrderJob>, commands: &Sender<Command>) {
        for job in jobs {
            let event = match job {
                OrderJob::Weights { load, model } => {
                    OrderEvent { load, result: OrderResult::Weights(self.read_weights(&model)) }
                }
                OrderJob::Send { load, dispatch } => {
                    OrderEvent { load, result: OrderResult::Answered(self.send(&dispatch)) }
                }
            };
            if commands.send(Command::Order(event)).is_err() {
                return;
            }
        }
    }

    /// Reads the weights. A failed read is retried after a delay, as if the store had throttled it.
    fn read_weights(&self, model: &ModelName) -> WeightsRead {
        self.platform.weights(model).unwrap_or_else(|err| {
            tracing::warn!("orders: can't read the weights of {model}: {err}.");
            WeightsRead::Throttled { retry_after_ms: FAILED_RETRY_MS }
        })
    }

    /// Sends an order unless its time to be sent has passed. The timeout covers connecting, writing
    /// and reading the answer.
    fn send(&self, dispatch: &Dispatch) -> OrderReply {
        let body = OrderBody { fence: dispatch.fence, order: &dispatch.order };
        let timeout = Duration::from_secs(self.timeout_s);
        let request = HttpRequest::post(self.engine, "/v1/orders", &body, timeout);
        if !dispatch.may_send(self.clock.now()) {
            return OrderReply::Unknown;
        }
        match request.and_then(HttpRequest::send).and_then(read_status) {
            Ok(200) => OrderReply::Done,
            Ok(409) => OrderReply::StaleFence,
            Ok(status) => {
                tracing::warn!("orders: the engine answered an order with status {status}.");
                OrderReply::Unknown
            }
            Err(err) => {
                tracing::warn!("orders: the engine did not answer an order: {err}.");
                OrderReply::Unknown
            }
        }
    }
}

/// Reads an answer to its end and returns its status. An order counts as answered only then.
fn read_status(answer: HttpAnswer) -> Result<u16, HttpError> {
    let status = answer.status().as_u16();
    answer.discard()?;
    Ok(status)
}

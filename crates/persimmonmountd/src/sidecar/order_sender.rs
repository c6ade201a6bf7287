//! The thread that reads weights and sends orders, apart from the control thread.

use std::net::SocketAddr;
use std::thread;

use flume::{Receiver, Sender, TrySendError};
use persimmon_decide::orders::{Dispatch, Fence, Order, OrderReply, OrderSettings};
use persimmon_records::ModelName;
use serde::Serialize;

use super::command::Command;
use crate::common::{Clock, Platform, WeightsRead};

/// Jobs that wait for the thread.
const MAX_WAITING_JOBS: usize = 4;
/// Delay after which a weight store that failed is asked again, in milliseconds.
const FAILED_RETRY_MS: u64 = 1_000;

/// What became of a job.
#[derive(Debug)]
pub(crate) enum OrderResult {
    /// What the weight store answered.
    Weights(WeightsRead),
    /// What the engine answered.
    Answered(OrderReply),
}

/// News of one load.
#[derive(Debug)]
pub(crate) struct OrderEvent {
    /// Which load of the sidecar's life this is about.
    pub(crate) load: u64,
    pub(crate) result: OrderResult,
}

/// What the thread is to do for a load.
#[derive(Debug)]
pub(crate) enum OrderJob {
    /// Read the weights.
    Weights { load: u64, model: ModelName },
    /// Send the order.
    Send { load: u64, dispatch: Dispatch },
}

#[derive(Serialize)]
struct OrderBody<'a> {
    fence: Fence,
    order: &'a Order,
}

/// Hands jobs to the thread, whose news come as [`Command::Order`].
#[derive(Debug)]
pub(crate) struct OrderSender {
    jobs: Sender<OrderJob>,
}

impl OrderSender {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// The thread can't be started.
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

    /// Hands over a job.
    ///
    /// # Errors
    ///
    /// Too many wait; the job is dropped.
    pub(crate) fn send(&self, job: OrderJob) -> Result<(), TrySendError<OrderJob>> {
        self.jobs.try_send(job)
    }
}

/// Time after which the connection of an order is closed, so that it never arrives later.
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

    /// Reads weights. A store that fails is left alone for a while like one that refuses.
    fn read_weights(&self, model: &ModelName) -> WeightsRead {
        self.platform.weights(model).unwrap_or_else(|err| {
            tracing::warn!("orders: the weights of {model} can't be read: {err}.");
            WeightsRead::Throttled { retry_after_ms: FAILED_RETRY_MS }
        })
    }

    /// Sends an order unless it is late. The timeout covers connecting, writing and the answer.
    fn send(&self, dispatch: &Dispatch) -> OrderReply {
        let body = OrderBody { fence: dispatch.fence, order: &dispatch.order };
        let request = minreq::post(format!("http://{}/v1/orders", self.engine))
            .with_timeout(self.timeout_s)
            .with_json(&body);
        if !dispatch.may_send(self.clock.now()) {
            return OrderReply::Unknown;
        }
        match request.and_then(minreq::Request::send).map(|response| response.status_code) {
            Ok(200) => OrderReply::Done,
            Ok(409) => OrderReply::StaleFence,
            Ok(status) => {
                tracing::warn!("orders: the engine answered with status {status}.");
                OrderReply::Unknown
            }
            Err(err) => {
                tracing::warn!("orders: the engine gave no answer: {err}.");
                OrderReply::Unknown
            }
        }
    }
}

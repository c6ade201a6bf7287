//! Orders the engine to load the model that the records assign to it.

use persimmon_decide::membership::VmName;
use persimmon_decide::orders::{
    Dispatch, LoadPacer, LoadRate, Order, OrderDispatcher, OrderReply, OrderSettings, OrderStatus,
    WaitReason,
};
use persimmon_decide::{Incarnation, MonoMs};
use persimmon_records::{Endpoint, ModelName, RecordIndex, Serves};

use super::core::Core;
use super::engine::{EngineEvent, EngineFailure, EngineUpdate};
use super::order_sender::{OrderEvent, OrderJob, OrderResult, OrderSender};
use crate::common::{LoadWaitStatus, WeightsRead, random_u64};

/// Maximum difference between the wall clocks of two sidecars, in milliseconds.
const CLOCK_UNCERTAINTY_MS: u64 = 3_000;
/// Delay before an unanswered order is sent again, in milliseconds.
const RESEND_DELAY_MS: u64 = 1_000;
/// HTTP status of the engine for a model that isn't loaded.
const NOT_LOADED: u16 = 404;

/// Step of a load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// Waiting until the pacer allows a read of the weight store.
    Paced,
    /// Reading the weights.
    Reading,
    /// Ready for the order to be sent at or after this time.
    Ready(MonoMs),
    /// Ordered, without an answer yet.
    Sent,
    /// Abandoned because the engine obeys a newer sidecar or the dispatcher rejected the order.
    Superseded,
}

/// A load that isn't complete.
#[derive(Debug)]
struct Load {
    number: u64,
    model: ModelName,
    pacer: LoadPacer,
    step: Step,
}

/// Orders the engine to load its model when the records assign another model to it, when the engine
/// restarted, and when the engine answers that the model isn't loaded.
#[derive(Debug)]
pub(crate) struct Orders {
    sender: OrderSender,
    incarnation: Incarnation,
    started_at: MonoMs,
    /// `None` until the first load, because the endpoint's record specifies whether the engine
    /// checks fences.
    dispatcher: Option<OrderDispatcher>,
    assigned: Option<ModelName>,
    engine_incarnation: Option<u64>,
    load: Option<Load>,
    load_count: u64,
}

impl Orders {
    /// Creates the orders of a sidecar that started at `now` and has bound its peer address.
    pub(crate) fn new(sender: OrderSender, incarnation: Incarnation, now: MonoMs) -> Self {
        Self {
            sender,
            incarnation,
            started_at: now,
            dispatcher: None,
            assigned: None,
            engine_incarnation: None,
            load: None,
            load_count: 0,
        }
    }

    /// Begins a load if `next`, which is about to replace the records of `core`, assigns another
    /// model. The first assignment after the start doesn't begin a load, because otherwise each
    /// restart of a sidecar would load the model again.
    pub(crate) fn apply_records(&mut self, core: &Core, next: &RecordIndex) {
        let Some(endpoint) = next.endpoint(&core.name) else { return };
        let Serves::Model(model) = &endpoint.serves else {
            self.assigned = None;
            self.load = None;
            return;
        };
        let before = self.assigned.replace(model.clone());
        if before.is_none_or(|before| before == *model) {
            return;
        }
        let before = core.records();
        let changed = |one: &&Endpoint| before.endpoint(&one.name) != Some(*one);
        let names: Vec<_> = next.set().endpoints.iter().filter(changed).map(vm_name).collect();
        self.begin(core, next, endpoint, &names);
    }

    /// Begins a load if the engine's incarnation changed, because the engine lost its model when it
    /// restarted.
    pub(crate) fn on_engine_incarnation(&mut self, core: &Core, incarnation: Option<u64>) {
        let Some(incarnation) = incarnation else { return };
        let before = self.engine_incarnation.replace(incarnation);
        if before.is_some_and(|before| before != incarnation) {
            self.reload(core);
        }
    }

    /// Begins a load if the engine refused a request because the model isn't loaded. This happens
    /// if an earlier run of this sidecar ended before it sent the order.
    pub(crate) fn on_engine_event(&mut self, core: &Core, event: &EngineEvent) {
        let refused = EngineFailure::Refused(NOT_LOADED);
        if matches!(&event.update, EngineUpdate::Failed(failure) if *failure == refused)
            && self.load.is_none()
        {
            self.reload(core);
        }
    }

    /// Handles the result of reading weights or of sending an order.
    pub(crate) fn on_event(&mut self, core: &Core, event: &OrderEvent) {
        match event.result {
            OrderResult::Weights(read) => self.on_weights(core, event.load, read),
            OrderResult::Answered(reply) => self.on_reply(core, event.load, reply),
        }
    }

    /// Advances the load. The order is sent only while the engine is idle, because a load ends the
    /// engine's requests.
    pub(crate) fn tick(&mut self, core: &Core, is_idle: bool) {
        let Some(load) = &mut self.load else { return };
        match load.step {
            Step::Paced if load.pacer.wait(core.clock.unix()).is_none() => {
                let job = OrderJob::Weights { load: load.number, model: load.model.clone() };
                if self.sender.send(job).is_ok() {
                    load.step = Step::Reading;
                }
            }
            Step::Ready(from) if is_idle && from <= core.now() => self.send_next(core.now()),
            _ => {}
        }
    }

    /// Returns the state of the pending load.
    pub(crate) fn load_wait(&self, core: &Core) -> Option<LoadWaitStatus> {
        let load = self.load.as_ref()?;
        let now = core.now();
        let (reason, starts_in_ms) = match load.step {
            Step::Paced => match load.pacer.wait(core.clock.unix()) {
                Some(wait) => (reason_name(wait.reason), wait.starts_in_ms),
                None => ("slot", 0),
            },
            Step::Reading => ("reading", 0),
            Step::Ready(from) => {
                match self.dispatcher.as_ref().map(|dispatcher| dispatcher.status(now)) {
                    Some(OrderStatus::QuietUntil(until)) => ("quiet", until.ms_since(now)),
                    _ => ("engine", from.ms_since(now)),
                }
            }
            Step::Sent => ("sent", 0),
            Step::Superseded => ("superseded", 0),
        };
        Some(LoadWaitStatus { model: load.model.to_string(), starts_in_ms, reason })
    }

    /// Begins a load of the assigned model, paced together with the other endpoints of the zone,
    /// which may have failed at the same time. Does nothing if the order for a pending load hasn't
    /// been sent yet.
    fn reload(&mut self, core: &Core) {
        let is_pending = |load: &Load| matches!(load.step, Step::Paced | Step::Reading);
        if self.load.as_ref().is_some_and(is_pending) {
            return;
        }
        let Some(endpoint) = core.endpoint() else { return };
        let records = core.records();
        let in_zone = |one: &&Endpoint| one.zone == endpoint.zone;
        let names: Vec<_> = records.set().endpoints.iter().filter(in_zone).map(vm_name).collect();
        self.begin(core, records, endpoint, &names);
    }

    /// Replaces the current load with a new one, paced together with the VMs in `names` so that
    /// their loads don't start at the same time.
    fn begin(&mut self, core: &Core, records: &RecordIndex, endpoint: &Endpoint, names: &[VmName]) {
        let Serves::Model(model) = &endpoint.serves else { return };
        let rate = LoadRate {
            per_minute: records.set().policy.loads_per_minute,
            clock_uncertainty_ms: CLOCK_UNCERTAINTY_MS,
        };
        let own = vm_name(endpoint);
        let Some(pacer) = LoadPacer::new(rate, &own, names, core.clock.unix()) else { return };
        let (incarnation, started_at) = (self.incarnation, self.started_at);
        let dispatcher = self.dispatcher.get_or_insert_with(|| {
            OrderDispatcher::new(
                OrderSettings::default(),
                endpoint.fencing,
                incarnation,
                started_at,
            )
        });
        let submitted =
            dispatcher.submit(Order::LoadModel(model.clone()), records.version().generation);
        let step = match submitted {
            Ok(()) => Step::Paced,
            Err(err) => {
                tracing::error!("orders: can't order the load of {model}: {err}.");
                Step::Superseded
            }
        };
        tracing::info!("orders: load of {model} scheduled.");
        self.load_count += 1;
        self.load = Some(Load { number: self.load_count, model: model.clone(), pacer, step });
    }

    fn on_weights(&mut self, core: &Core, number: u64, read: WeightsRead) {
        let Some(load) = self.load.as_mut().filter(|load| load.number == number) else { return };
        load.step = match read {
            WeightsRead::Whole => Step::Ready(core.now()),
            WeightsRead::Throttled { retry_after_ms } => {
                load.pacer.throttled(retry_after_ms, random_u64(), core.clock.unix());
                Step::Paced
            }
        };
    }

    fn on_reply(&mut self, core: &Core, number: u64, reply: OrderReply) {
        if let Some(dispatcher) = &mut self.dispatcher {
            dispatcher.answered(reply);
        }
        let Some(load) = &mut self.load else { return };
        match reply {
            // The dispatcher sends no more orders, so this also ends a newer load.
            OrderReply::StaleFence => {
                tracing::error!("orders: the engine obeys a newer sidecar; stop this one.");
                load.step = Step::Superseded;
            }
            OrderReply::Unknown if load.number == number => {
                load.step = Step::Ready(core.now().plus_ms(RESEND_DELAY_MS));
            }
            OrderReply::Done if load.number == number => {
                tracing::info!("orders: engine loaded {}.", load.model);
                self.load = None;
            }
            OrderReply::Unknown | OrderReply::Done => {}
        }
    }

    /// Sends the dispatcher's next order, if there is one.
    fn send_next(&mut self, now: MonoMs) {
        let (Some(dispatcher), Some(load)) = (&mut self.dispatcher, &mut self.load) else { return };
        let Some(dispatch): Option<Dispatch> = dispatcher.next(now) else { return };
        let job = OrderJob::Send { load: load.number, dispatch };
        match self.sender.send(job) {
            Ok(()) => load.step = Step::Sent,
            Err(_) => dispatcher.answered(OrderReply::Unknown),
        }
    }
}

fn vm_name(endpoint: &Endpoint) -> VmName {
    VmName::from(endpoint.name.as_str())
}

fn reason_name(reason: WaitReason) -> &'static str {
    match reason {
        WaitReason::Slot => "slot",
        WaitReason::Throttled => "throttled",
    }
}

//! State shared by all tasks of a gateway, which run on one thread.

use std::cell::{OnceCell, RefCell};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;

use persimmon_decide::forward::{MemoryBudget, Quarantined};
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::answer_buffer::AnswerBuffers;
use crate::control::Control;
use crate::evacuation::EvacuationReports;
use crate::metrics::Metrics;
use crate::open_requests::OpenRequests;
use crate::platform::Platform;
use crate::record_answers::RecordAnswers;
use crate::settings::GatewaySettings;
use crate::stream_versions::StreamExchange;
use crate::upstream::Upstream;
use crate::version_history::HistoryReader;
use persimmon_process::BodyBuffers;
use persimmon_process::{CallerConnections, Clock, LogLimiter};

/// A running gateway.
#[derive(Debug)]
pub(crate) struct Gateway<P> {
    pub(crate) platform: P,
    pub(crate) settings: GatewaySettings,
    pub(crate) clock: Clock,
    pub(crate) control: RefCell<Control>,
    pub(crate) upstream: Upstream,
    pub(crate) metrics: Metrics,
    pub(crate) log_limiter: LogLimiter,
    /// Notified when the known records may be stale and the store has to be listed again.
    pub(crate) resync: Notify,
    /// Open connections of callers.
    pub(crate) callers: CallerConnections,
    /// Cancelled shortly before the process exits; requests without an answer are then answered with an
    /// error.
    pub(crate) cut_off: CancellationToken,
    /// Callers' requests in progress.
    pub(crate) requests: OpenRequests,
    /// Answers of endpoints that are being buffered.
    pub(crate) answers: Rc<AnswerBuffers>,
    /// Bodies of callers' requests in progress.
    pub(crate) bodies: Rc<BodyBuffers>,
    /// Memory of bodies and answers.
    pub(crate) memory: Rc<RefCell<MemoryBudget>>,
    /// Notified after changes to the records while routes and endpoints are known.
    pub(crate) configured: Notify,
    /// Notified when a change should be sent to the other gateways without waiting for the next
    /// regular digest.
    pub(crate) digest_due: Notify,
    /// Notified when a gateway that wasn't known is to get a digest.
    pub(crate) newcomer: Notify,
    /// Notified when a peer has later records.
    pub(crate) peer_ahead: Notify,
    /// Notified when a peer has later routes.
    pub(crate) routes_ahead: Notify,
    /// Answers to peers that fetch records.
    pub(crate) record_answers: RecordAnswers,
    /// Socket for messages to other gateways; none before it is bound.
    pub(crate) socket: OnceCell<Rc<UdpSocket>>,
    pub(crate) streams: StreamExchange,
    /// Notified when holders should be told of what is refused without waiting for the next regular message.
    pub(crate) crashes_changed: Notify,
    /// The store's history, for streams that neither gateways nor holders remember.
    pub(crate) history: HistoryReader,
    /// What is reported of evacuated zones.
    pub(crate) evacuations: EvacuationReports,
}

impl<P: Platform> Gateway<P> {
    /// Creates a gateway without records.
    pub(crate) fn new(platform: P, settings: GatewaySettings, metrics: Metrics) -> Self {
        let clock = Clock::start();
        let control = Control::new(&settings, clock.now());
        let memory = Rc::new(RefCell::new(MemoryBudget::for_process(settings.memory_bytes)));
        let bodies = Rc::new(BodyBuffers::new(clock, memory.clone()));
        let answers = Rc::new(AnswerBuffers::new(clock, memory.clone(), bodies.clone()));
        Self {
            platform,
            control: RefCell::new(control),
            upstream: Upstream::new(clock),
            settings,
            clock,
            metrics,
            log_limiter: LogLimiter::new(),
            resync: Notify::new(),
            callers: CallerConnections::new(bodies.clone()),
            cut_off: CancellationToken::new(),
            requests: OpenRequests::default(),
            answers,
            bodies,
            memory,
            configured: Notify::new(),
            digest_due: Notify::new(),
            newcomer: Notify::new(),
            peer_ahead: Notify::new(),
            routes_ahead: Notify::new(),
            record_answers: RecordAnswers::default(),
            socket: OnceCell::new(),
            streams: StreamExchange::default(),
            crashes_changed: Notify::new(),
            history: HistoryReader::default(),
            evacuations: EvacuationReports::default(),
        }
    }

    /// Returns the address at which another gateway, or a holder, on the VM with this address receives
    /// messages.
    pub(crate) fn peer_address(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.settings.peers.port())
    }

    /// Counts and logs what is refused from now on.
    pub(crate) fn log_newly_refused(&self) {
        let now = self.clock.now();
        for refused in self.control.borrow_mut().crashes.take_newly_refused() {
            self.crashes_changed.notify_one();
            let kind = match refused {
                Quarantined::Content(_) => "content",
                Quarantined::Part(_) => "part",
            };
            self.metrics.endpoint.quarantined.with_label_values(&[kind]).inc();
            if let Some(suppressed) = self.log_limiter.admit("quarantined", now) {
                tracing::warn!(target: "request", kind, %refused, suppressed,
                    "requests are refused: endpoints crashed while they ran such requests");
            }
        }
    }
}

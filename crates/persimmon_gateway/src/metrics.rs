//! Counters and histograms of a gateway in the Prometheus text format.

use persimmon_process::MetricSet;
use prometheus::{HistogramVec, IntCounterVec, IntGauge, IntGaugeVec};

/// Upper bounds of latency buckets, in seconds.
const LATENCY_BUCKETS_S: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 15.0];

/// Upper bounds of buckets of the factor by which endpoints say that their work takes longer.
const SLOWDOWN_BUCKETS: [f64; 9] = [0.5, 0.8, 1.0, 1.25, 1.5, 2.0, 3.0, 5.0, 10.0];

/// All metrics of a gateway.
#[derive(Debug, Clone)]
pub(crate) struct Metrics {
    set: MetricSet,
    /// Callers' requests by outcome.
    pub(crate) requests: IntCounterVec,
    /// Attempts at endpoints by outcome.
    pub(crate) attempts: IntCounterVec,
    /// Answers of endpoints by framing and by how they ended; a resumed stream has several.
    pub(crate) answer_parts: IntCounterVec,
    /// Lookups of the version that began a stream which a caller takes up again, by result.
    pub(crate) stream_lookups: IntCounterVec,
    /// Streams that went on at another endpoint, by who took them up again.
    pub(crate) resumed: IntCounterVec,
    /// Counters of what endpoints do besides answering.
    pub(crate) endpoint: EndpointMetrics,
    /// Counters of callers' connections and of the shutdown.
    pub(crate) callers: CallerMetrics,
    /// Age of the records in force, and their exchange with peers.
    pub(crate) records: RecordMetrics,
    /// Calls to the platform's store by kind and result.
    pub(crate) store_calls: IntCounterVec,
    /// Digests by direction.
    pub(crate) digests: IntCounterVec,
    /// Number of requests in progress.
    pub(crate) in_progress: IntGauge,
    /// Version of the routes in force.
    pub(crate) routes_version: IntGauge,
    /// Number of times that the store has come back from an older copy, as far as it says.
    pub(crate) store_era: IntGauge,
    /// Number of published endpoints.
    pub(crate) endpoints: IntGauge,
    /// Time to the first byte of an answer by route.
    pub(crate) first_byte: HistogramVec,
    /// Time to the end of an answer by route.
    pub(crate) whole_answer: HistogramVec,
}

impl Metrics {
    /// Registers all metrics.
    ///
    /// # Errors
    ///
    /// Two metrics have the same name.
    pub(crate) fn new() -> prometheus::Result<Self> {
        let set = MetricSet::default();
        let histograms =
            |name: &str, help: &str| set.histograms(name, help, "route", &LATENCY_BUCKETS_S);
        Ok(Self {
            requests: set.counters(
                "persimmon_gateway_requests_total",
                "Callers' requests by outcome.",
                &["outcome"],
            )?,
            attempts: set.counters(
                "persimmon_gateway_attempts_total",
                "Attempts at endpoints by outcome.",
                &["outcome"],
            )?,
            answer_parts: set.counters(
                "persimmon_gateway_answer_parts_total",
                "Answers of endpoints by framing and by how they ended; a resumed stream has several.",
                &["framing", "end"],
            )?,
            stream_lookups: set.counters(
                "persimmon_gateway_stream_lookups_total",
                "Lookups of the version that began a stream which a caller takes up again.",
                &["result"],
            )?,
            resumed: set.counters(
                "persimmon_gateway_streams_resumed_total",
                "Streams that went on at another endpoint, by who took them up again.",
                &["by"],
            )?,
            endpoint: EndpointMetrics::new(&set)?,
            callers: CallerMetrics::new(&set)?,
            records: RecordMetrics::new(&set)?,
            store_calls: set.counters(
                "persimmon_gateway_store_calls_total",
                "Calls to the platform's store.",
                &["kind", "result"],
            )?,
            digests: set.counters(
                "persimmon_gateway_digests_total",
                "Digests between gateways.",
                &["direction"],
            )?,
            in_progress: set.gauge("persimmon_gateway_in_progress", "Requests in progress.")?,
            routes_version: set
                .gauge("persimmon_gateway_routes_version", "Version of the routes.")?,
            store_era: set.gauge(
                "persimmon_gateway_store_era",
                "Era of the store, which rises when it comes back from an older copy.",
            )?,
            endpoints: set.gauge("persimmon_gateway_endpoints", "Endpoints published.")?,
            first_byte: histograms(
                "persimmon_gateway_first_byte_seconds",
                "Time to an answer's first byte.",
            )?,
            whole_answer: histograms(
                "persimmon_gateway_whole_answer_seconds",
                "Time to an answer's end.",
            )?,
            set,
        })
    }

    /// Returns all metrics in the text format.
    ///
    /// # Errors
    ///
    /// A metric can't be encoded.
    pub(crate) fn encode(&self) -> prometheus::Result<Vec<u8>> {
        self.set.encode()
    }
}

/// Admission of short requests.
#[derive(Debug, Clone)]
pub(crate) struct AdmissionMetrics {
    /// Decisions by service and by what decided.
    pub(crate) decisions: IntCounterVec,
    /// Factor on the queue at each service, in percent.
    pub(crate) queue_allowance: IntGaugeVec,
}

impl AdmissionMetrics {
    fn new(set: &MetricSet) -> prometheus::Result<Self> {
        Ok(Self {
            decisions: set.counters(
                "persimmon_gateway_admission_total",
                "Decisions on requests without a prompt and stream, by what decided.",
                &["service", "decision"],
            )?,
            queue_allowance: set.gauges(
                "persimmon_gateway_queue_allowance",
                "Factor on the queue with which a service should meet the target, in percent.",
                &["service"],
            )?,
        })
    }
}

/// Age of the records in force, and their exchange with peers.
#[derive(Debug, Clone)]
pub(crate) struct RecordMetrics {
    /// Time since the store last confirmed the records in force, in milliseconds.
    pub(crate) age_ms: IntGauge,
    /// 1 for the reason of that age, 0 for all others.
    pub(crate) age_reason: IntGaugeVec,
    /// What the records say of evacuated zones and cold endpoints.
    pub(crate) evacuation: EvacuationMetrics,
    /// Fetches from peers by result.
    pub(crate) fetches: IntCounterVec,
    /// Answers to peers that fetch records, by result.
    pub(crate) answers: IntCounterVec,
    /// Notices of changed records by direction.
    pub(crate) notices: IntCounterVec,
    /// Bytes of records exchanged with peers by direction.
    pub(crate) bytes: IntCounterVec,
    /// Duration of fetches from peers by result.
    pub(crate) fetch_seconds: HistogramVec,
}

impl RecordMetrics {
    fn new(set: &MetricSet) -> prometheus::Result<Self> {
        Ok(Self {
            age_ms: set.gauge(
                "persimmon_gateway_records_age_ms",
                "Time since the store last confirmed the records in force.",
            )?,
            age_reason: set.gauges(
                "persimmon_gateway_records_age_reason",
                "1 for the reason of the age of the records in force, 0 for all others.",
                &["reason"],
            )?,
            evacuation: EvacuationMetrics::new(set)?,
            fetches: set.counters(
                "persimmon_gateway_record_fetches_total",
                "Fetches of records from peers by result.",
                &["result"],
            )?,
            answers: set.counters(
                "persimmon_gateway_record_answers_total",
                "Answers to peers that fetch records.",
                &["result"],
            )?,
            notices: set.counters(
                "persimmon_gateway_record_notices_total",
                "Notices of changed records between gateways.",
                &["direction"],
            )?,
            bytes: set.counters(
                "persimmon_gateway_record_bytes_total",
                "Bytes of records exchanged with peers.",
                &["direction"],
            )?,
            fetch_seconds: set.histograms(
                "persimmon_gateway_record_fetch_seconds",
                "Duration of fetches of records from peers.",
                "result",
                &LATENCY_BUCKETS_S,
            )?,
        })
    }
}

/// Evacuated zones and cold endpoints.
#[derive(Debug, Clone)]
pub(crate) struct EvacuationMetrics {
    /// Number of evacuated zones.
    pub(crate) zones: IntGauge,
    /// This gateway's requests in progress in each of them.
    pub(crate) requests: IntGaugeVec,
    /// Number of endpoints that are cold, or count as cold.
    pub(crate) cold_endpoints: IntGauge,
}

impl EvacuationMetrics {
    fn new(set: &MetricSet) -> prometheus::Result<Self> {
        Ok(Self {
            zones: set.gauge("persimmon_gateway_evacuated_zones", "Evacuated zones.")?,
            requests: set.gauges(
                "persimmon_gateway_evacuated_requests",
                "This gateway's requests in progress in evacuated zones.",
                &["zone"],
            )?,
            cold_endpoints: set.gauge(
                "persimmon_gateway_cold_endpoints",
                "Endpoints that are cold, or count as cold.",
            )?,
        })
    }
}

/// Counters of callers' connections and of the shutdown.
#[derive(Debug, Clone)]
pub(crate) struct CallerMetrics {
    /// Connections that were closed for lack of room, by what the caller was doing.
    pub(crate) closed: IntCounterVec,
    /// Decisions on requests during the shutdown, by the step before which they are made.
    pub(crate) shutdown_decisions: IntCounterVec,
    /// Admission of short requests.
    pub(crate) admission: AdmissionMetrics,
    /// Memory of callers' bodies and of answers for them, in bytes.
    held: IntGaugeVec,
}

impl CallerMetrics {
    fn new(set: &MetricSet) -> prometheus::Result<Self> {
        let closed = set.counters(
            "persimmon_gateway_callers_closed_total",
            "Connections of callers that were closed for lack of room, by what the caller was doing.",
            &["doing"],
        )?;
        let shutdown_decisions = set.counters(
            "persimmon_gateway_shutdown_decisions_total",
            "Decisions on requests during the shutdown, by the step before which they are made.",
            &["at", "decision"],
        )?;
        let held = set.gauges(
            "persimmon_gateway_held_bytes",
            "Memory reserved for callers' bodies and for answers of endpoints.",
            &["of"],
        )?;
        Ok(Self { closed, shutdown_decisions, admission: AdmissionMetrics::new(set)?, held })
    }

    /// Sets the memory of all bodies or answers, in bytes.
    pub(crate) fn record_held(&self, bytes: usize, of: &str) {
        self.held.with_label_values(&[of]).set(i64::try_from(bytes).unwrap_or(i64::MAX));
    }
}

/// Counters of what endpoints do besides answering.
#[derive(Debug, Clone)]
pub(crate) struct EndpointMetrics {
    /// Endpoints whose answers said that they leave, by service.
    pub(crate) leaving: IntCounterVec,
    /// Pauses that endpoints asked for, by service.
    pub(crate) pauses: IntCounterVec,
    /// Answers in which endpoints named a limit on the rate of requests, by service.
    pub(crate) limits: IntCounterVec,
    /// Factor by which work takes longer than usual, as answers state it, by service.
    pub(crate) slowdown: HistogramVec,
    /// Answers whose stated load can't be read or has an implausible speed, by service.
    pub(crate) invalid_loads: IntCounterVec,
    /// Time in which a stated speed loses most of its weight, in milliseconds.
    pub(crate) speed_lifetime_ms: IntGauge,
    /// Checks whether an endpoint that broke an answer off still accepts connections, by result.
    pub(crate) checks: IntCounterVec,
    /// What was refused because endpoints crashed while they ran it, by kind.
    pub(crate) quarantined: IntCounterVec,
}

impl EndpointMetrics {
    fn new(set: &MetricSet) -> prometheus::Result<Self> {
        Ok(Self {
            leaving: set.counters(
                "persimmon_gateway_endpoints_leaving_total",
                "Endpoints whose answers said that they leave.",
                &["service"],
            )?,
            pauses: set.counters(
                "persimmon_gateway_endpoint_pauses_total",
                "Pauses that endpoints asked for.",
                &["service"],
            )?,
            limits: set.counters(
                "persimmon_gateway_endpoint_limits_total",
                "Answers in which endpoints named a limit on the rate of requests.",
                &["service"],
            )?,
            slowdown: set.histograms(
                "persimmon_gateway_endpoint_slowdown",
                "Factor by which work takes longer than usual, as answers of endpoints state it.",
                "service",
                &SLOWDOWN_BUCKETS,
            )?,
            invalid_loads: set.counters(
                "persimmon_gateway_invalid_loads_total",
                "Answers whose stated load can't be read or has an implausible speed.",
                &["service"],
            )?,
            speed_lifetime_ms: set.gauge(
                "persimmon_gateway_speed_lifetime_ms",
                "Time in which a stated speed loses most of its weight.",
            )?,
            checks: set.counters(
                "persimmon_gateway_endpoint_checks_total",
                "Checks of endpoints that broke an answer off.",
                &["result"],
            )?,
            quarantined: set.counters(
                "persimmon_gateway_quarantined_total",
                "What is refused because endpoints crashed while they ran it.",
                &["kind"],
            )?,
        })
    }
}

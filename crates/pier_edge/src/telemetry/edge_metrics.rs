//! The metrics of a node.

use std::{fmt, sync::Mutex, time};

use prometheus_client::{
    encoding::text,
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};

use pier_fleet::urgency;

use crate::{state, telemetry};

type Labels = Vec<(&'static str, String)>;

/// Upper bounds of the buckets of latency histograms, in seconds.
const LATENCY_BUCKETS: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0];

/// Counts requests, streams and calls of a node.
pub(crate) struct EdgeMetrics {
    registry: Mutex<Registry>,
    answers: Family<Labels, Counter>,
    framings: Family<Labels, Counter>,
    answer_time: Histogram,
    first_event: Histogram,
    streams: Family<Labels, Counter>,
    resumes: Family<Labels, Counter>,
    urgency_outcomes: Family<Labels, Counter>,
    forwards_sent: Family<Labels, Counter>,
    forwards_received: Family<Labels, Counter>,
    stuck: Counter,
    losses: Family<Labels, Counter>,
    held_requests: Gauge,
    bodies: telemetry::BodyMetrics,
    held_answers: telemetry::AnswerMetrics,
    held_parts: Gauge,
    leaving_targets: Counter,
    target_pauses: Counter,
    remote_sends: Family<Labels, Counter>,
    remote_send_bytes: Family<Labels, Counter>,
    cut_off_services: Counter,
    store_calls: Family<Labels, Counter>,
    store_failures: Family<Labels, Counter>,
    orders: Family<Labels, Counter>,
    member_queries: Counter,
    bad_beats: Counter,
    unknown_messages: Counter,
    foreign_answers: Counter,
    target_bytes: Family<Labels, Counter>,
    /// Of other data centres and of the own one, so that a part of a stream needs no look-up.
    sent_bytes: [Counter; 2],
    received_bytes: [Counter; 2],
    task_failures: Family<Labels, Counter>,
    live_nodes: Gauge,
    limited_targets: Gauge,
    messages: Family<Labels, Counter>,
    message_bytes: Family<Labels, Counter>,
    message_failures: Family<Labels, Counter>,
    snapshots: Family<Labels, Counter>,
    snapshot_bytes: Family<Labels, Counter>,
    snapshot_refusals: Counter,
    document_version: Gauge,
}

impl fmt::Debug for EdgeMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EdgeMetrics").finish_non_exhaustive()
    }
}

impl Default for EdgeMetrics {
    fn default() -> Self {
        let target_bytes = Family::default();
        let metrics = Self {
            registry: Mutex::new(Registry::with_prefix("buckthornpier")),
            answers: Family::default(),
            framings: Family::default(),
            answer_time: Histogram::new(LATENCY_BUCKETS),
            first_event: Histogram::new(LATENCY_BUCKETS),
            streams: Family::default(),
            resumes: Family::default(),
            urgency_outcomes: Family::default(),
            forwards_sent: Family::default(),
            forwards_received: Family::default(),
            stuck: Counter::default(),
            losses: Family::default(),
            held_requests: Gauge::default(),
            bodies: telemetry::BodyMetrics::default(),
            held_answers: telemetry::AnswerMetrics::default(),
            held_parts: Gauge::default(),
            leaving_targets: Counter::default(),
            target_pauses: Counter::default(),
            remote_sends: Family::default(),
            remote_send_bytes: Family::default(),
            cut_off_services: Counter::default(),
            store_calls: Family::default(),
            store_failures: Family::default(),
            orders: Family::default(),
            member_queries: Counter::default(),
            bad_beats: Counter::default(),
            unknown_messages: Counter::default(),
            foreign_answers: Counter::default(),
            sent_bytes: centre_counters(&target_bytes, "sent"),
            received_bytes: centre_counters(&target_bytes, "received"),
            target_bytes,
            task_failures: Family::default(),
            live_nodes: Gauge::default(),
            limited_targets: Gauge::default(),
            messages: Family::default(),
            message_bytes: Family::default(),
            message_failures: Family::default(),
            snapshots: Family::default(),
            snapshot_bytes: Family::default(),
            snapshot_refusals: Counter::default(),
            document_version: Gauge::default(),
        };
        let mut registry = state::lock(&metrics.registry);
        registry.register(
            "answers",
            "Answers by cause and status",
            metrics.answers.clone(),
        );
        registry.register(
            "target_answers",
            "Answers of targets by what marks the end of the body",
            metrics.framings.clone(),
        );
        registry.register(
            "answer_seconds",
            "Time to the answer's head",
            metrics.answer_time.clone(),
        );
        registry.register(
            "first_event_seconds",
            "Time to a stream's first event",
            metrics.first_event.clone(),
        );
        metrics.register_streams(&mut registry);
        metrics.register_forwards(&mut registry);
        metrics.register_targets(&mut registry);
        registry.register(
            "store_calls",
            "Calls to the store",
            metrics.store_calls.clone(),
        );
        registry.register(
            "store_failures",
            "Calls to the store that failed",
            metrics.store_failures.clone(),
        );
        registry.register(
            "group_orders",
            "Orders to members of groups",
            metrics.orders.clone(),
        );
        registry.register(
            "member_questions",
            "Questions to members of groups",
            metrics.member_queries.clone(),
        );
        metrics.bodies.register(&mut registry);
        metrics.held_answers.register(&mut registry);
        metrics.register_messages(&mut registry);
        drop(registry);
        metrics
    }
}

/// Returns the counters of other data centres and of the own one.
fn centre_counters(family: &Family<Labels, Counter>, direction: &str) -> [Counter; 2] {
    ["other", "own"].map(|centre| {
        let labels = vec![
            ("direction", direction.to_owned()),
            ("centre", centre.to_owned()),
        ];
        family.get_or_create(&labels).clone()
    })
}

impl EdgeMetrics {
    fn register_forwards(&self, registry: &mut Registry) {
        registry.register(
            "forwards_sent",
            "Requests passed on to other nodes, by outcome",
            self.forwards_sent.clone(),
        );
        registry.register(
            "forwards_received",
            "Requests that other nodes passed on to this one, by outcome",
            self.forwards_received.clone(),
        );
    }

    fn register_messages(&self, registry: &mut Registry) {
        registry.register(
            "document_version",
            "Version of the document in force",
            self.document_version.clone(),
        );
        registry.register(
            "task_failures",
            "Loops of the node that panicked and were started again",
            self.task_failures.clone(),
        );
        registry.register(
            "limited_targets",
            "Targets that state how many requests they take",
            self.limited_targets.clone(),
        );
        registry.register(
            "live_nodes",
            "Other nodes that are alive",
            self.live_nodes.clone(),
        );
        registry.register(
            "bad_beats",
            "Datagrams that were not understood",
            self.bad_beats.clone(),
        );
        registry.register(
            "unknown_messages",
            "Datagrams of kinds that only later builds know",
            self.unknown_messages.clone(),
        );
        registry.register(
            "messages_sent",
            "Datagrams sent to other nodes, by kind",
            self.messages.clone(),
        );
        registry.register(
            "message_bytes_sent",
            "Bytes of the datagrams sent to other nodes, by kind",
            self.message_bytes.clone(),
        );
        registry.register(
            "messages_not_sent",
            "Datagrams that could not be sent, by kind",
            self.message_failures.clone(),
        );
        registry.register(
            "snapshots_served",
            "Lists and documents served to other nodes",
            self.snapshots.clone(),
        );
        registry.register(
            "snapshot_bytes_served",
            "Bytes of the lists and documents served to other nodes",
            self.snapshot_bytes.clone(),
        );
        registry.register(
            "snapshots_refused",
            "Requests for lists and documents that found too many others in progress",
            self.snapshot_refusals.clone(),
        );
    }

    fn register_streams(&self, registry: &mut Registry) {
        registry.register("streams", "Streams by how they ended", self.streams.clone());
        registry.register(
            "resumes",
            "Streams that lost their target",
            self.resumes.clone(),
        );
        registry.register(
            "streams_by_urgency",
            "Requests for streams by urgency and what became of them",
            self.urgency_outcomes.clone(),
        );
    }

    fn register_targets(&self, registry: &mut Registry) {
        registry.register(
            "stuck_targets",
            "Targets found stuck by silence",
            self.stuck.clone(),
        );
        registry.register(
            "target_losses",
            "Checks of targets that closed connections, by the cause found",
            self.losses.clone(),
        );
        registry.register(
            "held_requests",
            "Requests held back because their targets crashed",
            self.held_requests.clone(),
        );
        registry.register(
            "held_prompt_parts",
            "Sets of prompt parts held back because targets crashed under them",
            self.held_parts.clone(),
        );
        registry.register(
            "foreign_answers",
            "Answers of targets that belonged to an earlier request on the connection",
            self.foreign_answers.clone(),
        );
        registry.register(
            "target_body_bytes",
            "Bytes of bodies sent to and received from targets and nodes, by data centre",
            self.target_bytes.clone(),
        );
        registry.register(
            "leaving_targets",
            "Targets that stated in an answer that they leave",
            self.leaving_targets.clone(),
        );
        registry.register(
            "target_pauses",
            "Answers by which targets asked for a pause",
            self.target_pauses.clone(),
        );
        registry.register(
            "remote_sends",
            "Requests sent to targets of other data centres, by cause",
            self.remote_sends.clone(),
        );
        registry.register(
            "remote_send_bytes",
            "Bytes of the bodies of these requests, by cause",
            self.remote_send_bytes.clone(),
        );
        registry.register(
            "cut_off_services",
            "Times at which this node found that it reaches no target of a service",
            self.cut_off_services.clone(),
        );
    }

    pub(crate) fn count_answer(&self, cause: &str, status: u16, taken: time::Duration) {
        let labels = vec![("cause", cause.to_owned()), ("status", status.to_string())];
        self.answers.get_or_create(&labels).inc();
        self.answer_time.observe(taken.as_secs_f64());
    }

    pub(crate) fn count_framing(&self, framing: &str) {
        let labels = vec![("framing", framing.to_owned())];
        self.framings.get_or_create(&labels).inc();
    }

    pub(crate) fn observe_first_event(&self, taken: time::Duration) {
        self.first_event.observe(taken.as_secs_f64());
    }

    pub(crate) fn count_stream(&self, outcome: &str) {
        let labels = vec![("outcome", outcome.to_owned())];
        self.streams.get_or_create(&labels).inc();
    }

    pub(crate) fn count_resume(&self, outcome: &str) {
        let labels = vec![("outcome", outcome.to_owned())];
        self.resumes.get_or_create(&labels).inc();
    }

    /// Counts a request for a stream that was refused or began to be answered.
    pub(crate) fn count_urgency(&self, class: urgency::UrgencyClass, outcome: &str) {
        let labels = vec![
            ("urgency", class.label().to_owned()),
            ("outcome", outcome.to_owned()),
        ];
        self.urgency_outcomes.get_or_create(&labels).inc();
    }

    /// Counts a request that was passed on to another node.
    pub(crate) fn count_forward_sent(&self, outcome: &str) {
        let labels = vec![("outcome", outcome.to_owned())];
        self.forwards_sent.get_or_create(&labels).inc();
    }

    /// Counts a request that another node passed on, or a connection that was no node's.
    pub(crate) fn count_forward_received(&self, outcome: &str) {
        let labels = vec![("outcome", outcome.to_owned())];
        self.forwards_received.get_or_create(&labels).inc();
    }

    pub(crate) fn count_stuck(&self) {
        self.stuck.inc();
    }

    /// Counts an answer by which a target asked for a pause.
    pub(crate) fn count_cut_off(&self) {
        self.cut_off_services.inc();
    }

    pub(crate) fn count_pause(&self) {
        self.target_pauses.inc();
    }

    /// Counts a request that is sent to a target of another data centre.
    pub(crate) fn count_remote_send(&self, cause: &str, bytes: usize) {
        let labels = vec![("cause", cause.to_owned())];
        self.remote_sends.get_or_create(&labels).inc();
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.remote_send_bytes.get_or_create(&labels).inc_by(bytes);
    }

    /// Sets how many sets of prompt parts are held back.
    pub(crate) fn set_held_parts(&self, count: usize) {
        self.held_parts
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Counts a target that stated in an answer that it leaves.
    pub(crate) fn count_leaving(&self) {
        self.leaving_targets.inc();
    }

    pub(crate) fn count_loss(&self, cause: &str) {
        let labels = vec![("cause", cause.to_owned())];
        self.losses.get_or_create(&labels).inc();
    }

    pub(crate) const fn answers(&self) -> &telemetry::AnswerMetrics {
        &self.held_answers
    }

    pub(crate) const fn bodies(&self) -> &telemetry::BodyMetrics {
        &self.bodies
    }

    pub(crate) fn set_held_requests(&self, count: usize) {
        self.held_requests
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    pub(crate) fn count_store_call(&self, kind: &str, call: &str) {
        let labels = vec![("kind", kind.to_owned()), ("call", call.to_owned())];
        self.store_calls.get_or_create(&labels).inc();
    }

    pub(crate) fn count_store_failure(&self, kind: &str) {
        let labels = vec![("kind", kind.to_owned())];
        self.store_failures.get_or_create(&labels).inc();
    }

    pub(crate) fn count_order(&self, order: &str) {
        let labels = vec![("order", order.to_owned())];
        self.orders.get_or_create(&labels).inc();
    }

    pub(crate) fn count_member_query(&self) {
        self.member_queries.inc();
    }

    pub(crate) fn count_bad_beat(&self) {
        self.bad_beats.inc();
    }

    /// Counts a loop that panicked.
    pub(crate) fn count_task_failure(&self, task: &str) {
        let labels = vec![("task", task.to_owned())];
        self.task_failures.get_or_create(&labels).inc();
    }

    /// Counts an answer that belonged to another request.
    pub(crate) fn count_foreign_answer(&self) {
        self.foreign_answers.inc();
    }

    /// Counts the bytes of a body that was sent to a target or node.
    pub(crate) fn count_sent_bytes(&self, is_local: bool, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.sent_bytes[usize::from(is_local)].inc_by(bytes);
    }

    /// Counts bytes of a body that came from a target or node.
    pub(crate) fn count_received_bytes(&self, is_local: bool, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.received_bytes[usize::from(is_local)].inc_by(bytes);
    }

    /// Sets how many targets state a rate.
    pub(crate) fn set_limited_targets(&self, count: usize) {
        self.limited_targets
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Sets how many other nodes are alive.
    pub(crate) fn set_live_nodes(&self, count: usize) {
        self.live_nodes
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Counts a datagram of a kind that this build does not know.
    pub(crate) fn count_unknown_message(&self) {
        self.unknown_messages.inc();
    }

    /// Counts a datagram of this many bytes that was sent.
    pub(crate) fn count_message(&self, kind: &str, bytes: usize) {
        let labels = vec![("kind", kind.to_owned())];
        self.messages.get_or_create(&labels).inc();
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.message_bytes.get_or_create(&labels).inc_by(bytes);
    }

    pub(crate) fn count_message_failure(&self, kind: &str) {
        let labels = vec![("kind", kind.to_owned())];
        self.message_failures.get_or_create(&labels).inc();
    }

    pub(crate) fn count_snapshot_refusal(&self) {
        self.snapshot_refusals.inc();
    }

    /// Counts a list or document of this many bytes that was served to another node.
    pub(crate) fn count_snapshot(&self, content: &str, bytes: usize) {
        let labels = vec![("content", content.to_owned())];
        self.snapshots.get_or_create(&labels).inc();
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.snapshot_bytes.get_or_create(&labels).inc_by(bytes);
    }

    pub(crate) fn set_document_version(&self, version: u64) {
        self.document_version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
    }

    /// Returns all metrics in the `OpenMetrics` text format.
    ///
    /// # Errors
    ///
    /// Fails when the text cannot be encoded.
    pub(crate) fn page(&self) -> Result<String, fmt::Error> {
        let mut page = String::new();
        text::encode(&mut page, &state::lock(&self.registry))?;
        Ok(page)
    }
}

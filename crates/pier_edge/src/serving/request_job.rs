//! A caller's request while it is being served.

use std::{
    sync::{self, atomic},
    time,
};

use pier_fleet::{dispatch, documents, locality, urgency};
use pier_types::{ids, times};

use crate::{links, serving, state};

/// When callers may retry while a service has no target: about the time that repairing a group
/// takes.
const NO_TARGET_RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// Targets to which another node may send a request that is passed on. Further sends are this
/// node's, so that no count is lost with the other node.
const FORWARDED_SENDS: u32 = 1;

/// Targets not reached for a request after which it is passed on: connections that are open may go
/// on while others fail.
const MIN_UNREACHED_TARGETS: u32 = 2;

/// Factor from ranks in the document to ranks at targets.
const RANK_STEP: u8 = 2;

/// Least urgent rank that a target accepts.
const MAX_RANK: u8 = 9;

/// A request that was read completely, with everything that decides how it is sent.
#[derive(Debug)]
pub(super) struct RequestJob<P> {
    pub state: state::EdgeState<P>,
    pub parts: http::request::Parts,
    pub body: bytes::Bytes,
    pub head: links::CallerHead,
    /// The note of the node that passed the request on, if one did.
    pub forward: Option<serving::ForwardNote>,
    pub document: sync::Arc<documents::FleetDocument>,
    pub route: sync::Arc<documents::RouteRule>,
    pub service: ids::ServiceName,
    pub grant: Option<documents::CustomerGrant>,
    /// Identifies the request across its caller's attempts.
    pub fingerprint: ids::RequestFingerprint,
    pub arrived_at: times::BootTime,
    /// Ends the caller's connection visibly.
    pub reset: serving::ResetSwitch,
    /// Targets that could not be reached for this request.
    pub unreached: atomic::AtomicU32,
    /// Whether a target may have received the request from this node.
    pub may_have_run: atomic::AtomicBool,
    /// Time at which the shorter of the caller's and the route's time-out ends.
    pub deadline: times::BootTime,
}

/// The result of choosing a target.
#[derive(Debug)]
pub(super) enum TargetChoice {
    Send {
        slot: sync::Arc<state::TargetSlot>,
        expected: time::Duration,
    },
    Refuse(serving::Refusal),
}

impl<P: links::FleetPlatform> RequestJob<P> {
    /// Returns for whom the node holds the request's answer.
    pub(super) fn answer_owner(&self) -> serving::AnswerOwner {
        serving::AnswerOwner::new(self.head.attempt.clone(), self.reset.clone())
    }

    /// Returns the request's rank, 0 for the most urgent: the customer's own, or else the route's.
    pub(super) fn rank(&self) -> u8 {
        let customer_rank = self.grant.as_ref().and_then(|grant| grant.rank);
        customer_rank.unwrap_or(self.route.rank)
    }

    /// Returns the urgency with which a target gets the request, `after_event` if it is to resume the
    /// stream after that event.
    pub(super) fn class(&self, after_event: Option<&str>) -> urgency::UrgencyClass {
        if self.head.model.is_none() {
            return urgency::UrgencyClass::default();
        }
        urgency::UrgencyClass::of_rank(self.target_rank(after_event))
    }

    /// Returns the rank with which a target gets the request. Streams that are resumed come first.
    fn target_rank(&self, after_event: Option<&str>) -> u8 {
        let noted = self.forward.as_ref().map(|note| &note.after_event);
        let is_resumed = after_event.is_some() || noted.is_some_and(Option::is_some);
        if is_resumed { 0 } else { self.rank() }
    }

    /// Records that a target could not be reached.
    pub(super) fn record_unreached(&self, slot: &state::TargetSlot, now: times::BootTime) {
        self.unreached.fetch_add(1, atomic::Ordering::Relaxed);
        self.state.record_unreached(&self.service, &slot.vm, now);
        if let Some(link) = &slot.centre_link {
            link.record_failure(&slot.vm, now);
        }
    }

    /// Returns whether the request is passed on if another node takes it: this node reaches no
    /// target of the service, or several were not reached for this request.
    fn is_cut_off(&self) -> bool {
        let unreached = self.unreached.load(atomic::Ordering::Relaxed);
        let was_unreached = unreached >= MIN_UNREACHED_TARGETS && self.forward.is_none();
        was_unreached || self.state.is_cut_off(&self.service)
    }

    /// Returns whether the request is passed on to a node that reaches the service.
    pub(super) fn may_pass_on(&self, now: times::BootTime) -> bool {
        self.forward.is_none()
            && self.is_cut_off()
            && !self.state.forward_slots(&self.service, now).is_empty()
    }

    /// Returns to how many targets this node may send the request.
    pub(super) fn max_sends(&self) -> u32 {
        let max = self.route.max_sends;
        self.forward
            .as_ref()
            .map_or(max, |note| max.min(note.sends_left))
    }

    pub(super) fn time_left(&self, now: times::BootTime) -> time::Duration {
        self.deadline.since(now)
    }

    fn engine(&self) -> Option<(&documents::EngineSpec, f64)> {
        let service = self.document.services().get(&self.service)?;
        let engine = service.engine.as_deref()?;
        let model = engine.model(self.head.model.as_ref()?)?;
        Some((engine, model.pace))
    }

    /// Returns the request's model if the document has it. Callers may name any other, so that records
    /// by model are kept for these only.
    fn known_model(&self) -> Option<&ids::ModelName> {
        let model = self.head.model.as_ref();
        model.filter(|_model| self.engine().is_some())
    }

    /// Returns the mean time by which first events of the request's model come later than the
    /// engine's published times predict.
    pub(super) fn mean_delay(&self) -> time::Duration {
        let model = self.head.model.as_ref();
        model.map_or(time::Duration::ZERO, |model| {
            self.state.streams().first_events.mean_delay(model)
        })
    }

    /// Records how long a first event took; `expected` is the time estimated when the target was
    /// chosen.
    pub(super) fn record_first_event(
        &self,
        slot: &state::TargetSlot,
        expected: time::Duration,
        sent_at: times::BootTime,
        now: times::BootTime,
    ) {
        if let Some(link) = &slot.centre_link {
            link.record_delay(now.since(sent_at).saturating_sub(expected), now);
        }
        if let Some(model) = self.known_model() {
            let predicted = expected.saturating_sub(self.mean_delay());
            let streams = self.state.streams();
            streams
                .first_events
                .record(model, predicted, now.since(sent_at));
            let is_in_time = now.since(self.arrived_at) <= self.route.objective;
            let outcome = if is_in_time { "in-time" } else { "late" };
            self.record_outcome(outcome, is_in_time, now);
        }
    }

    /// Records how the request ended for the share of its urgency.
    fn record_outcome(&self, outcome: &'static str, is_in_time: bool, now: times::BootTime) {
        if let Some(model) = self.known_model() {
            let class = urgency::UrgencyClass::of_rank(self.rank());
            let streams = self.state.streams();
            streams.record_demand(model, |demand| {
                demand.record_outcome(class, is_in_time, now);
            });
            self.state.metrics().count_urgency(class, outcome);
        }
    }

    /// Records whether a target was chosen for the request, as demand of its urgency.
    fn record_choice(&self, outcome: &dispatch::ChoiceOutcome, now: times::BootTime) {
        let Some(model) = self.known_model() else {
            return;
        };
        match outcome {
            dispatch::ChoiceOutcome::Send { .. } => {
                let class = urgency::UrgencyClass::of_rank(self.rank());
                let streams = self.state.streams();
                streams.record_demand(model, |demand| {
                    demand.record_send(class, self.head.prompt_tokens, now);
                });
            }
            dispatch::ChoiceOutcome::Full { is_reserved, .. } => {
                let outcome = if *is_reserved { "reserved" } else { "refused" };
                self.record_outcome(outcome, false, now);
            }
            dispatch::ChoiceOutcome::NoTarget => {}
        }
    }

    /// Records the request as demand of its urgency and returns the demand for its model.
    fn note_demand(&self, is_first: bool, now: times::BootTime) -> urgency::DemandView {
        let Some(model) = self.known_model() else {
            return urgency::DemandView::default();
        };
        let class = urgency::UrgencyClass::of_rank(self.rank());
        let streams = self.state.streams();
        if is_first {
            let (prompt, objective) = (self.head.prompt_tokens, self.route.objective);
            streams.record_demand(model, |demand| {
                demand.record_arrival(class, prompt, objective, now);
            });
        }
        streams.demand(model, now)
    }

    /// Chooses a target among those that were not tried.
    pub(super) fn choose(
        &self,
        tried: &[ids::VmName],
        is_resumed: bool,
        now: times::BootTime,
    ) -> TargetChoice {
        if self.is_cut_off()
            && let Some(choice) = self.choose_node(tried, now)
        {
            return choice;
        }
        let is_resumed = is_resumed
            || self
                .forward
                .as_ref()
                .is_some_and(serving::ForwardNote::is_late);
        let table = self.state.table();
        let pool = table.services.get(&self.service);
        let all = pool.map_or(&[][..], |pool| pool.candidates(self.head.model.as_ref()));
        let untried: Vec<_> = all
            .iter()
            .filter(|slot| {
                !tried.contains(&slot.vm) && !slot.is_leaving(now) && slot.pause_left(now).is_none()
            })
            .collect();
        let engine = self.engine();
        let lost = all.iter().filter(|slot| tried.contains(&slot.vm));
        let displaced = lost
            .map(|slot| slot.gauge.running() + slot.gauge.waiting())
            .max();
        let is_first = tried.is_empty() && !is_resumed;
        let demand = self.note_demand(is_first, now);
        let draw = rand::random();
        let view_age = self.state.view_age();
        let may_leave = locality::may_leave(self.state.settings().bounds.remote_percent, draw);
        let facts = untried.iter().map(|slot| {
            let mut facts = slot.facts(engine, view_age, now);
            facts.centre.is_open &= may_leave;
            facts
        });
        let facts: Vec<_> = facts.collect();
        let request = dispatch::RequestFacts {
            prompt: self.head.prompt_tokens,
            objective: self.route.objective,
            time_left: self.time_left(now),
            rank: self.rank(),
            is_resumed,
            view_age,
            displaced: displaced.unwrap_or(0),
            demand,
            draw,
        };
        let mean_delay = self.mean_delay();
        let outcome = match engine {
            Some((engine, pace)) => {
                dispatch::choose_stream(engine, pace, mean_delay, &request, &facts)
            }
            None => dispatch::choose_plain(&request, &facts),
        };
        if is_first {
            self.record_choice(&outcome, now);
        }
        match outcome {
            dispatch::ChoiceOutcome::Send { position, expected } => {
                untried[position].take_limit(now);
                self.note_leaving(untried[position], &facts, position, expected);
                TargetChoice::Send {
                    slot: sync::Arc::clone(untried[position]),
                    expected,
                }
            }
            dispatch::ChoiceOutcome::Full {
                retry_after,
                expected,
                is_reserved,
            } => {
                let limit_wait = shortest_limit_wait(&untried, now);
                let retry_after = limit_wait.unwrap_or(retry_after);
                log::info!(
                    event = "request-over-capacity",
                    attempt = self.head.attempt.as_str(),
                    candidates = untried.len(),
                    expected_ms = millis(expected),
                    objective_ms = millis(request.objective),
                    rank = request.rank,
                    is_reserved,
                    limit_wait_ms:? = limit_wait.map(millis),
                    unreached = untried.iter().filter(|slot| slot.gauge.is_unreached(now)).count();
                    ""
                );
                self.choose_instead(&untried, tried, now)
                    .unwrap_or(TargetChoice::Refuse(serving::Refusal::Overloaded {
                        retry_after,
                    }))
            }
            dispatch::ChoiceOutcome::NoTarget => {
                let pause = shortest_pause(all, now);
                TargetChoice::Refuse(pause.map_or(
                    serving::Refusal::NoTarget {
                        retry_after: NO_TARGET_RETRY_AFTER,
                    },
                    |retry_after| serving::Refusal::Paused { retry_after },
                ))
            }
        }
    }

    /// Counts and logs a request that leaves this data centre.
    fn note_leaving(
        &self,
        slot: &state::TargetSlot,
        facts: &[dispatch::LoadFacts],
        position: usize,
        expected: time::Duration,
    ) {
        let Some(link) = &slot.centre_link else {
            return;
        };
        let cause = locality::RemoteCause::of(facts);
        let metrics = self.state.metrics();
        metrics.count_remote_send(cause.label(), self.body.len());
        let load = &facts[position];
        log::info!(
            event = "request-left-data-centre",
            attempt = self.head.attempt.as_str(),
            target_vm:% = slot.vm,
            data_centre:% = link.data_centre,
            cause = cause.label(),
            expected_ms = millis(expected),
            in_flight = load.in_flight(),
            load_age_ms = millis(load.centre.load_age),
            distance_ms = millis(load.centre.distance);
            ""
        );
    }

    /// Chooses a node to which the request is passed on when this node has just failed to reach most of
    /// the targets that are left, which other nodes may reach. Connections to some may still be open,
    /// so that the service does not count as cut off.
    ///
    /// A request that another node passed on is given back to it as not sent, as there may be a
    /// further node that takes it.
    fn choose_instead(
        &self,
        untried: &[&sync::Arc<state::TargetSlot>],
        tried: &[ids::VmName],
        now: times::BootTime,
    ) -> Option<TargetChoice> {
        if !self.reaches_few(untried, now) {
            return None;
        }
        let choice = self.choose_node(tried, now)?;
        let is_sent = matches!(choice, TargetChoice::Send { .. });
        (is_sent || self.forward.is_some()).then_some(choice)
    }

    /// Returns whether this node has just failed to reach most of the targets that were tried for this
    /// request without being reached or are left for it.
    fn reaches_few(&self, untried: &[&sync::Arc<state::TargetSlot>], now: times::BootTime) -> bool {
        let missed = self.unreached.load(atomic::Ordering::Relaxed);
        let missed = usize::try_from(missed).unwrap_or(usize::MAX);
        let resting = untried.iter();
        let resting = resting.filter(|slot| slot.gauge.is_unreached(now)).count();
        let unreached = missed.saturating_add(resting);
        unreached > untried.len() - resting
    }

    /// Chooses a node to which the request is passed on; `None` if no node reaches the service.
    ///
    /// A request that another node passed on stays here.
    fn choose_node(&self, tried: &[ids::VmName], now: times::BootTime) -> Option<TargetChoice> {
        if self.forward.is_some() {
            return Some(TargetChoice::Refuse(serving::Refusal::NoTarget {
                retry_after: NO_TARGET_RETRY_AFTER,
            }));
        }
        let nodes = self.state.forward_slots(&self.service, now);
        if nodes.is_empty() {
            return None;
        }
        let untried = nodes.iter().filter(|slot| {
            !tried.contains(&slot.vm) && !slot.connections.is_full() && !slot.gauge.is_stuck(now)
        });
        let load = |slot: &state::TargetSlot| {
            let draw: u32 = rand::random();
            (!slot.is_local, slot.gauge.local_in_flight(), draw)
        };
        let chosen = untried.min_by_key(|slot| load(slot));
        Some(chosen.map_or(
            TargetChoice::Refuse(serving::Refusal::NoTarget {
                retry_after: NO_TARGET_RETRY_AFTER,
            }),
            |slot| TargetChoice::Send {
                slot: sync::Arc::clone(slot),
                expected: time::Duration::ZERO,
            },
        ))
    }

    /// Builds the HTTP request for one target or node; `after_event` names the event after which the
    /// target is to resume a stream.
    pub(super) fn target_request(
        &self,
        slot: &state::TargetSlot,
        after_event: Option<&str>,
        now: times::BootTime,
    ) -> http::Request<http_body_util::Full<bytes::Bytes>> {
        let headers = if slot.is_node() {
            self.node_headers(after_event, now)
        } else {
            self.target_headers(slot, after_event, now)
        };
        let mut request = http::Request::new(http_body_util::Full::new(self.body.clone()));
        *request.method_mut() = self.parts.method.clone();
        *request.uri_mut() = self.parts.uri.clone();
        *request.headers_mut() = headers;
        request
    }

    fn target_headers(
        &self,
        slot: &state::TargetSlot,
        after_event: Option<&str>,
        now: times::BootTime,
    ) -> http::HeaderMap {
        let rank = self.target_rank(after_event);
        let rank = rank.saturating_mul(RANK_STEP).min(MAX_RANK);
        let note = self.forward.as_ref();
        let after_event = after_event.or_else(|| note?.after_event.as_deref());
        let terms = links::SendTerms {
            vm: &slot.vm,
            time_left: self.time_left(now),
            customer: self.grant.as_ref().map(|grant| &grant.customer),
            rank,
            after_event,
        };
        self.state.platform().target_headers(&self.parts, &terms)
    }

    /// Returns the caller's own headers with the note for another node.
    fn node_headers(&self, after_event: Option<&str>, now: times::BootTime) -> http::HeaderMap {
        let note = serving::ForwardNote {
            time_left: self.time_left(now),
            sends_left: FORWARDED_SENDS,
            may_have_run: self.may_have_run.load(atomic::Ordering::Relaxed),
            after_event: after_event.map(str::to_owned),
        };
        let mut headers = serving::without_connection_headers(&self.parts.headers);
        match http::HeaderValue::from_str(&note.text()) {
            Ok(value) => {
                headers.insert(serving::FORWARD_HEADER, value);
            }
            // The other node refuses a request without a note.
            Err(_invalid) => {
                log::warn!(event = "header-left-out", name = serving::FORWARD_HEADER; "");
            }
        }
        headers
    }
}

/// Returns for how long this node's parts of the rates of all targets are used up; `None` if that is not
/// what keeps the request from one of them.
fn shortest_limit_wait(
    slots: &[&sync::Arc<state::TargetSlot>],
    now: times::BootTime,
) -> Option<time::Duration> {
    let waits: Option<Vec<_>> = slots.iter().map(|slot| slot.limit_wait(now)).collect();
    waits?.into_iter().min()
}

/// Returns for how long all targets want no request; `None` if one of them takes requests, or all
/// leave.
fn shortest_pause(
    slots: &[sync::Arc<state::TargetSlot>],
    now: times::BootTime,
) -> Option<time::Duration> {
    let staying = slots.iter().filter(|slot| !slot.is_leaving(now));
    let pauses: Option<Vec<_>> = staying.map(|slot| slot.pause_left(now)).collect();
    pauses?.into_iter().min()
}

pub(super) fn millis(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

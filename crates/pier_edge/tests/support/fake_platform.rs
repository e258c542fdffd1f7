//! A platform in memory, with its own header names.

use std::{
    collections, net,
    sync::{Arc, Mutex},
    time,
};

use pier_edge::links;
use pier_fleet::{documents, formation, targets};
use pier_types::{epochs, ids, rates};
use tokio::sync::Notify;

/// Time after which a caller gives up a call other than a watch.
const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// Time after which a caller gives up a watch whose waiting time has passed.
const WATCH_SLACK: time::Duration = time::Duration::from_secs(2);

/// A store of records and an interface to VMs; clones share the same state.
#[derive(Clone, Debug, Default)]
pub struct FakePlatform {
    shared: Arc<Shared>,
    /// Addresses at which this clone's node sees VMs, instead of the registered ones.
    links: collections::BTreeMap<String, net::SocketAddr>,
}

/// The text of each record of the nodes, with its version.
type NodeRecords = collections::BTreeMap<String, (u64, String)>;

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    changed: Notify,
}

#[derive(Clone, Debug, Default)]
struct State {
    era: u64,
    version: u64,
    targets: collections::BTreeMap<String, (u64, targets::TargetEntry)>,
    document: Option<(u64, Arc<documents::FleetDocument>)>,
    nodes: NodeRecords,
    out_of_service: collections::BTreeMap<String, u64>,
    removed: Vec<(u64, links::RecordKind, String)>,
    mode: StoreMode,
    /// How often the store has fallen silent.
    silences: u64,
    answer_delay: time::Duration,
    /// First version from which changes can still be watched.
    kept_from: u64,
    /// Version at which lists of nodes' records are answered, instead of the current one.
    stale_nodes_at: Option<u64>,
    /// Records of nodes as they are answered, with their version, instead of the current ones.
    old_nodes: Option<(u64, NodeRecords)>,
    hides_nodes: bool,
    refuses_nodes: bool,
    refuses_writes: bool,
    silent_until: collections::BTreeMap<String, time::Instant>,
    orders: Vec<formation::GroupOrder>,
    calls: collections::BTreeMap<(links::RecordKind, &'static str), usize>,
    panics: collections::BTreeSet<links::RecordKind>,
}

/// How the store answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum StoreMode {
    #[default]
    Serving,
    /// It refuses every call.
    Away,
    /// It leaves every call unanswered.
    Silent,
}

/// The content of a store at some moment.
pub struct StoreCopy(State);

/// A call to the store while it waits for its answer.
struct OpenCall {
    silences: u64,
    /// Time at which the caller gives up.
    end: tokio::time::Instant,
}

impl State {
    fn at(&self, revision: u64) -> epochs::ObjectVersion {
        epochs::ObjectVersion::in_era(epochs::StoreEra::new(self.era), revision)
    }
}

impl FakePlatform {
    /// Makes the node that gets this clone reach a VM at another address, such as that of a link.
    #[must_use]
    pub fn with_link(mut self, vm: &str, address: net::SocketAddr) -> Self {
        self.links.insert(vm.to_owned(), address);
        self
    }

    fn linked(&self, mut entry: targets::TargetEntry) -> targets::TargetEntry {
        if let Some(address) = self.links.get(entry.vm.as_str()) {
            entry.address = *address;
        }
        entry
    }

    /// Returns a copy of the store.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.shared.state.lock().unwrap().clone())
    }

    /// Replaces the store's content by a copy, which begins another era.
    pub fn restore(&self, copy: StoreCopy) {
        let mut state = self.shared.state.lock().unwrap();
        let era = state.era + 1;
        *state = State { era, ..copy.0 };
        drop(state);
        self.shared.changed.notify_waiters();
    }

    /// Returns how many calls of this name there were for records of a kind.
    pub fn calls(&self, kind: links::RecordKind, call: &'static str) -> usize {
        let state = self.shared.state.lock().unwrap();
        state.calls.get(&(kind, call)).copied().unwrap_or_default()
    }

    /// Makes the next answer for records of a kind panic in the node that reads it.
    pub fn panic_at(&self, kind: links::RecordKind) {
        self.change(|state, _version| {
            state.panics.insert(kind);
        });
    }

    fn count_call(&self, kind: links::RecordKind, call: &'static str) {
        let mut state = self.shared.state.lock().unwrap();
        *state.calls.entry((kind, call)).or_default() += 1;
    }

    /// Writes a record of the nodes.
    pub fn put_node(&self, name: &str, text: &str) {
        self.change(|state, version| {
            state
                .nodes
                .insert(name.to_owned(), (version, text.to_owned()));
        });
    }

    /// Returns the text of a record of the nodes.
    pub fn node_record(&self, name: &str) -> Option<String> {
        let state = self.shared.state.lock().unwrap();
        state.nodes.get(name).map(|(_version, text)| text.clone())
    }

    /// Returns the names of the nodes' records.
    pub fn node_records(&self) -> Vec<String> {
        let state = self.shared.state.lock().unwrap();
        state.nodes.keys().cloned().collect()
    }

    fn change(&self, change: impl FnOnce(&mut State, u64)) {
        let mut state = self.shared.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        change(&mut state, version);
        drop(state);
        self.shared.changed.notify_waiters();
    }

    pub fn put_target(&self, entry: targets::TargetEntry) {
        self.change(|state, version| {
            state.targets.insert(entry.vm.to_string(), (version, entry));
        });
    }

    pub fn remove_target(&self, vm: &str) {
        self.change(|state, version| {
            state.targets.remove(vm);
            state
                .removed
                .push((version, links::RecordKind::Targets, vm.to_owned()));
        });
    }

    pub fn put_document(&self, document: documents::FleetDocument) {
        self.change(|state, version| state.document = Some((version, Arc::new(document))));
    }

    pub fn take_out_of_service(&self, name: &str) {
        self.change(|state, version| {
            state.out_of_service.insert(name.to_owned(), version);
        });
    }

    /// Makes every call to the store fail, or succeed again.
    pub fn set_away(&self, is_away: bool) {
        self.change(|state, _version| {
            state.mode = if is_away {
                StoreMode::Away
            } else {
                StoreMode::Serving
            };
        });
    }

    /// Leaves every call unanswered, also those that wait already, or answers new calls again.
    pub fn set_silent(&self, is_silent: bool) {
        self.change(|state, _version| {
            state.mode = if is_silent {
                StoreMode::Silent
            } else {
                StoreMode::Serving
            };
            state.silences += u64::from(is_silent);
        });
    }

    /// Delays every answer.
    pub fn set_answer_delay(&self, delay: time::Duration) {
        self.change(|state, _version| state.answer_delay = delay);
    }

    /// Forgets all changes up to now; lists of nodes' records are answered as of before.
    pub fn forget_history(&self) {
        self.change(|state, version| {
            state.stale_nodes_at = Some(version - 1);
            state.kept_from = version;
        });
    }

    fn begin_call(&self, limit: time::Duration) -> OpenCall {
        OpenCall {
            silences: self.shared.state.lock().unwrap().silences,
            end: tokio::time::Instant::now() + limit,
        }
    }

    fn is_lost(&self, call: &OpenCall) -> bool {
        let state = self.shared.state.lock().unwrap();
        state.mode == StoreMode::Silent || state.silences != call.silences
    }

    /// Returns the answer to a call after the store's delay, or an error once the caller gives up.
    async fn end_call<T>(
        &self,
        call: OpenCall,
        answer: Result<T, links::StoreError>,
    ) -> Result<T, links::StoreError> {
        let delay = self.shared.state.lock().unwrap().answer_delay;
        tokio::time::sleep(delay).await;
        if self.is_lost(&call) {
            tokio::time::sleep_until(call.end).await;
            return Err(links::StoreError::Away("no answer in time".to_owned()));
        }
        answer
    }

    /// Leaves a VM's queries and orders unanswered for a while.
    pub fn silence_vm(&self, vm: &str, duration: time::Duration) {
        let end = time::Instant::now() + duration;
        let mut state = self.shared.state.lock().unwrap();
        state.silent_until.insert(vm.to_owned(), end);
    }

    /// Returns the orders that VMs were sent.
    pub fn orders(&self) -> Vec<formation::GroupOrder> {
        self.shared.state.lock().unwrap().orders.clone()
    }

    /// Waits while a VM is silent; returns whether it answers within the limit.
    async fn wait_for_vm(&self, vm: &ids::VmName, limit: time::Duration) -> bool {
        let end = {
            let state = self.shared.state.lock().unwrap();
            state.silent_until.get(vm.as_str()).copied()
        };
        let now = time::Instant::now();
        let left = end.map_or(time::Duration::ZERO, |end| end.duration_since(now));
        tokio::time::sleep(left.min(limit)).await;
        left < limit
    }

    /// Refuses to list the records of nodes, or lists them again.
    pub fn refuse_nodes(&self, refuses: bool) {
        self.change(|state, _version| state.refuses_nodes = refuses);
    }

    /// Refuses all writes, so that no steward is elected, or takes them again.
    pub fn refuse_writes(&self, refuses: bool) {
        self.change(|state, _version| state.refuses_writes = refuses);
    }

    /// Answers reads of nodes' records as of now, however they change, or as they are again.
    pub fn set_nodes_stale(&self, is_stale: bool) {
        self.change(|state, version| {
            state.old_nodes = is_stale.then(|| (version, state.nodes.clone()));
        });
    }

    /// Returns whether nodes find no peers.
    pub fn hides_nodes(&self) -> bool {
        self.shared.state.lock().unwrap().hides_nodes
    }

    /// Leaves the records of nodes out of all answers, so that nodes find no peers.
    pub fn hide_nodes(&self) {
        self.change(|state, _version| state.hides_nodes = true);
    }

    fn records(&self, kind: links::RecordKind) -> Result<links::RecordList, links::StoreError> {
        let state = self.shared.state.lock().unwrap();
        if state.mode == StoreMode::Away
            || (state.refuses_nodes && kind == links::RecordKind::Nodes)
        {
            return Err(links::StoreError::Refused(503));
        }
        let record = |name: &str, version: u64, content| links::StoreRecord {
            name: name.to_owned(),
            version: state.at(version),
            content,
        };
        let old_nodes = state.old_nodes.as_ref();
        let records = match kind {
            links::RecordKind::Targets => state
                .targets
                .iter()
                .map(|(name, (version, entry))| {
                    let content =
                        links::RecordContent::Target(Box::new(self.linked(entry.clone())));
                    record(name, *version, content)
                })
                .collect(),
            links::RecordKind::Document => state
                .document
                .iter()
                .map(|(version, document)| {
                    record(
                        "document",
                        *version,
                        links::RecordContent::Document(Arc::clone(document)),
                    )
                })
                .collect(),
            links::RecordKind::OutOfService => state
                .out_of_service
                .iter()
                .map(|(name, version)| {
                    let centre = name.parse().unwrap();
                    record(name, *version, links::RecordContent::OutOfService(centre))
                })
                .collect(),
            links::RecordKind::Nodes => old_nodes
                .map_or(&state.nodes, |(_version, nodes)| nodes)
                .iter()
                .filter(|(name, _node)| !(state.hides_nodes && name.starts_with("node.")))
                .map(|(name, (version, text))| {
                    record(name, *version, links::RecordContent::Node(text.clone()))
                })
                .collect(),
        };
        let old_at = old_nodes.map(|(version, _nodes)| *version);
        let stale_at = old_at.or(state.stale_nodes_at);
        let stale_at = stale_at.filter(|_version| kind == links::RecordKind::Nodes);
        Ok(links::RecordList {
            records,
            at: state.at(stale_at.unwrap_or(state.version)),
        })
    }

    fn changes(
        &self,
        kind: links::RecordKind,
        after: epochs::ObjectVersion,
    ) -> Result<links::RecordChanges, links::StoreError> {
        let list = self.records(kind)?;
        let panics = self.shared.state.lock().unwrap().panics.remove(&kind);
        assert!(!panics, "the answer makes its reader panic");
        let state = self.shared.state.lock().unwrap();
        if after.era() != list.at.era() || after.revision() < state.kept_from {
            return Err(links::StoreError::HistoryGone);
        }
        let new = list
            .records
            .into_iter()
            .filter(|record| record.version > after);
        let mut changes: Vec<_> = new.map(links::RecordChange::Put).collect();
        let removed = state
            .removed
            .iter()
            .filter(|(version, removed_kind, _name)| {
                *removed_kind == kind && state.at(*version) > after
            });
        changes
            .extend(removed.map(|(_version, _kind, name)| links::RecordChange::Gone(name.clone())));
        Ok(links::RecordChanges {
            changes,
            at: list.at,
        })
    }
}

impl links::RecordStore for FakePlatform {
    async fn list(&self, kind: links::RecordKind) -> Result<links::RecordList, links::StoreError> {
        self.count_call(kind, "list");
        let call = self.begin_call(CALL_TIMEOUT);
        let records = self.records(kind);
        self.end_call(call, records).await
    }

    async fn watch(
        &self,
        kind: links::RecordKind,
        after: epochs::ObjectVersion,
        wait: time::Duration,
    ) -> Result<links::RecordChanges, links::StoreError> {
        self.count_call(kind, "watch");
        let call = self.begin_call(wait + WATCH_SLACK);
        let end = tokio::time::Instant::now() + wait;
        let answer = loop {
            let notice = self.shared.changed.notified();
            let answer = self.changes(kind, after);
            let is_waiting = matches!(&answer, Ok(changes) if changes.changes.is_empty());
            if !is_waiting || self.is_lost(&call) {
                break answer;
            }
            if tokio::time::timeout_at(end, notice).await.is_err() {
                break self.changes(kind, after);
            }
        };
        self.end_call(call, answer).await
    }

    async fn write(
        &self,
        name: &str,
        if_version: Option<epochs::ObjectVersion>,
        text: String,
    ) -> links::StoreWrite {
        let call = self.begin_call(CALL_TIMEOUT);
        if let Err(error) = self.end_call(call, Ok(())).await {
            return links::StoreWrite::Failed(error);
        }
        let found = {
            let state = self.shared.state.lock().unwrap();
            if state.mode == StoreMode::Away || state.refuses_writes {
                return links::StoreWrite::Failed(links::StoreError::Refused(503));
            }
            let known = state.nodes.get(name);
            known.map(|(version, text)| links::StoreRecord {
                name: name.to_owned(),
                version: state.at(*version),
                content: links::RecordContent::Node(text.clone()),
            })
        };
        let known = found
            .as_ref()
            .map(|record| record.version)
            .unwrap_or_default();
        // A condition of an earlier era only holds for an object that does not exist.
        let is_stale = |wanted: epochs::ObjectVersion| wanted.era() != known.era();
        let holds = if_version
            .is_none_or(|wanted| wanted == known || (found.is_none() && is_stale(wanted)));
        if !holds {
            return links::StoreWrite::Conflict(found);
        }
        let mut written = epochs::ObjectVersion::default();
        self.change(|state, version| {
            state.nodes.insert(name.to_owned(), (version, text));
            written = state.at(version);
        });
        links::StoreWrite::Written(written)
    }
}

impl links::MemberLink for FakePlatform {
    async fn query(
        &self,
        vm: &ids::VmName,
        _address: net::SocketAddr,
        limit: time::Duration,
    ) -> Result<links::MemberReport, links::QueryFault> {
        if !self.wait_for_vm(vm, limit).await {
            return Err(links::QueryFault::Silent);
        }
        let state = self.shared.state.lock().unwrap();
        let Some((_version, entry)) = state.targets.get(vm.as_str()) else {
            return Err(links::QueryFault::Failed("no such VM".to_owned()));
        };
        Ok(links::MemberReport {
            standing: entry.standing.clone(),
            pace: 1.0,
        })
    }

    async fn order(
        &self,
        order: &formation::GroupOrder,
        _address: net::SocketAddr,
        limit: time::Duration,
    ) -> links::OrderOutcome {
        self.shared.state.lock().unwrap().orders.push(order.clone());
        if !self.wait_for_vm(&order.vm, limit).await {
            return links::OrderOutcome::Lost("no answer in time".to_owned());
        }
        links::OrderOutcome::Unknown(400)
    }
}

impl links::HeaderCodec for FakePlatform {
    fn read_request(&self, head: &http::request::Parts) -> links::CallerHead {
        let text = |name: &str| Some(head.headers.get(name)?.to_str().ok()?.to_owned());
        links::CallerHead {
            host: text("host").unwrap_or_default(),
            attempt: text("x-attempt").unwrap_or_default(),
            timeout: text("x-timeout-ms")
                .and_then(|millis| millis.parse().ok())
                .map(time::Duration::from_millis),
            key: text("x-key"),
            model: text("x-model").and_then(|model| model.parse().ok()),
            prompt_tokens: 100,
            answer_tokens: 100,
            shared_parts: text("x-parts").map_or_else(Vec::new, |parts| {
                let parts = parts.split(',').map(|part| part.parse().unwrap());
                parts.collect()
            }),
            last_event: text("x-after"),
        }
    }

    fn target_headers(
        &self,
        head: &http::request::Parts,
        terms: &links::SendTerms<'_>,
    ) -> http::HeaderMap {
        let mut headers = head.headers.clone();
        headers.remove("x-key");
        headers.remove("content-length");
        headers.remove("transfer-encoding");
        let mut set = |name: &'static str, value: &str| {
            headers.insert(name, value.parse().unwrap());
        };
        set("x-vm", terms.vm.as_str());
        set("x-timeout-ms", &terms.time_left.as_millis().to_string());
        if let Some(customer) = terms.customer {
            set("x-customer", customer.as_str());
        }
        if let Some(event) = terms.after_event {
            set("x-after", event);
        }
        headers
    }

    fn read_answer(&self, attempt: &str, head: &http::response::Parts) -> links::AnswerHead {
        let echoed = head
            .headers
            .get("x-attempt")
            .and_then(|value| value.to_str().ok());
        links::AnswerHead {
            is_not_run: head.headers.contains_key("x-not-run"),
            origin: match echoed {
                None => links::AnswerOrigin::Unproved,
                Some(echoed) if echoed == attempt => links::AnswerOrigin::Target,
                Some(_other) => links::AnswerOrigin::OtherAttempt,
            },
            names_attempt: echoed == Some(attempt),
            notice: if head.headers.contains_key("x-leaving") {
                links::TargetNotice::Leaving
            } else {
                links::TargetNotice::Staying
            },
            limit: head
                .headers
                .get("x-limit")
                .map_or(links::LimitStatement::Unlimited, |value| {
                    let milli = value.to_str().unwrap().parse().unwrap();
                    links::LimitStatement::Rate(rates::RequestMilliRate::new(milli))
                }),
            pause: head.headers.get("x-pause").map(|value| {
                let seconds = value.to_str().unwrap().parse().unwrap();
                time::Duration::from_secs_f64(seconds)
            }),
            closes: false,
            idle_time: head.headers.get("x-idle").map(|value| {
                let seconds = value.to_str().unwrap().parse().unwrap();
                time::Duration::from_secs(seconds)
            }),
        }
    }

    fn life_request(&self, vm: &ids::VmName) -> http::Request<()> {
        let request = http::Request::get("/alive").header("x-vm", vm.as_str());
        request.body(()).unwrap()
    }

    fn is_life_sign(&self, _vm: &ids::VmName, head: &http::response::Parts) -> bool {
        head.headers.contains_key("x-alive")
    }

    fn caller_headers(&self, head: &http::response::Parts) -> http::HeaderMap {
        let mut headers = head.headers.clone();
        headers.remove("content-length");
        headers.remove("transfer-encoding");
        headers
    }
}

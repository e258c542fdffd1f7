//! The task that keeps the newest valid configuration in force.

use std::{collections, net, time};

use pier_config::watches;
use pier_types::{epochs, ids, times};
use tokio::sync::{mpsc, watch};

use crate::{
    configs::{self, config_report, peer_copies, platform_watch},
    forwards, handle,
};

/// Time between two checks of waiting copies, and unit of the two constants below.
const TICK_PERIOD: time::Duration = time::Duration::from_millis(100);
/// Ticks between two requests to another node while this one has no configuration yet.
const FRESH_ASK_TICKS: u64 = 5;
/// Ticks between two requests to another node while the platform is unavailable.
const OUTAGE_ASK_TICKS: u64 = 10;
/// Time between two log lines about the same refused document.
const REMINDER_PERIOD: time::Duration = time::Duration::from_mins(1);

/// Brings new versions into force as they arrive.
#[derive(Debug)]
pub struct ConfigLoop {
    handle: handle::NodeHandle,
    client: forwards::ForwardClient,
    inbox: configs::ConfigInbox,
    watcher: watches::ConfigWatcher,
    in_force: watch::Sender<epochs::ConfigVersion>,
    addresses: collections::BTreeMap<ids::NodeName, net::SocketAddr>,
    is_platform_away: bool,
    ticks: u64,
    reminded_at: times::BootTime,
}

impl ConfigLoop {
    /// Starts the loop; it ends with the runtime. Returns the inbox for hints of peers.
    pub fn spawn(
        handle: handle::NodeHandle,
        client: forwards::ForwardClient,
    ) -> configs::ConfigInbox {
        let (inbox, events) = configs::ConfigInbox::open();
        let now = times::clocks::boot_now();
        let (in_force, receiver) = watch::channel(epochs::ConfigVersion::default());
        let platform_watch =
            platform_watch::PlatformWatch::new(handle.clone(), inbox.clone(), receiver);
        tokio::spawn(platform_watch.run());
        let config_loop = Self {
            handle,
            client,
            inbox: inbox.clone(),
            watcher: watches::ConfigWatcher::new(now),
            in_force,
            addresses: collections::BTreeMap::new(),
            is_platform_away: false,
            ticks: 0,
            reminded_at: now,
        };
        tokio::spawn(config_loop.run(events));
        inbox
    }

    async fn run(mut self, mut events: mpsc::Receiver<configs::ConfigEvent>) {
        let mut ticks = tokio::time::interval(TICK_PERIOD);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                event = events.recv() => match event {
                    Some(event) => self.handle_event(event),
                    None => return,
                },
                _instant = ticks.tick() => self.tick(),
            }
        }
    }

    fn handle_event(&mut self, event: configs::ConfigEvent) {
        let now = times::clocks::boot_now();
        let actions = match event {
            configs::ConfigEvent::Hint {
                node,
                address,
                version,
            } => {
                let actions = self.watcher.hint(&node, version, now);
                if !actions.is_empty() {
                    self.addresses.insert(node, address);
                }
                actions
            }
            configs::ConfigEvent::Copy(copy) => self.watcher.offer(&copy, now),
            configs::ConfigEvent::Absent => self.watcher.absent(),
            configs::ConfigEvent::PlatformUnavailable(is_away) => {
                self.is_platform_away = is_away;
                Vec::new()
            }
        };
        self.run_actions(actions);
    }

    fn tick(&mut self) {
        let now = times::clocks::boot_now();
        let actions = self.watcher.tick(now);
        self.run_actions(actions);
        self.ask_peers_when_due();
        self.log_still_refused(now);
        self.ticks += 1;
    }

    /// Asks other nodes while this one has no configuration or the platform is unavailable: all seeds
    /// at the start, later one random node at a time.
    fn ask_peers_when_due(&self) {
        let fresh = self.watcher.in_force().is_none();
        if fresh && self.ticks == 0 {
            for seed in &self.handle.settings().seeds {
                self.ask(*seed);
            }
        }
        let period = if fresh {
            FRESH_ASK_TICKS
        } else {
            OUTAGE_ASK_TICKS
        };
        let due = self.ticks > 0 && self.ticks.is_multiple_of(period);
        if due && (fresh || self.is_platform_away) {
            self.ask_random_node();
        }
    }

    fn ask_random_node(&self) {
        let peers = self.handle.peers();
        let peers = peers.iter().map(|peer| peer.address);
        let seeds = self.handle.settings().seeds.iter().copied();
        let nodes = peers.chain(seeds).collect::<Vec<_>>();
        if !nodes.is_empty() {
            self.ask(nodes[rand::random_range(0..nodes.len())]);
        }
    }

    /// Logs again, once per period, that a document above the one in force is refused.
    fn log_still_refused(&mut self, now: times::BootTime) {
        if now.since(self.reminded_at) < REMINDER_PERIOD {
            return;
        }
        self.reminded_at = now;
        if let Some(copy) = self.watcher.refused() {
            log::error!(
                event = "config-still-refused",
                version:% = copy.version,
                in_force:% = self.watcher.version();
                ""
            );
        }
    }

    fn run_actions(&mut self, actions: Vec<watches::WatchAction>) {
        for action in actions {
            match action {
                watches::WatchAction::Apply(record) => self.apply(&record),
                watches::WatchAction::AskPeer(node) => {
                    if let Some(address) = self.addresses.remove(&node) {
                        self.ask(address);
                    }
                }
                watches::WatchAction::ReadPlatform => {
                    let reading =
                        platform_watch::read_once(self.handle.clone(), self.inbox.clone());
                    tokio::spawn(reading);
                }
                watches::WatchAction::Report(report) => config_report::log_report(&report),
            }
        }
        let refused = self.watcher.refused().map(|copy| copy.version);
        self.handle.publish_refused_config(refused);
        let metrics = self.handle.metrics();
        metrics.record_config(self.watcher.version(), refused);
    }

    fn apply(&self, record: &watches::ParsedConfig) {
        let before = self.handle.config();
        let before = before.as_ref().map(|snapshot| &snapshot.document);
        config_report::log_applied(record, before);
        self.handle.publish_config(handle::ConfigSnapshot {
            version: record.version,
            document: record.document.as_ref().clone(),
            text: record.text.as_ref().to_owned(),
        });
        self.in_force.send_replace(record.version);
    }

    fn ask(&self, address: net::SocketAddr) {
        let (client, inbox) = (self.client.clone(), self.inbox.clone());
        let after = self.watcher.version();
        tokio::spawn(async move {
            match peer_copies::ask_peer(&client, address, after).await {
                Ok(copy) => inbox.send(configs::ConfigEvent::Copy(copy)).await,
                Err(error) => {
                    let cause = format!("{error:#}");
                    log::debug!(event = "config-peer-silent", peer:% = address, cause; "");
                }
            }
        });
    }
}

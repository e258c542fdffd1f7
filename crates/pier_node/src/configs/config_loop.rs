//! The loop around the decision which version is in force.

use std::{collections, net, time};

use pier_config::watches;
use pier_types::{epochs, ids, times};
use tokio::sync::{mpsc, watch};

use crate::{
    configs::{self, config_report, peer_copies, platform_watch},
    forwards, handle,
};

/// Time between two looks at waiting copies, and between questions of a fresh node to its seeds.
const TICK_PERIOD: time::Duration = time::Duration::from_millis(100);
/// Ticks between two questions of a fresh node to another node.
const FRESH_TICKS: u64 = 5;
/// Ticks between two questions to another node while the platform is away.
const AWAY_TICKS: u64 = 10;
/// Time after which a refused document is told again.
const REMIND_PERIOD: time::Duration = time::Duration::from_mins(1);

/// Brings versions into force as news of them arrives.
#[derive(Debug)]
pub struct ConfigLoop {
    handle: handle::NodeHandle,
    client: forwards::ForwardClient,
    inbox: configs::ConfigInbox,
    watcher: watches::ConfigWatcher,
    in_force: watch::Sender<epochs::ConfigVersion>,
    addresses: collections::BTreeMap<ids::NodeName, net::SocketAddr>,
    platform_away: bool,
    ticks: u64,
    reminded: times::BootTime,
}

impl ConfigLoop {
    /// Starts the loop; it ends with the runtime. Hints of peers go to the inbox.
    pub fn spawn(
        handle: handle::NodeHandle,
        client: forwards::ForwardClient,
    ) -> configs::ConfigInbox {
        let (inbox, news) = configs::ConfigInbox::open();
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
            platform_away: false,
            ticks: 0,
            reminded: now,
        };
        tokio::spawn(config_loop.run(news));
        inbox
    }

    async fn run(mut self, mut news: mpsc::Receiver<configs::ConfigNews>) {
        let mut ticks = tokio::time::interval(TICK_PERIOD);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                item = news.recv() => match item {
                    Some(item) => self.take(item),
                    None => return,
                },
                _instant = ticks.tick() => self.tick(),
            }
        }
    }

    fn take(&mut self, news: configs::ConfigNews) {
        let now = times::clocks::boot_now();
        let actions = match news {
            configs::ConfigNews::Hint {
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
            configs::ConfigNews::Copy(copy) => self.watcher.offer(&copy, now),
            configs::ConfigNews::Absent => self.watcher.absent(),
            configs::ConfigNews::PlatformAway(away) => {
                self.platform_away = away;
                Vec::new()
            }
        };
        self.act(actions);
    }

    fn tick(&mut self) {
        let now = times::clocks::boot_now();
        let actions = self.watcher.tick(now);
        self.act(actions);
        self.ask_around();
        self.remind(now);
        self.ticks += 1;
    }

    /// Asks other nodes while this one is fresh or the platform is away: all seeds at the start, later
    /// one node at a time, drawn by chance.
    fn ask_around(&self) {
        let fresh = self.watcher.in_force().is_none();
        if fresh && self.ticks == 0 {
            for seed in &self.handle.settings().seeds {
                self.ask(*seed);
            }
        }
        let period = if fresh { FRESH_TICKS } else { AWAY_TICKS };
        let due = self.ticks > 0 && self.ticks.is_multiple_of(period);
        if due && (fresh || self.platform_away) {
            self.ask_any();
        }
    }

    fn ask_any(&self) {
        let peers = self.handle.peers();
        let peers = peers.iter().map(|peer| peer.address);
        let seeds = self.handle.settings().seeds.iter().copied();
        let nodes = peers.chain(seeds).collect::<Vec<_>>();
        if !nodes.is_empty() {
            self.ask(nodes[rand::random_range(0..nodes.len())]);
        }
    }

    /// Says again that a document above the one in force is refused.
    fn remind(&mut self, now: times::BootTime) {
        if now.since(self.reminded) < REMIND_PERIOD {
            return;
        }
        self.reminded = now;
        if let Some(copy) = self.watcher.refused() {
            log::error!(
                event = "config-still-refused",
                version:% = copy.version,
                in_force:% = self.watcher.version();
                ""
            );
        }
    }

    fn act(&mut self, actions: Vec<watches::WatchAction>) {
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
                Ok(copy) => inbox.send(configs::ConfigNews::Copy(copy)).await,
                Err(error) => {
                    let cause = format!("{error:#}");
                    log::debug!(event = "config-peer-silent", peer:% = address, cause; "");
                }
            }
        });
    }
}

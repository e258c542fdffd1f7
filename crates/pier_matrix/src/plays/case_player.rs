//! Runs one case.

use std::{collections, sync, time};

use anyhow::Context as _;
use pier_fakes::engine;
use pier_types::{routes, times};
use tokio::task;

use crate::{bench, cases, plays};

/// Time after its deadline when a caller counts the answer as lost.
const LATE_ANSWER_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Time limit of a whole play, so that one that hangs fails.
const PLAY_TIMEOUT: time::Duration = time::Duration::from_mins(4);

/// Runs one case on a bench of its own.
#[derive(Debug)]
pub struct CasePlayer {
    bench: bench::TestBench,
    system: plays::TestedSystem,
    client: reqwest::Client,
    tracker: plays::CallTracker,
    drains: Vec<task::JoinHandle<()>>,
    moments: collections::BTreeMap<String, times::BootTime>,
    keys_issued_at: times::WallTime,
}

impl CasePlayer {
    /// Runs a case and checks its expectations.
    ///
    /// # Errors
    ///
    /// Fails when an action of the play fails or an expectation does not hold.
    pub async fn play(case: &cases::FaultCase, system: plays::TestedSystem) -> anyhow::Result<()> {
        let playing = tokio::time::timeout(PLAY_TIMEOUT, Self::play_through(case, system));
        playing.await.context("the play did not end in time")?
    }

    async fn play_through(
        case: &cases::FaultCase,
        system: plays::TestedSystem,
    ) -> anyhow::Result<()> {
        let mut player = Self {
            bench: bench::TestBench::launch(&["a", "b"]).await?,
            system,
            client: reqwest::Client::builder()
                .no_proxy()
                .retry(reqwest::retry::never())
                .build()?,
            tracker: plays::CallTracker::default(),
            drains: Vec::new(),
            moments: collections::BTreeMap::new(),
            keys_issued_at: times::clocks::wall_now(),
        };
        for line in &case.play {
            let step = player.step(line).await;
            step.with_context(|| format!("{} {:?}", line.verb, line.words))?;
        }
        player.wait_for_calls_and_drains().await?;
        let checker = plays::CaseChecker::new(
            player.bench.targets(),
            player.tracker.calls(),
            player.tracker.outcomes(),
            &player.moments,
        );
        for line in &case.expect {
            let result = checker.check(line);
            result.with_context(|| format!("expected {} {:?}", line.verb, line.words))?;
        }
        Ok(())
    }

    async fn step(&mut self, line: &cases::PlayLine) -> anyhow::Result<()> {
        match line.verb.as_str() {
            "links" => self.bench.add_links(),
            "cut" => self.cut(line),
            "heal" => self.heal(),
            "nodes" => self.add_nodes(line).await,
            "engines" => self.add_engines(line).await,
            "services" => self.add_services(line).await,
            "serve" | "serve-all" => self.wait_for_pool(line).await,
            "fault" => self.bench.set_fault(line.word(0)?, &line.rest(1)),
            "clear" => {
                self.bench.platform().clear_faults();
                Ok(())
            }
            "send" => self.send(line),
            "await" => self.tracker.wait_for(line.word(0)?).await,
            "settle" => self.wait_for_calls_and_drains().await,
            "started" => self.wait_for_start(line).await,
            "kill" => self.kill(line.word(0)?),
            "abandon" => self.tracker.abandon(line.word(0)?),
            "drain" => self.drain(line.word(0)?),
            "leave" => self.leave(line.word(0)?),
            "edit" => self.edit(line).await,
            "moment" => {
                let now = times::clocks::boot_now();
                self.moments.insert(line.word(0)?.to_owned(), now);
                Ok(())
            }
            "pause" => pause(line.word(0)?).await,
            other => anyhow::bail!("unknown verb {other:?}"),
        }
    }

    async fn add_nodes(&mut self, line: &cases::PlayLine) -> anyhow::Result<()> {
        if self.system == plays::TestedSystem::BlindRetrier {
            return Ok(());
        }
        let data_centre = line.option("dc").unwrap_or("a");
        let current = self.bench.nodes().len();
        for number in 1..=line.word(0)?.parse()? {
            let name = format!("node-{}", current + number);
            self.bench.add_node(&name, data_centre).await?;
        }
        Ok(())
    }

    async fn add_engines(&mut self, line: &cases::PlayLine) -> anyhow::Result<()> {
        let data_centre = line.option("dc").unwrap_or("a");
        let domain = line.option("domain").unwrap_or("d1");
        let current = self.bench.targets().len();
        for number in 1..=line.word(0)?.parse()? {
            let name = format!("vm-{}", current + number);
            let mut settings = engine::EngineSettings::new(name.parse()?);
            if let Some(millis) = line.option("token-ms") {
                settings.token_time = time::Duration::from_millis(millis.parse()?);
            }
            if let Some(limit) = line.option("cold-limit") {
                settings.cold_limit = limit.parse()?;
            }
            let is_preloaded = self.system == plays::TestedSystem::BlindRetrier;
            let adding = self
                .bench
                .add_engine(settings, data_centre, domain, is_preloaded);
            adding.await?;
        }
        Ok(())
    }

    async fn add_services(&mut self, line: &cases::PlayLine) -> anyhow::Result<()> {
        let data_centre = line.option("dc").unwrap_or("a");
        let millis = line.option("call-ms").unwrap_or("0").parse()?;
        let call_time = time::Duration::from_millis(millis);
        let current = self.bench.targets().len();
        for number in 1..=line.word(0)?.parse()? {
            let name = format!("vm-{}", current + number);
            self.bench
                .add_service(&name, call_time, data_centre)
                .await?;
        }
        Ok(())
    }

    async fn wait_for_pool(&self, line: &cases::PlayLine) -> anyhow::Result<()> {
        let pool = match line.word(0)? {
            "ledger" => routes::PoolKey::Service("ledger".parse()?),
            model => routes::PoolKey::Model(model.parse()?),
        };
        self.bench.wait_for_routes(&pool).await
    }

    fn send(&mut self, line: &cases::PlayLine) -> anyhow::Result<()> {
        let label = line.word(0)?.to_owned();
        let call = sync::Arc::new(plays::CallRequest::read(line, &label, self.keys_issued_at)?);
        let sending = match self.system {
            plays::TestedSystem::Nodes | plays::TestedSystem::KillOnDrain => {
                let node = self.bench.nodes().get(&call.node);
                let node = node.context("no such node")?;
                let (address, handle) = (node.callers(), node.handle().clone());
                let client = self.client.clone();
                let call = sync::Arc::clone(&call);
                let timeout = time::Duration::from_millis(call.deadline_ms) + LATE_ANSWER_TIMEOUT;
                task::spawn(async move {
                    let address = address.to_string();
                    let mut outcome = plays::send_to_node(&client, &address, &call, timeout).await;
                    if outcome.status.is_some_and(|status| status >= 400) {
                        outcome.node_view = bench::node_view(&handle, times::clocks::boot_now());
                    }
                    outcome
                })
            }
            plays::TestedSystem::BlindRetrier => {
                let targets = self.bench.target_addresses();
                let client = self.client.clone();
                let call = sync::Arc::clone(&call);
                task::spawn(async move { plays::send_blindly(&client, &targets, &call).await })
            }
        };
        self.tracker.add(label, call, sending);
        Ok(())
    }

    async fn wait_for_calls_and_drains(&mut self) -> anyhow::Result<()> {
        self.tracker.wait_for_all().await?;
        for drain in self.drains.drain(..) {
            drain.await?;
        }
        Ok(())
    }

    /// Waits until a target starts a call; fails when the call ends without a start.
    async fn wait_for_start(&mut self, line: &cases::PlayLine) -> anyhow::Result<()> {
        let mark = format!("mark-{}.", line.word(0)?);
        let (tracker, targets) = (&self.tracker, self.bench.targets());
        let mut started = false;
        let waited = self.bench.wait("a call to start", || {
            // Reads the end first: a call may start and end between the two reads.
            let ended = tracker.all_answered(&mark);
            let mut entries = targets.values().flat_map(bench::BenchTarget::record);
            started = entries.any(|entry| entry.started && entry.body_prefix.contains(&mark));
            started || ended
        });
        let waited = waited.await;
        if started {
            return Ok(());
        }
        let outcome = self.tracker.describe(&mark).await?;
        waited.with_context(|| outcome.clone())?;
        anyhow::bail!("never started: {outcome}")
    }

    fn kill(&mut self, name: &str) -> anyhow::Result<()> {
        if self.system != plays::TestedSystem::BlindRetrier {
            self.bench.node_mut(name)?.kill();
        }
        Ok(())
    }

    /// Cuts the link between two endpoints, with `way=one` only from the first to the second.
    fn cut(&self, line: &cases::PlayLine) -> anyhow::Result<()> {
        if self.system == plays::TestedSystem::BlindRetrier {
            return Ok(());
        }
        let (from, to) = (line.word(0)?, line.word(1)?);
        let links = self.bench.links()?;
        links.set_cut(from, to, true)?;
        if line.option("way") != Some("one") {
            links.set_cut(to, from, true)?;
        }
        Ok(())
    }

    fn heal(&self) -> anyhow::Result<()> {
        self.bench.links()?.heal();
        Ok(())
    }

    fn drain(&mut self, name: &str) -> anyhow::Result<()> {
        match self.system {
            plays::TestedSystem::Nodes => {}
            plays::TestedSystem::KillOnDrain => return self.kill(name),
            plays::TestedSystem::BlindRetrier => return Ok(()),
        }
        let drain = self.bench.node_mut(name)?.drain();
        self.drains.extend(drain);
        Ok(())
    }

    fn leave(&mut self, name: &str) -> anyhow::Result<()> {
        self.bench.target_mut(name)?.leave();
        self.bench.publish_list();
        Ok(())
    }

    async fn edit(&mut self, line: &cases::PlayLine) -> anyhow::Result<()> {
        let words = line.rest(0);
        let (from, to) = words
            .split_once(" -> ")
            .context("no ' -> ' between the old and the new text")?;
        let (from, to) = (from.replace("\\n", "\n"), to.replace("\\n", "\n"));
        self.bench.edit_document(&from, &to).await
    }
}

async fn pause(millis: &str) -> anyhow::Result<()> {
    let millis = millis.parse()?;
    tokio::time::sleep(time::Duration::from_millis(millis)).await;
    Ok(())
}

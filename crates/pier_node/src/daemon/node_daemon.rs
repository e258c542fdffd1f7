//! A running node.

use std::{net, path, time};

use anyhow::Context as _;
use pier_limits::shifts;
use pier_types::{ids, times};

use crate::{
    callers, configs, control, daemon, forwards, handle, operators, peers, requests, settings,
    tables, telemetry,
};

/// Time between two checks for requests in progress during a drain.
const DRAIN_POLL: time::Duration = time::Duration::from_millis(20);

/// Time between two looks at what callers have yet to take of their answers.
const UNSENT_POLL: time::Duration = time::Duration::from_millis(100);

/// Looks in a row without anything left after which a drain ends.
const IDLE_POLLS: u32 = 2;

/// Number of system-chosen ports to try until one is free for both TCP and UDP.
const PORT_ATTEMPTS: u32 = 10;

/// A running node; keeps its ports open until [`NodeDaemon::drain`].
#[derive(Debug)]
pub struct NodeDaemon {
    handle: handle::NodeHandle,
    callers: daemon::WebServer,
    operators: daemon::WebServer,
    peers: net::SocketAddr,
}

impl NodeDaemon {
    /// Starts every part of a node with the default times.
    ///
    /// # Errors
    ///
    /// Fails when a port cannot be bound.
    pub async fn launch(settings: settings::NodeSettings) -> anyhow::Result<Self> {
        daemon::NodeBuilder::new(settings).launch().await
    }

    /// Starts every part of a node.
    pub(super) async fn start(
        settings: settings::NodeSettings,
        shift: shifts::ShiftPolicy,
    ) -> anyhow::Result<Self> {
        let client = requests::target_client::pooled()?;
        let traces = open_traces(settings.collector_url.clone()).await?;
        let handle = handle::NodeHandle::new(unique_name(&settings)?, settings, client, traces)?;
        tables::spawn(handle.clone(), shift);
        control::spawn(handle.clone(), &control::ControlSettings::default());
        requests::spawn(&handle);
        let configs = Self::spawn_configs(&handle);
        let (listener, socket) = bind_peers(handle.settings().peers).await?;
        let peers = socket.address();
        Self::launch_forwards(&handle, listener);
        peers::PeerLoop::spawn(handle.clone(), socket, configs)?;
        let operators = Self::launch_operators(&handle).await?;
        let callers = Self::launch_callers(&handle).await?;
        log::info!(
            event = "node-started",
            node:% = handle.name(),
            callers:% = callers.address(),
            operators:% = operators.address(),
            peers:% = peers;
            ""
        );
        Ok(Self {
            handle,
            callers,
            operators,
            peers,
        })
    }

    /// Runs a node until SIGTERM or SIGINT, then drains it; SIGHUP reloads the settings file.
    ///
    /// # Errors
    ///
    /// Fails when a port cannot be bound or the signal handlers cannot be installed.
    pub async fn run_until_signal(
        path: &path::Path,
        settings: settings::NodeSettings,
    ) -> anyhow::Result<()> {
        let mut signals = pier_signals::StopSignals::listen()?;
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("reading settings file {}", path.display()))?;
        let node = Self::launch(settings).await?;
        println!(
            "callers={} operators={} peers={}",
            node.callers_address(),
            node.operators_address(),
            node.peers_address()
        );
        while signals.next().await == pier_signals::SignalAction::Reload {
            Self::reload(path, &text);
        }
        node.drain().await;
        Ok(())
    }

    /// Reloads the settings. Only the log level takes effect; all other changes need a restart.
    fn reload(path: &path::Path, current: &str) {
        let is_same = std::fs::read_to_string(path).is_ok_and(|text| text == current);
        match settings::NodeSettings::load(path) {
            Ok(_same) if is_same => log::info!(event = "settings-unchanged"; ""),
            Ok(read) => {
                log::set_max_level(read.log_level);
                log::info!(event = "settings-changed", needs_restart = true; "");
            }
            Err(error) => {
                log::warn!(event = "settings-refused", cause = format!("{error:#}"); "");
            }
        }
    }

    /// Returns the node's handle.
    pub fn handle(&self) -> &handle::NodeHandle {
        &self.handle
    }

    /// Returns the address on which callers are accepted.
    pub fn callers_address(&self) -> net::SocketAddr {
        self.callers.address()
    }

    /// Returns the address on which operators are accepted.
    pub fn operators_address(&self) -> net::SocketAddr {
        self.operators.address()
    }

    /// Returns the address on which other nodes are accepted.
    pub fn peers_address(&self) -> net::SocketAddr {
        self.peers
    }

    /// Turns unready, waits until load balancers have noticed, requests in progress have ended and
    /// callers have their answers, then stops the servers.
    pub async fn drain(self) {
        let settings = self.handle.settings().clone();
        self.handle.start_drain();
        log::info!(event = "drain-started", node:% = self.handle.name(); "");
        tokio::time::sleep(settings.drain_notice).await;
        let waiting = self.wait_for_answers();
        if tokio::time::timeout(settings.drain_limit, waiting)
            .await
            .is_err()
        {
            let requests = self.handle.requests_in_progress();
            let answers = self.handle.unwritten_answers();
            log::warn!(event = "drain-limit-reached", requests = requests, answers = answers; "");
        }
        self.callers.stop().await;
        self.operators.stop().await;
        log::info!(event = "drain-ended", node:% = self.handle.name(); "");
    }

    /// Waits until no request is in progress and no caller is taking an answer.
    async fn wait_for_answers(&self) {
        let mut unsent = callers::UnsentAnswers::default();
        let mut idle_polls = 0;
        while idle_polls < IDLE_POLLS {
            while self.handle.requests_in_progress() > 0 {
                idle_polls = 0;
                tokio::time::sleep(DRAIN_POLL).await;
            }
            let port = self.callers_address().port();
            let loading = move || callers::ConnectionTable::load(port);
            let Ok(Ok(table)) = tokio::task::spawn_blocking(loading).await else {
                // What is left cannot be known; the server gives connections a short time.
                return;
            };
            let now = times::clocks::boot_now();
            unsent.record(table.unsent(), self.handle.unwritten_answers(), now);
            idle_polls = if unsent.is_any_taken(now) {
                0
            } else {
                idle_polls + 1
            };
            tokio::time::sleep(UNSENT_POLL).await;
        }
        if unsent.count() > 0 {
            log::warn!(event = "answers-not-taken", connections = unsent.count(); "");
        }
    }

    async fn launch_callers(handle: &handle::NodeHandle) -> anyhow::Result<daemon::WebServer> {
        let settings = handle.settings();
        let routes = callers::CallerRoutes::new(handle.clone()).routes();
        let gate = daemon::AcceptGate::new(handle.clone(), handle.max_descriptors());
        let configure = |rocket: rocket::Rocket<rocket::Build>| rocket.mount("/", routes);
        daemon::WebServer::launch(settings.callers, Some(gate), configure).await
    }

    fn launch_forwards(handle: &handle::NodeHandle, listener: tokio::net::TcpListener) {
        let key = handle.settings().peer_key.clone();
        let server = forwards::ForwardServer::new(handle.clone(), key);
        tokio::spawn(server.run(listener));
    }

    fn spawn_configs(handle: &handle::NodeHandle) -> configs::ConfigInbox {
        let key = handle.settings().peer_key.clone();
        let client = forwards::ForwardClient::new(key, handle.name().clone(), handle.instance());
        configs::ConfigLoop::spawn(handle.clone(), client)
    }

    async fn launch_operators(handle: &handle::NodeHandle) -> anyhow::Result<daemon::WebServer> {
        let settings = handle.settings();
        let handle = handle.clone();
        daemon::WebServer::launch(settings.operators, None, |rocket| {
            let routes = operators::OperatorRoutes::routes();
            rocket.manage(handle).mount("/", routes)
        })
        .await
    }
}

/// Binds the same port for TCP and UDP.
///
/// A port that the system chooses is only known to be free for TCP; if it is in use for UDP, another
/// one is tried.
async fn bind_peers(
    wanted: net::SocketAddr,
) -> anyhow::Result<(tokio::net::TcpListener, peers::PeerSocket)> {
    let mut attempts_left = if wanted.port() == 0 { PORT_ATTEMPTS } else { 1 };
    loop {
        let listener = tokio::net::TcpListener::bind(wanted).await;
        let listener = listener.with_context(|| format!("binding {wanted}"))?;
        attempts_left -= 1;
        match peers::PeerSocket::bind(listener.local_addr()?).await {
            Ok(socket) => return Ok((listener, socket)),
            Err(error) if attempts_left == 0 => return Err(error),
            Err(_taken) => {}
        }
    }
}

/// Returns a unique name for this start, so that a restarted node is never taken for its predecessor.
fn unique_name(settings: &settings::NodeSettings) -> anyhow::Result<ids::NodeName> {
    let unique = uuid::Uuid::new_v4().simple().to_string();
    let name = format!("{}-{}", settings.data_centre, &unique[..12]);
    name.parse().context("naming the node")
}

/// Opens the trace sink on a thread of its own, since its client blocks.
async fn open_traces(collector_url: Option<String>) -> anyhow::Result<telemetry::TraceSink> {
    let opening =
        tokio::task::spawn_blocking(move || telemetry::TraceSink::open(collector_url.as_deref()));
    opening.await.context("opening the trace sink")?
}

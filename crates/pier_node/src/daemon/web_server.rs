//! One HTTP server of a node.

use std::net;

use anyhow::Context as _;
use rocket::figment::Figment;
use rocket::tokio::task;
use tokio::sync::oneshot;

use crate::daemon;

/// Time that open connections have to close when the server stops, in seconds. Short because the
/// node has already waited for requests in progress.
const GRACE_SECONDS: u32 = 2;

/// Time after the grace period until remaining connections are closed, in seconds.
const MERCY_SECONDS: u32 = 1;

/// A running server.
#[derive(Debug)]
pub(super) struct WebServer {
    address: net::SocketAddr,
    shutdown: rocket::Shutdown,
    running: task::JoinHandle<()>,
}

impl WebServer {
    /// Starts a server, which accepts connections as its gate allows. Its settings are fixed here;
    /// Rocket's files and environment variables are not read.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub(super) async fn launch(
        address: net::SocketAddr,
        gate: Option<daemon::AcceptGate>,
        configure: impl FnOnce(rocket::Rocket<rocket::Build>) -> rocket::Rocket<rocket::Build>,
    ) -> anyhow::Result<Self> {
        let is_limited = gate.is_some();
        let (sender, receiver) = oneshot::channel();
        let rocket = configure(rocket::custom(figment(address)));
        let rocket = rocket.attach(report_port(sender)).ignite().await;
        let rocket = rocket.map_err(|error| anyhow::anyhow!("server on {address}: {error}"))?;
        let shutdown = rocket.shutdown();
        let closing = rocket.shutdown();
        let running = tokio::spawn(async move {
            let serving = Box::pin(rocket.launch());
            let ended = match gate {
                Some(gate) => gate.run(serving, closing).await,
                None => serving.await,
            };
            if let Err(error) = ended {
                log::error!(event = "server-failed", address:% = address, cause:% = error; "");
            }
        });
        let port = receiver
            .await
            .with_context(|| format!("binding {address}"))?;
        let address = net::SocketAddr::new(address.ip(), port);
        if is_limited && let Err(error) = daemon::receive_buffers::limit(address) {
            log::warn!(event = "receive-buffers-not-limited", cause = format!("{error:#}"); "");
        }
        Ok(Self {
            address,
            shutdown,
            running,
        })
    }

    /// Returns the address on which the server listens.
    pub(super) fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Stops accepting connections and waits until the server has shut down.
    pub(super) async fn stop(self) {
        self.shutdown.notify();
        if let Err(error) = self.running.await {
            log::error!(event = "server-failed", address:% = self.address, cause:% = error; "");
        }
    }
}

fn report_port(sender: oneshot::Sender<u16>) -> rocket::fairing::AdHoc {
    rocket::fairing::AdHoc::on_liftoff("port", move |rocket| {
        Box::pin(async move {
            // Sending fails only when the launch was cancelled.
            let _cancelled = sender.send(rocket.config().port);
        })
    })
}

fn figment(address: net::SocketAddr) -> Figment {
    let config = rocket::Config {
        address: address.ip(),
        port: address.port(),
        log_level: rocket::config::LogLevel::Off,
        cli_colors: false,
        ident: rocket::config::Ident::none(),
        keep_alive: 60,
        shutdown: rocket::config::Shutdown {
            ctrlc: false,
            signals: std::collections::HashSet::new(),
            grace: GRACE_SECONDS,
            mercy: MERCY_SECONDS,
            force: false,
            ..rocket::config::Shutdown::default()
        },
        ..rocket::Config::release_default()
    };
    Figment::from(config)
}

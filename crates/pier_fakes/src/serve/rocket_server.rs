//! A `rocket` server on a loopback port.

use std::{net, sync};

use rocket::{fairing, figment};
use tokio::sync::oneshot;

use crate::serve;

/// A running server, until [`RocketServer::stop`] is called.
#[derive(Debug)]
pub(crate) struct RocketServer {
    /// The address on which it listens.
    pub address: net::SocketAddr,
    shutdown: rocket::Shutdown,
}

impl RocketServer {
    /// Starts a server for an app; with port 0 the system chooses the port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub(crate) async fn launch<A: serve::FakeApp>(
        listen: net::SocketAddr,
        app: sync::Arc<A>,
    ) -> Result<Self, serve::FakeError> {
        let (sender, receiver) = oneshot::channel();
        let liftoff = fairing::AdHoc::on_liftoff("address", move |rocket| {
            Box::pin(async move {
                let config = rocket.config();
                let address = net::SocketAddr::new(config.address, config.port);
                let _receiver_gone = sender.send((address, rocket.shutdown()));
            })
        });
        let handler = serve::RocketHandler::new(app);
        let rocket = rocket::custom(server_settings(listen))
            .mount("/", handler.routes())
            .attach(liftoff);
        let running = tokio::spawn(run(rocket));
        if let Ok((address, shutdown)) = receiver.await {
            return Ok(Self { address, shutdown });
        }
        let error = match running.await {
            Ok(Ok(())) => "stopped before it served".to_owned(),
            Ok(Err(error)) => error,
            Err(error) => error.to_string(),
        };
        Err(serve::FakeError::Launch(error))
    }

    /// Stops the server.
    pub(crate) fn stop(&self) {
        self.shutdown.clone().notify();
    }
}

/// Serves until stopped.
///
/// Formats the error, because the library panics when an unread launch error is dropped.
async fn run(rocket: rocket::Rocket<rocket::Build>) -> Result<(), String> {
    let ended = rocket.launch().await;
    ended.map(drop).map_err(|error| error.to_string())
}

/// Returns settings that ignore configuration files and the environment.
fn server_settings(listen: net::SocketAddr) -> figment::Figment {
    let no_signals: [&str; 0] = [];
    figment::Figment::from(rocket::Config::debug_default())
        .merge(("address", listen.ip()))
        .merge(("port", listen.port()))
        .merge(("log_level", "off"))
        .merge(("cli_colors", false))
        .merge(("keep_alive", 60))
        .merge(("shutdown.ctrlc", false))
        .merge(("shutdown.signals", no_signals))
        .merge(("shutdown.force", false))
        .merge(("shutdown.grace", 0))
        .merge(("shutdown.mercy", 0))
}

//! Receives signals of the operating system.

use anyhow::Context as _;
use tokio::signal::unix;

/// The signals that stop or reload a daemon.
///
/// Install the handlers before the daemon starts anything else, so that no signal is missed.
#[derive(Debug)]
pub struct StopSignals {
    terminate: unix::Signal,
    interrupt: unix::Signal,
    hangup: unix::Signal,
}

/// What a signal asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SignalAction {
    /// Finish the work in progress and exit (SIGTERM, SIGINT).
    Stop,
    /// Read the settings again (SIGHUP).
    Reload,
}

impl StopSignals {
    /// Installs the signal handlers.
    ///
    /// # Errors
    ///
    /// Fails when a handler cannot be installed.
    pub fn listen() -> anyhow::Result<Self> {
        let listen = |kind| unix::signal(kind).context("cannot install a signal handler");
        Ok(Self {
            terminate: listen(unix::SignalKind::terminate())?,
            interrupt: listen(unix::SignalKind::interrupt())?,
            hangup: listen(unix::SignalKind::hangup())?,
        })
    }

    /// Waits for the next signal and returns what it asks for.
    pub async fn next(&mut self) -> SignalAction {
        tokio::select! {
            _ = self.terminate.recv() => SignalAction::Stop,
            _ = self.interrupt.recv() => SignalAction::Stop,
            _ = self.hangup.recv() => SignalAction::Reload,
        }
    }
}

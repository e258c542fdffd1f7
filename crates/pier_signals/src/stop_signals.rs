//! Listening to signals.

use anyhow::Context as _;
use tokio::signal::unix;

/// Signals that were listened to since before anything else was started.
#[derive(Debug)]
pub struct StopSignals {
    terminate: unix::Signal,
    interrupt: unix::Signal,
    hangup: unix::Signal,
}

/// What a signal asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SignalAction {
    /// Finish what is in progress and end.
    Stop,
    /// Look at the settings again.
    Reload,
}

impl StopSignals {
    /// Starts to listen.
    ///
    /// # Errors
    ///
    /// Fails when the signals can not be listened to.
    pub fn listen() -> anyhow::Result<Self> {
        let listen = |kind| unix::signal(kind).context("listening for signals");
        Ok(Self {
            terminate: listen(unix::SignalKind::terminate())?,
            interrupt: listen(unix::SignalKind::interrupt())?,
            hangup: listen(unix::SignalKind::hangup())?,
        })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) -> SignalAction {
        tokio::select! {
            _ = self.terminate.recv() => SignalAction::Stop,
            _ = self.interrupt.recv() => SignalAction::Stop,
            _ = self.hangup.recv() => SignalAction::Reload,
        }
    }
}

//! Waits for the order to stop.

use anyhow::Context as _;
use tokio::signal::unix;

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails when the signals can not be listened to.
pub(super) async fn wait() -> anyhow::Result<()> {
    let listen = |kind| unix::signal(kind).context("listening for signals");
    let mut terminate = listen(unix::SignalKind::terminate())?;
    let mut interrupt = listen(unix::SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

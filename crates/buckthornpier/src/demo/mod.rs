//! `buckthornpier demo`: everything in one process on loopback, for a first look.

/// Runs the demonstration.
///
/// # Errors
///
/// Fails always: this build has none yet.
pub(crate) fn run() -> anyhow::Result<()> {
    anyhow::bail!("this build has no demonstration yet")
}

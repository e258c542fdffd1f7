//! Carries out a change of the configuration document on the platform.

use std::{fmt::Write as _, time};

use pier_config::{apply, documents};
use pier_platform::objects;
use pier_types::{codes, epochs, ids};

use crate::{commands::platform_access, exits, output};

/// Delay before a read or write is retried.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(300);
/// Number of earlier versions kept, so that a conflict can be shown as a list of changes.
const HISTORY_VERSIONS: u64 = 20;

/// Carries out a change and prints its outcome.
pub(crate) fn run(
    matches: &clap::ArgMatches,
    change: apply::ApplyChange,
) -> Result<(), exits::CommandFailure> {
    let client = platform_access::open_client(matches)?;
    let nonce = ids::WriteNonce::new(uuid::Uuid::new_v4().as_u128());
    let driver = ApplyDriver { client };
    let outcome = platform_access::block_on(async { Ok(driver.drive(change, nonce).await) })?;
    report(outcome)
}

/// Performs the reads and writes that an [`apply::ApplyFlow`] asks for.
struct ApplyDriver {
    client: objects::ObjectClient,
}

impl ApplyDriver {
    async fn drive(
        &self,
        change: apply::ApplyChange,
        nonce: ids::WriteNonce,
    ) -> apply::ApplyOutcome {
        let (mut flow, mut action) = apply::ApplyFlow::start(change, nonce);
        loop {
            let event = match action {
                apply::ApplyAction::Read { pause } => {
                    wait(pause).await;
                    self.read().await
                }
                apply::ApplyAction::Archive { version, text } => {
                    self.archive(version, text).await;
                    apply::ApplyEvent::Archived
                }
                apply::ApplyAction::ReadArchive { version } => {
                    let text = self.read_archive(version).await;
                    apply::ApplyEvent::ArchiveRead { text }
                }
                apply::ApplyAction::Write {
                    if_version,
                    text,
                    pause,
                } => {
                    wait(pause).await;
                    self.write(if_version, text).await
                }
                apply::ApplyAction::Finish(outcome) => return outcome,
            };
            action = flow.step(event);
        }
    }

    async fn read(&self) -> apply::ApplyEvent {
        match self.client.read(documents::DOCUMENT_KEY).await {
            objects::ReadResult::Found { version, bytes } => apply::ApplyEvent::Read {
                version: epochs::ConfigVersion::new(version.get()),
                text: String::from_utf8_lossy(&bytes).into_owned(),
            },
            objects::ReadResult::Absent => apply::ApplyEvent::Read {
                version: epochs::ConfigVersion::default(),
                text: String::new(),
            },
            objects::ReadResult::Unavailable { reason } => apply::ApplyEvent::ReadFailed { reason },
        }
    }

    async fn write(&self, if_version: epochs::ConfigVersion, text: String) -> apply::ApplyEvent {
        let condition = epochs::ObjectVersion::new(if_version.get());
        let key = documents::DOCUMENT_KEY;
        match self.client.write(key, condition, text.into()).await {
            objects::WriteResult::Written(version) => {
                apply::ApplyEvent::Written(epochs::ConfigVersion::new(version.get()))
            }
            objects::WriteResult::Conflict(version) => {
                apply::ApplyEvent::Conflict(epochs::ConfigVersion::new(version.get()))
            }
            objects::WriteResult::Unreached { reason } => apply::ApplyEvent::Unreached { reason },
            objects::WriteResult::Unsettled { reason } => apply::ApplyEvent::Unsettled { reason },
        }
    }

    /// Stores a version in the history and deletes the one that is [`HISTORY_VERSIONS`] older.
    ///
    /// Failures are ignored: without the history, only the list of changes in a conflict message is
    /// less exact.
    async fn archive(&self, version: epochs::ConfigVersion, text: String) {
        let absent = epochs::ObjectVersion::new(0);
        let _kept = self
            .client
            .write(&history_key(version), absent, text.into())
            .await;
        if let Some(old) = version.get().checked_sub(HISTORY_VERSIONS) {
            let key = history_key(epochs::ConfigVersion::new(old));
            let only = epochs::ObjectVersion::new(1);
            let _dropped = self.client.delete(&key, only).await;
        }
    }

    async fn read_archive(&self, version: epochs::ConfigVersion) -> Option<String> {
        match self.client.read(&history_key(version)).await {
            objects::ReadResult::Found { bytes, .. } => {
                Some(String::from_utf8_lossy(&bytes).into_owned())
            }
            objects::ReadResult::Absent | objects::ReadResult::Unavailable { .. } => None,
        }
    }
}

fn history_key(version: epochs::ConfigVersion) -> String {
    format!("{}{version}", documents::HISTORY_PREFIX)
}

async fn wait(pause: bool) {
    if pause {
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Prints an accepted change; any other outcome becomes the command's failure.
fn report(outcome: apply::ApplyOutcome) -> Result<(), exits::CommandFailure> {
    match outcome {
        apply::ApplyOutcome::Accepted { version } => {
            output::line(format!("accepted: version {version}"));
            Ok(())
        }
        apply::ApplyOutcome::Refused(error) => Err(exits::CommandFailure::bad_input(format!(
            "{}: {error}",
            describe(codes::ResultCode::ConfigInvalid)
        ))),
        apply::ApplyOutcome::EditRefused(error) => Err(exits::CommandFailure::bad_input(format!(
            "{}: {error}",
            describe(codes::ResultCode::ConfigInvalid)
        ))),
        apply::ApplyOutcome::Conflict(conflict) => Err(exits::CommandFailure::new(
            exits::ExitCode::Conflict,
            explain_conflict(&conflict),
        )),
        apply::ApplyOutcome::PlatformUnavailable { reason } => {
            Err(exits::CommandFailure::unavailable(format!(
                "the platform is away; nothing was changed: {reason}"
            )))
        }
        apply::ApplyOutcome::Unknown { reason } => Err(exits::CommandFailure::new(
            exits::ExitCode::OutcomeUnknown,
            format!(
                "{}: {reason}\nlook with `config show` before doing it again",
                describe(codes::ResultCode::ConfigOutcomeUnknown)
            ),
        )),
    }
}

fn explain_conflict(conflict: &apply::ConflictReport) -> String {
    let mut text = describe(codes::ResultCode::ConfigConflict);
    let (base, current) = (conflict.base, conflict.current);
    let _infallible = write!(text, " Nothing was changed: version {current} is in place.");
    let from = if conflict.from_base {
        format!("Changes from version {base} to {current}")
    } else if base.get() == 0 {
        format!("There is a document already; changes from your text to version {current}")
    } else {
        format!("Version {base} is not kept any more; changes from your text to version {current}")
    };
    let _infallible = write!(text, "\n{from}:");
    for change in &conflict.changes {
        let _infallible = write!(text, "\n  {change}");
    }
    if conflict.changes.is_empty() {
        text.push_str("\n  none, or comments only");
    }
    text
}

fn describe(code: codes::ResultCode) -> String {
    format!("code {code}: {}", code.meaning())
}

//! The state machine that carries out one change.

use pier_types::{epochs, ids};

use crate::{
    apply::{self, FlowStage, PendingWrite},
    documents, edits,
};

/// Consecutive reads that may fail or be stale.
const MAX_READS: u32 = 8;
/// Attempts at one write whose outcome stays unknown.
const MAX_WRITES: u32 = 5;
/// Attempts at one edit when other changes are written first.
const MAX_EDIT_ROUNDS: u32 = 5;

/// Carries out one change and tracks what is certain about its outcome.
///
/// A write whose reply was lost is retried with the same condition, so at most one attempt can take
/// effect. If the document has moved on, the marks in it tell whether one did.
#[derive(Debug, Clone)]
pub struct ApplyFlow {
    change: apply::ApplyChange,
    nonce: ids::WriteNonce,
    stage: FlowStage,
    pending: PendingWrite,
    reads: u32,
    writes: u32,
    rounds: u32,
}

impl ApplyFlow {
    /// Starts a change and returns its first action; the nonce must be random and unique to it.
    pub fn start(change: apply::ApplyChange, nonce: ids::WriteNonce) -> (Self, apply::ApplyAction) {
        let mut flow = Self {
            change,
            nonce,
            stage: FlowStage::Finished,
            pending: PendingWrite::default(),
            reads: 0,
            writes: 0,
            rounds: 1,
        };
        let action = match &flow.change {
            apply::ApplyChange::Replace { text, base } => {
                let base = *base;
                match text.parse::<documents::ConfigDocument>() {
                    Ok(_) => flow.start_reading(base),
                    Err(error) => flow.finish(apply::ApplyOutcome::Refused(error)),
                }
            }
            apply::ApplyChange::Edit(_) => flow.start_reading(epochs::ConfigVersion::default()),
        };
        (flow, action)
    }

    /// Takes the result of the last action and returns the next one.
    pub fn step(&mut self, event: apply::ApplyEvent) -> apply::ApplyAction {
        match (self.stage.clone(), event) {
            (FlowStage::Reading(min_version), apply::ApplyEvent::Read { version, text }) => {
                self.prepare_write(min_version, version, text)
            }
            (FlowStage::Archiving, apply::ApplyEvent::Archived) => {
                self.stage = FlowStage::Writing;
                self.write(false)
            }
            (FlowStage::Writing | FlowStage::Settling, apply::ApplyEvent::Written(version)) => {
                self.finish(apply::ApplyOutcome::Accepted { version })
            }
            (FlowStage::Writing, apply::ApplyEvent::Conflict(version)) => {
                self.restart_or_explain(version)
            }
            (FlowStage::Reading(_), apply::ApplyEvent::ReadFailed { reason })
            | (FlowStage::Writing, apply::ApplyEvent::Unreached { reason }) => {
                self.finish(apply::ApplyOutcome::PlatformUnavailable { reason })
            }
            (FlowStage::Settling, apply::ApplyEvent::Conflict(_)) => self.read(false),
            (FlowStage::Settling, apply::ApplyEvent::Read { version, text }) => {
                self.read_back(version, &text)
            }
            (FlowStage::Settling, apply::ApplyEvent::ReadFailed { reason }) => {
                self.read_or_finish(apply::ApplyOutcome::Unknown { reason })
            }
            (
                FlowStage::Writing | FlowStage::Settling,
                apply::ApplyEvent::Unsettled { .. } | apply::ApplyEvent::Unreached { .. },
            ) => self.retry_write(),
            (FlowStage::Explaining(min_version), apply::ApplyEvent::Read { version, text }) => {
                self.explain(min_version, version, &text)
            }
            (FlowStage::Explaining(min_version), apply::ApplyEvent::ReadFailed { .. }) => {
                let outcome = self.conflict(min_version, None, "");
                self.read_or_finish(outcome)
            }
            (
                FlowStage::Comparing(current, current_text),
                apply::ApplyEvent::ArchiveRead { text },
            ) => {
                let outcome = self.conflict(current, text.as_deref(), &current_text);
                self.finish(outcome)
            }
            (stage, event) => self.fail_unexpected(&stage, &event),
        }
    }

    /// Reads the document until it has at least version `min_version`.
    fn start_reading(&mut self, min_version: epochs::ConfigVersion) -> apply::ApplyAction {
        self.stage = FlowStage::Reading(min_version);
        self.reads = 0;
        self.read(false)
    }

    fn read(&mut self, pause: bool) -> apply::ApplyAction {
        self.reads += 1;
        apply::ApplyAction::Read { pause }
    }

    /// Reads again, or ends with this outcome after [`MAX_READS`] reads.
    fn read_or_finish(&mut self, outcome: apply::ApplyOutcome) -> apply::ApplyAction {
        if self.reads < MAX_READS {
            return self.read(true);
        }
        self.finish(outcome)
    }

    fn prepare_write(
        &mut self,
        min_version: epochs::ConfigVersion,
        version: epochs::ConfigVersion,
        text: String,
    ) -> apply::ApplyAction {
        if version < min_version {
            let reason =
                format!("stale reads: found version {version}, expected at least {min_version}");
            return self.read_or_finish(apply::ApplyOutcome::PlatformUnavailable { reason });
        }
        let edited = match &self.change {
            apply::ApplyChange::Replace { base, .. } if version > *base => {
                let base = *base;
                self.stage = FlowStage::Comparing(version, text);
                return apply::ApplyAction::ReadArchive { version: base };
            }
            apply::ApplyChange::Replace { text, .. } => Ok(text.clone()),
            apply::ApplyChange::Edit(_) if version.get() == 0 => Err(edits::EditError::NoDocument),
            apply::ApplyChange::Edit(edit) => edit.apply(&text),
        };
        let edited = match edited {
            Ok(edited) => edited,
            Err(error) => return self.finish(apply::ApplyOutcome::EditRefused(error)),
        };
        let mark = documents::AppliedMark {
            version: version.next(),
            nonce: self.nonce,
        };
        let new_text = apply::MarkChain::from_text(&text)
            .with(mark)
            .write_to(&edited);
        if let Err(error) = new_text.parse::<documents::ConfigDocument>() {
            return self.finish(apply::ApplyOutcome::Refused(error));
        }
        self.pending = PendingWrite {
            base_version: version,
            base_text: text,
            new_text,
        };
        self.archive()
    }

    /// Stores the base in the history, so that a conflict for operators who edited it can be
    /// explained.
    fn archive(&mut self) -> apply::ApplyAction {
        if self.pending.base_version.get() == 0 {
            self.stage = FlowStage::Writing;
            return self.write(false);
        }
        self.stage = FlowStage::Archiving;
        apply::ApplyAction::Archive {
            version: self.pending.base_version,
            text: self.pending.base_text.clone(),
        }
    }

    fn write(&mut self, pause: bool) -> apply::ApplyAction {
        self.writes += 1;
        apply::ApplyAction::Write {
            if_version: self.pending.base_version,
            text: self.pending.new_text.clone(),
            pause,
        }
    }

    /// Retries the same write; its condition lets at most one attempt take effect.
    fn retry_write(&mut self) -> apply::ApplyAction {
        self.stage = FlowStage::Settling;
        self.reads = 0;
        if self.writes < MAX_WRITES {
            return self.write(true);
        }
        self.read(true)
    }

    /// Looks for this command's mark in the current version.
    fn read_back(&mut self, version: epochs::ConfigVersion, text: &str) -> apply::ApplyAction {
        let own_version = self.pending.base_version.next();
        if version <= self.pending.base_version {
            let reason = format!("stale reads: found version {version}");
            return self.read_or_finish(apply::ApplyOutcome::Unknown { reason });
        }
        match apply::MarkChain::from_text(text).author_of(own_version, self.nonce) {
            apply::WriteAuthor::Own => self.finish(apply::ApplyOutcome::Accepted {
                version: own_version,
            }),
            apply::WriteAuthor::Other => self.restart_or_explain(version),
            // The version right after the base has no mark for itself, so a concurrent write that
            // adds no marks came first.
            apply::WriteAuthor::Unknown if version == own_version => {
                self.restart_or_explain(version)
            }
            apply::WriteAuthor::Unknown => {
                let reason = format!("version {version} has no mark of version {own_version}");
                self.finish(apply::ApplyOutcome::Unknown { reason })
            }
        }
    }

    /// Handles a lost race: retries an edit on the new version, ends a replacement in a conflict.
    fn restart_or_explain(&mut self, version: epochs::ConfigVersion) -> apply::ApplyAction {
        let edit = matches!(self.change, apply::ApplyChange::Edit(_));
        if edit && self.rounds < MAX_EDIT_ROUNDS {
            self.rounds += 1;
            self.writes = 0;
            return self.start_reading(version);
        }
        self.stage = FlowStage::Explaining(version);
        self.reads = 0;
        self.read(false)
    }

    fn explain(
        &mut self,
        min_version: epochs::ConfigVersion,
        version: epochs::ConfigVersion,
        text: &str,
    ) -> apply::ApplyAction {
        if version < min_version {
            let outcome = self.conflict(min_version, None, "");
            return self.read_or_finish(outcome);
        }
        let base_text = self.pending.base_text.clone();
        let outcome = self.conflict(version, Some(&base_text), text);
        self.finish(outcome)
    }

    /// Compares the current version with the base, or with the operator's text if there is no base.
    fn conflict(
        &self,
        current: epochs::ConfigVersion,
        base_text: Option<&str>,
        current_text: &str,
    ) -> apply::ApplyOutcome {
        let (base, own_text) = match &self.change {
            apply::ApplyChange::Replace { text, base } => (*base, text.as_str()),
            apply::ApplyChange::Edit(_) => {
                (self.pending.base_version, self.pending.new_text.as_str())
            }
        };
        let report = apply::ConflictReport::new(base, current);
        let report = match base_text {
            Some(base_text) => report.with_changes_from_base(base_text, current_text),
            None => report.with_changes_from_own(own_text, current_text),
        };
        apply::ApplyOutcome::Conflict(report)
    }

    /// Ends the change after an event that does not answer the last action: the outcome is unknown.
    fn fail_unexpected(
        &mut self,
        stage: &FlowStage,
        event: &apply::ApplyEvent,
    ) -> apply::ApplyAction {
        let reason = format!("unexpected {event:?} while {stage:?}");
        self.finish(apply::ApplyOutcome::Unknown { reason })
    }

    fn finish(&mut self, outcome: apply::ApplyOutcome) -> apply::ApplyAction {
        self.stage = FlowStage::Finished;
        apply::ApplyAction::Finish(outcome)
    }
}

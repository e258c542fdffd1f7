//! The steps of one change.

use pier_types::{epochs, ids};

use crate::{
    applies::{self, BaseText, FlowStage},
    documents, edits,
};

/// Reads in a row that may fail or lag behind.
const READ_TRIES: u32 = 8;
/// Writes in a row with an uncertain result.
const WRITE_TRIES: u32 = 5;
/// Times that an edit starts anew on a version that came first.
const EDIT_ROUNDS: u32 = 5;

/// Brings one change about and knows at each moment what may be said of it.
///
/// A write whose reply was lost is sent again on the same condition: at most one of the two can take
/// effect, and a version that has moved on is read back for the marks in it.
#[derive(Debug, Clone)]
pub struct ApplyFlow {
    change: applies::ApplyChange,
    nonce: ids::LeaseNonce,
    stage: FlowStage,
    base: BaseText,
    reads: u32,
    writes: u32,
    rounds: u32,
}

impl ApplyFlow {
    /// Starts a change; the nonce is drawn at random for it alone.
    pub fn start(
        change: applies::ApplyChange,
        nonce: ids::LeaseNonce,
    ) -> (Self, applies::ApplyAction) {
        let mut flow = Self {
            change,
            nonce,
            stage: FlowStage::Finished,
            base: BaseText::default(),
            reads: 0,
            writes: 0,
            rounds: 1,
        };
        let action = match &flow.change {
            applies::ApplyChange::Replace { text, base } => {
                let base = *base;
                match text.parse::<documents::ConfigDocument>() {
                    Ok(_) => flow.read_from(base),
                    Err(error) => flow.finish(applies::ApplyOutcome::Refused(error)),
                }
            }
            applies::ApplyChange::Edit(_) => flow.read_from(epochs::ConfigVersion::default()),
        };
        (flow, action)
    }

    /// Takes the result of the last action and names the next.
    pub fn step(&mut self, event: applies::ApplyEvent) -> applies::ApplyAction {
        match (self.stage.clone(), event) {
            (FlowStage::Reading(least), applies::ApplyEvent::Read { version, text }) => {
                self.build_on(least, version, text)
            }
            (FlowStage::Archiving, applies::ApplyEvent::Archived) => {
                self.stage = FlowStage::Writing;
                self.write(false)
            }
            (FlowStage::Writing | FlowStage::Settling, applies::ApplyEvent::Written(version)) => {
                self.finish(applies::ApplyOutcome::Accepted { version })
            }
            (FlowStage::Writing, applies::ApplyEvent::Conflict(version)) => self.yield_to(version),
            (FlowStage::Reading(_), applies::ApplyEvent::ReadFailed { reason })
            | (FlowStage::Writing, applies::ApplyEvent::Unreached { reason }) => {
                self.finish(applies::ApplyOutcome::Away { reason })
            }
            (FlowStage::Settling, applies::ApplyEvent::Conflict(_)) => self.read(false),
            (FlowStage::Settling, applies::ApplyEvent::Read { version, text }) => {
                self.read_back(version, &text)
            }
            (FlowStage::Settling, applies::ApplyEvent::ReadFailed { reason }) => {
                self.read_or(applies::ApplyOutcome::Unknown { reason })
            }
            (
                FlowStage::Writing | FlowStage::Settling,
                applies::ApplyEvent::Unsettled { .. } | applies::ApplyEvent::Unreached { .. },
            ) => self.write_again(),
            (FlowStage::Explaining(least), applies::ApplyEvent::Read { version, text }) => {
                self.explain(least, version, &text)
            }
            (FlowStage::Explaining(least), applies::ApplyEvent::ReadFailed { .. }) => {
                let outcome = self.conflict(least, None, "");
                self.read_or(outcome)
            }
            (
                FlowStage::Comparing(present, present_text),
                applies::ApplyEvent::ArchiveRead { text },
            ) => {
                let outcome = self.conflict(present, text.as_deref(), &present_text);
                self.finish(outcome)
            }
            (stage, event) => self.refuse_event(&stage, &event),
        }
    }

    /// Asks for the document until it has at least a version.
    fn read_from(&mut self, least: epochs::ConfigVersion) -> applies::ApplyAction {
        self.stage = FlowStage::Reading(least);
        self.reads = 0;
        self.read(false)
    }

    fn read(&mut self, pause: bool) -> applies::ApplyAction {
        self.reads += 1;
        applies::ApplyAction::Read { pause }
    }

    /// Reads again, or ends when it was tried often enough.
    fn read_or(&mut self, outcome: applies::ApplyOutcome) -> applies::ApplyAction {
        if self.reads < READ_TRIES {
            return self.read(true);
        }
        self.finish(outcome)
    }

    fn build_on(
        &mut self,
        least: epochs::ConfigVersion,
        version: epochs::ConfigVersion,
        text: String,
    ) -> applies::ApplyAction {
        if version < least {
            let reason = format!("reads show version {version}, older than {least}");
            return self.read_or(applies::ApplyOutcome::Away { reason });
        }
        let edited = match &self.change {
            applies::ApplyChange::Replace { base, .. } if version > *base => {
                let base = *base;
                self.stage = FlowStage::Comparing(version, text);
                return applies::ApplyAction::ReadArchive { version: base };
            }
            applies::ApplyChange::Replace { text, .. } => Ok(text.clone()),
            applies::ApplyChange::Edit(_) if version.get() == 0 => {
                Err(edits::EditError::NoDocument)
            }
            applies::ApplyChange::Edit(edit) => edit.apply(&text),
        };
        let edited = match edited {
            Ok(edited) => edited,
            Err(error) => return self.finish(applies::ApplyOutcome::EditRefused(error)),
        };
        let mark = documents::AppliedMark {
            version: version.next(),
            nonce: self.nonce,
        };
        let new_text = applies::MarkChain::of_text(&text)
            .with(mark)
            .write_to(&edited);
        if let Err(error) = new_text.parse::<documents::ConfigDocument>() {
            return self.finish(applies::ApplyOutcome::Refused(error));
        }
        self.base = BaseText {
            version,
            text,
            new_text,
        };
        self.archive()
    }

    /// Keeps the base before it is replaced, so that whoever edits it learns what changed.
    fn archive(&mut self) -> applies::ApplyAction {
        if self.base.version.get() == 0 {
            self.stage = FlowStage::Writing;
            return self.write(false);
        }
        self.stage = FlowStage::Archiving;
        applies::ApplyAction::Archive {
            version: self.base.version,
            text: self.base.text.clone(),
        }
    }

    fn write(&mut self, pause: bool) -> applies::ApplyAction {
        self.writes += 1;
        applies::ApplyAction::Write {
            if_version: self.base.version,
            text: self.base.new_text.clone(),
            pause,
        }
    }

    /// Sends the same write again: its condition lets one of the two take effect at most.
    fn write_again(&mut self) -> applies::ApplyAction {
        self.stage = FlowStage::Settling;
        self.reads = 0;
        if self.writes < WRITE_TRIES {
            return self.write(true);
        }
        self.read(true)
    }

    /// Looks for the mark in the version that stands there now.
    fn read_back(&mut self, version: epochs::ConfigVersion, text: &str) -> applies::ApplyAction {
        let own_version = self.base.version.next();
        if version <= self.base.version {
            let reason = format!("reads lag behind at version {version}");
            return self.read_or(applies::ApplyOutcome::Unknown { reason });
        }
        match applies::MarkChain::of_text(text).judge(own_version, self.nonce) {
            applies::MarkVerdict::Ours => self.finish(applies::ApplyOutcome::Accepted {
                version: own_version,
            }),
            applies::MarkVerdict::Others => self.yield_to(version),
            // With the version right after the base, a write of the same moment stands there
            // that left no mark: it came first.
            applies::MarkVerdict::Silent if version == own_version => self.yield_to(version),
            applies::MarkVerdict::Silent => {
                let reason = format!("version {version} does not tell who wrote {own_version}");
                self.finish(applies::ApplyOutcome::Unknown { reason })
            }
        }
    }

    /// Another change came first: an edit starts anew on it, a whole document gives way.
    fn yield_to(&mut self, version: epochs::ConfigVersion) -> applies::ApplyAction {
        let edit = matches!(self.change, applies::ApplyChange::Edit(_));
        if edit && self.rounds < EDIT_ROUNDS {
            self.rounds += 1;
            self.writes = 0;
            return self.read_from(version);
        }
        self.stage = FlowStage::Explaining(version);
        self.reads = 0;
        self.read(false)
    }

    fn explain(
        &mut self,
        least: epochs::ConfigVersion,
        version: epochs::ConfigVersion,
        text: &str,
    ) -> applies::ApplyAction {
        if version < least {
            let outcome = self.conflict(least, None, "");
            return self.read_or(outcome);
        }
        let base_text = self.base.text.clone();
        let outcome = self.conflict(version, Some(&base_text), text);
        self.finish(outcome)
    }

    /// Compares the version in place with the base, or with the operator's text for want of it.
    fn conflict(
        &self,
        present: epochs::ConfigVersion,
        base_text: Option<&str>,
        present_text: &str,
    ) -> applies::ApplyOutcome {
        let (base, own_text) = match &self.change {
            applies::ApplyChange::Replace { text, base } => (*base, text.as_str()),
            applies::ApplyChange::Edit(_) => (self.base.version, self.base.new_text.as_str()),
        };
        let report = applies::ConflictReport::new(base, present);
        let report = match base_text {
            Some(base_text) => report.compare_base(base_text, present_text),
            None => report.compare_own(own_text, present_text),
        };
        applies::ApplyOutcome::Conflict(report)
    }

    /// An answer to a question that was not asked: nothing certain can be said any more.
    fn refuse_event(
        &mut self,
        stage: &FlowStage,
        event: &applies::ApplyEvent,
    ) -> applies::ApplyAction {
        let reason = format!("unexpected {event:?} while {stage:?}");
        self.finish(applies::ApplyOutcome::Unknown { reason })
    }

    fn finish(&mut self, outcome: applies::ApplyOutcome) -> applies::ApplyAction {
        self.stage = FlowStage::Finished;
        applies::ApplyAction::Finish(outcome)
    }
}

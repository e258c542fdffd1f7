//! Guards against wrong outcomes of a change when writes lose their replies, reads are stale or
//! other operators write at the same time: it is reported as accepted only if it took effect, and
//! as without effect only if it had none.

use pier_config::{apply, edits};
use pier_types::{epochs, ids};
use proptest::{prelude::*, test_runner};

const SAMPLE: &str = include_str!("../../../examples/laurel-north.ini");
const SEED: [u8; 32] = [11; 32];
const CASES: u32 = 400;

/// The fault injected into one call to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    Unreached,
    LostBefore,
    LostAfter,
    StaleRead,
    OtherWriteFirst,
    LostAfterThenOtherWrites,
}

/// A platform that stores the document and all its earlier versions.
struct Platform {
    texts: Vec<String>,
    others: u32,
}

impl Platform {
    fn new() -> Self {
        Self {
            texts: vec![String::new(), SAMPLE.to_owned()],
            others: 0,
        }
    }

    fn version(&self) -> u64 {
        self.texts.len() as u64 - 1
    }

    fn write(&mut self, if_version: u64, text: &str) -> apply::ApplyEvent {
        if if_version == self.version() {
            self.texts.push(text.to_owned());
            return apply::ApplyEvent::Written(epochs::ConfigVersion::new(self.version()));
        }
        apply::ApplyEvent::Conflict(epochs::ConfigVersion::new(self.version()))
    }

    /// Another operator drains another target with the same kind of command.
    fn change_by_other_operator(&mut self) {
        self.others += 1;
        let edit = edits::DocumentEdit::DrainTarget {
            vm: format!("vm-{}", self.others).parse().unwrap(),
            reason: "of another operator".to_owned(),
        };
        let change = apply::ApplyChange::Edit(edit);
        let nonce = ids::WriteNonce::new(u128::from(self.others) + 1_000);
        let outcome = run(self, change, nonce, &mut std::iter::empty());
        assert!(matches!(outcome, apply::ApplyOutcome::Accepted { .. }));
    }

    fn read(&self, back: u64) -> apply::ApplyEvent {
        let version = self.version().saturating_sub(back).max(1);
        let index = usize::try_from(version).unwrap();
        apply::ApplyEvent::Read {
            version: epochs::ConfigVersion::new(version),
            text: self.texts[index].clone(),
        }
    }

    fn answer_write(&mut self, fault: Fault, if_version: u64, text: &str) -> apply::ApplyEvent {
        let reason = "fault".to_owned();
        match fault {
            Fault::None | Fault::StaleRead => self.write(if_version, text),
            Fault::Unreached => apply::ApplyEvent::Unreached { reason },
            Fault::LostBefore => apply::ApplyEvent::Unsettled { reason },
            Fault::LostAfter => {
                let _lost = self.write(if_version, text);
                apply::ApplyEvent::Unsettled { reason }
            }
            Fault::OtherWriteFirst => {
                self.change_by_other_operator();
                self.write(if_version, text)
            }
            Fault::LostAfterThenOtherWrites => {
                let _lost = self.write(if_version, text);
                for _ in 0..3 {
                    self.change_by_other_operator();
                }
                apply::ApplyEvent::Unsettled { reason }
            }
        }
    }
}

fn run(
    platform: &mut Platform,
    change: apply::ApplyChange,
    nonce: ids::WriteNonce,
    faults: &mut dyn Iterator<Item = Fault>,
) -> apply::ApplyOutcome {
    let (mut flow, mut action) = apply::ApplyFlow::start(change, nonce);
    loop {
        let fault = faults.next().unwrap_or(Fault::None);
        let event = match action {
            apply::ApplyAction::Read { .. } => match fault {
                Fault::StaleRead => platform.read(1),
                Fault::Unreached | Fault::LostBefore => apply::ApplyEvent::ReadFailed {
                    reason: "fault".to_owned(),
                },
                _ => platform.read(0),
            },
            apply::ApplyAction::Archive { .. } => apply::ApplyEvent::Archived,
            apply::ApplyAction::ReadArchive { version } => {
                let index = usize::try_from(version.get()).unwrap();
                let text = platform.texts.get(index).cloned();
                apply::ApplyEvent::ArchiveRead { text }
            }
            apply::ApplyAction::Write {
                if_version, text, ..
            } => platform.answer_write(fault, if_version.get(), &text),
            apply::ApplyAction::Finish(outcome) => return outcome,
        };
        action = flow.step(event);
    }
}

fn replace(base: u64) -> apply::ApplyChange {
    apply::ApplyChange::Replace {
        text: SAMPLE.replacen("name = laurel-north", "name = mine", 1),
        base: epochs::ConfigVersion::new(base),
    }
}

fn drain() -> apply::ApplyChange {
    apply::ApplyChange::Edit(edits::DocumentEdit::DrainTarget {
        vm: "mine".parse().unwrap(),
        reason: "disk".to_owned(),
    })
}

fn nonce() -> ids::WriteNonce {
    ids::WriteNonce::new(1)
}

/// Returns the number of versions that the command under test wrote.
fn own_writes(platform: &Platform) -> usize {
    let mark = format!("-{}", nonce());
    let newest = |text: &&String| {
        let mut lines = text.lines();
        let line = lines.find(|line| line.starts_with("applied-by"));
        let first = line.and_then(|line| line.split(',').next());
        first.is_some_and(|first| first.ends_with(&mark))
    };
    platform.texts.iter().filter(newest).count()
}

fn check(change: &apply::ApplyChange, faults: Vec<Fault>) -> Result<(), TestCaseError> {
    let mut platform = Platform::new();
    let outcome = run(
        &mut platform,
        change.clone(),
        nonce(),
        &mut faults.into_iter(),
    );
    let writes = own_writes(&platform);
    prop_assert!(writes <= 1, "{writes} versions of one change");
    match outcome {
        apply::ApplyOutcome::Accepted { version } => {
            prop_assert_eq!(writes, 1);
            let index = usize::try_from(version.get()).unwrap();
            let mark = format!("applied-by = {version}-{}", nonce());
            prop_assert!(platform.texts[index].contains(&mark));
        }
        apply::ApplyOutcome::Conflict(report) => {
            prop_assert_eq!(writes, 0);
            prop_assert!(report.current > report.base);
        }
        apply::ApplyOutcome::PlatformUnavailable { .. } => prop_assert_eq!(writes, 0),
        apply::ApplyOutcome::Unknown { .. } => {}
        other => prop_assert!(false, "{other:?}"),
    }
    Ok(())
}

#[test]
fn outcomes_are_true_under_any_faults() {
    let fault = prop_oneof![
        Just(Fault::None),
        Just(Fault::Unreached),
        Just(Fault::LostBefore),
        Just(Fault::LostAfter),
        Just(Fault::StaleRead),
        Just(Fault::OtherWriteFirst),
        Just(Fault::LostAfterThenOtherWrites),
    ];
    let faults = prop::collection::vec(fault, 0..12);
    let change = prop_oneof![Just(replace(1)), Just(drain())];
    let config = test_runner::Config {
        cases: CASES,
        failure_persistence: None,
        ..test_runner::Config::default()
    };
    let rng = test_runner::TestRng::from_seed(test_runner::RngAlgorithm::ChaCha, &SEED);
    let mut runner = test_runner::TestRunner::new_with_rng(config, rng);
    let outcome = runner.run(&(change, faults), |(change, faults)| check(&change, faults));
    outcome.unwrap();
}

#[test]
fn lost_reply_is_resolved_after_later_writes() {
    let mut platform = Platform::new();
    let faults = [Fault::None, Fault::None, Fault::LostAfterThenOtherWrites];
    let outcome = run(&mut platform, replace(1), nonce(), &mut faults.into_iter());
    let version = epochs::ConfigVersion::new(2);
    assert_eq!(outcome, apply::ApplyOutcome::Accepted { version });
    assert_eq!(platform.version(), 5);
}

#[test]
fn lost_reply_is_resolved_despite_stale_reads() {
    let mut platform = Platform::new();
    let mut faults = [Fault::None; 6];
    faults[2] = Fault::LostAfter;
    faults[4] = Fault::StaleRead;
    let outcome = run(&mut platform, replace(1), nonce(), &mut faults.into_iter());
    let version = epochs::ConfigVersion::new(2);
    assert_eq!(outcome, apply::ApplyOutcome::Accepted { version });
}

#[test]
fn conflict_shows_what_changed_since_the_base() {
    let mut platform = Platform::new();
    platform.change_by_other_operator();
    let outcome = run(&mut platform, replace(1), nonce(), &mut std::iter::empty());
    let apply::ApplyOutcome::Conflict(report) = outcome else {
        panic!("{outcome:?}");
    };
    assert!(report.from_base);
    let expected = "[drained] target.vm-1: added, of another operator";
    assert_eq!(report.changes, vec![expected.to_owned()]);
}

#[test]
fn edit_is_retried_on_the_version_that_won() {
    let mut platform = Platform::new();
    let faults = [Fault::None, Fault::None, Fault::OtherWriteFirst];
    let outcome = run(&mut platform, drain(), nonce(), &mut faults.into_iter());
    let version = epochs::ConfigVersion::new(3);
    assert_eq!(outcome, apply::ApplyOutcome::Accepted { version });
    let last = platform.texts.last().unwrap();
    assert!(last.contains("target.vm-1 =") && last.contains("target.mine = disk"));
}

#[test]
fn bad_text_is_refused_before_anything_is_sent() {
    let change = apply::ApplyChange::Replace {
        text: "[document]".to_owned(),
        base: epochs::ConfigVersion::new(1),
    };
    let (_flow, action) = apply::ApplyFlow::start(change, nonce());
    assert!(matches!(
        action,
        apply::ApplyAction::Finish(apply::ApplyOutcome::Refused(_))
    ));
}

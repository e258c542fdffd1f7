//! Checks the expectations of a case against what the targets recorded.

use std::{collections, sync, time};

use anyhow::Context as _;
use pier_fakes::{engine, record};
use pier_types::times;

use crate::{bench, cases, plays};

/// The requests and outcomes of a play, and the requests that the targets really ran.
#[derive(Debug)]
pub(super) struct CaseChecker<'a> {
    records: collections::BTreeMap<&'a str, Vec<record::RecordEntry>>,
    calls: &'a collections::BTreeMap<String, sync::Arc<plays::CallRequest>>,
    outcomes: &'a collections::BTreeMap<String, plays::CallOutcome>,
    moments: &'a collections::BTreeMap<String, times::BootTime>,
}

impl<'a> CaseChecker<'a> {
    /// Creates a checker from the current records of the targets.
    pub(super) fn new(
        targets: &'a collections::BTreeMap<String, bench::BenchTarget>,
        calls: &'a collections::BTreeMap<String, sync::Arc<plays::CallRequest>>,
        outcomes: &'a collections::BTreeMap<String, plays::CallOutcome>,
        moments: &'a collections::BTreeMap<String, times::BootTime>,
    ) -> Self {
        let records = targets.iter();
        let records = records.map(|(name, target)| (name.as_str(), target.record()));
        Self {
            records: records.collect(),
            calls,
            outcomes,
            moments,
        }
    }

    /// Checks one expectation.
    ///
    /// # Errors
    ///
    /// Fails when it does not hold; the error says what was found.
    pub(super) fn check(&self, line: &cases::PlayLine) -> anyhow::Result<()> {
        match line.verb.as_str() {
            "runs-at-most" => self.check_runs(line.word(0)?, line.word(1)?.parse()?),
            "truthful" => self.check_truthful(),
            "whole" => self.check_complete(),
            "answered" => self.check_answered(line.word(0)?),
            "outcome" => self.check_outcome(line.word(0)?, line.word(1)?),
            "in-flight-at-most" => self.check_in_flight(line.word(0)?, line.word(1)?.parse()?),
            "quiet-after" => self.check_quiet_after(line),
            "never-down" => self.check_never_down(line.word(0)?),
            other => anyhow::bail!("unknown expectation {other:?}"),
        }
    }

    /// Checks that the calls with a mark ran at most `max` times, over all targets.
    fn check_runs(&self, label: &str, max: usize) -> anyhow::Result<()> {
        let runs = self.runs(&format!("mark-{label}."));
        anyhow::ensure!(runs <= max, "{label} ran {runs} times");
        Ok(())
    }

    /// Checks that no call refused as not run did run.
    ///
    /// Skips calls that share their mark, since their runs cannot be told apart.
    fn check_truthful(&self) -> anyhow::Result<()> {
        for (label, outcome) in self.outcomes {
            let call = self.calls.get(label).context("an outcome without a call")?;
            let sharing = self.calls.values().filter(|other| other.mark == call.mark);
            let alone = sharing.count() == 1;
            if alone && outcome.error_outcome() == Some("not-run") {
                let runs = self.runs(&call.mark);
                anyhow::ensure!(
                    runs == 0,
                    "{label} was refused as not run, but ran {runs} times"
                );
            }
        }
        Ok(())
    }

    /// Checks that each call got its own complete answer or an explicit error.
    fn check_complete(&self) -> anyhow::Result<()> {
        for (label, outcome) in self.outcomes {
            if outcome.is_complete() {
                self.check_text(label, outcome)?;
                continue;
            }
            let explicit = outcome.ended && outcome.error_outcome().is_some();
            anyhow::ensure!(
                explicit,
                "{label} got neither a complete answer nor an error: {outcome:?}"
            );
        }
        Ok(())
    }

    fn check_text(&self, label: &str, outcome: &plays::CallOutcome) -> anyhow::Result<()> {
        let call = self.calls.get(label).context("an outcome without a call")?;
        let body: serde_json::Value = serde_json::from_str(&call.body).unwrap_or_default();
        let Some(tokens) = body["max_tokens"].as_u64() else {
            let own = call.method == "GET" || outcome.body.contains(&call.mark);
            anyhow::ensure!(own, "{label} got another call's answer: {}", outcome.body);
            return Ok(());
        };
        let wanted = engine::AnswerText::new(&call.mark, tokens).whole();
        let found = outcome.text();
        anyhow::ensure!(
            found == wanted,
            "{label} got {found:?} instead of {wanted:?}"
        );
        Ok(())
    }

    fn check_answered(&self, label: &str) -> anyhow::Result<()> {
        let outcome = self.outcomes.get(label).context("no such call")?;
        anyhow::ensure!(outcome.is_complete(), "{label} got {outcome:?}");
        Ok(())
    }

    fn check_outcome(&self, label: &str, wanted: &str) -> anyhow::Result<()> {
        let outcome = self.outcomes.get(label).context("no such call")?;
        let found = outcome.error_outcome();
        anyhow::ensure!(found == Some(wanted), "{label} got {outcome:?}");
        Ok(())
    }

    /// Checks that a target never had more than `max` calls in progress.
    fn check_in_flight(&self, target: &str, max: usize) -> anyhow::Result<()> {
        let entries = self.record(target)?;
        for entry in entries.iter().filter(|entry| entry.started) {
            let others = entries.iter().filter(|other| other.started);
            let together = others.filter(|other| overlaps(other, entry.arrived_at));
            let count = together.count();
            anyhow::ensure!(count <= max, "{target} had {count} calls at once");
        }
        Ok(())
    }

    /// Checks that an engine never went down under its load.
    fn check_never_down(&self, target: &str) -> anyhow::Result<()> {
        let mut entries = self.record(target)?.iter();
        let lost = entries.find(|entry| entry.effect.contains("engine down"));
        anyhow::ensure!(lost.is_none(), "{target} went down: {lost:?}");
        Ok(())
    }

    /// Checks that a target started no new call from `ms` milliseconds after a named moment on.
    ///
    /// The option `until` names the moment at which the check ends.
    fn check_quiet_after(&self, line: &cases::PlayLine) -> anyhow::Result<()> {
        let moment = self.moment(line.word(1)?)?;
        let millis = line.option("ms").context("no ms")?.parse()?;
        let from = moment.after(time::Duration::from_millis(millis));
        let late = self.record(line.word(0)?)?.iter();
        let late = late.filter(|entry| entry.started && entry.arrived_at > from);
        let until = line.option("until").map(|name| self.moment(name));
        let until = until.transpose()?;
        let late = late.filter(|entry| until.is_none_or(|until| entry.arrived_at <= until));
        let count = late.count();
        anyhow::ensure!(count == 0, "{count} new calls arrived after that");
        Ok(())
    }

    fn moment(&self, name: &str) -> anyhow::Result<times::BootTime> {
        let moment = self.moments.get(name);
        moment.copied().with_context(|| format!("no moment {name}"))
    }

    fn record(&self, target: &str) -> anyhow::Result<&Vec<record::RecordEntry>> {
        let record = self.records.get(target);
        record.with_context(|| format!("no target {target}"))
    }

    fn runs(&self, mark: &str) -> usize {
        let entries = self.records.values().flatten();
        let ran = entries.filter(|entry| entry.started);
        ran.filter(|entry| entry.body_prefix.contains(mark) || entry.path.contains(mark))
            .count()
    }
}

fn overlaps(entry: &record::RecordEntry, moment: times::BootTime) -> bool {
    let open = entry.ended_at.is_none_or(|end| end > moment);
    entry.arrived_at <= moment && open
}

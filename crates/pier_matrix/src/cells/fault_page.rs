//! Generates the text of `docs/FAULTS.md`.

use std::collections;
use std::fmt::Write as _;

use crate::cells;

/// The Markdown page that shows the whole matrix.
#[derive(Debug, Clone)]
pub struct FaultPage {
    states: collections::BTreeMap<cells::CellKey, cells::CellState>,
}

impl FaultPage {
    /// Creates a page; cells without a state count as not proved.
    pub fn new(states: collections::BTreeMap<cells::CellKey, cells::CellState>) -> Self {
        Self { states }
    }

    /// Returns the page as Markdown.
    pub fn to_markdown(&self) -> String {
        let mut page = String::from(HEAD);
        self.write_counts(&mut page);
        self.write_matrix(&mut page);
        self.write_proofs(&mut page);
        self.write_reasons(&mut page);
        page
    }

    fn state(&self, key: &cells::CellKey) -> cells::CellState {
        let state = self.states.get(key).cloned();
        state.unwrap_or(cells::CellState::NotProved)
    }

    fn write_counts(&self, page: &mut String) {
        let mut counts = collections::BTreeMap::<&str, usize>::new();
        for key in cells::CellKey::all() {
            *counts.entry(self.state(&key).mark()).or_default() += 1;
        }
        let count = |mark: &str| counts.get(mark).copied().unwrap_or(0);
        let _infallible = writeln!(
            page,
            "Cells: {} proved (P), {} held (h), {} not applicable (-), {} red (R), {} not proved (?).\n",
            count("P"),
            count("h"),
            count("-"),
            count("R"),
            count("?"),
        );
    }

    fn write_matrix(&self, page: &mut String) {
        for (number, fault) in (1..).zip(cells::FaultColumn::ALL) {
            let _infallible = writeln!(page, "{number}. `{fault}`: {}", fault.meaning());
        }
        for promise in cells::PromiseRow::ALL {
            let _infallible = writeln!(page, "\n## {promise}\n\n{}\n", promise.meaning());
            write_heading(page);
            for step in promise.steps() {
                self.write_row(page, *promise, step);
            }
        }
    }

    fn write_row(&self, page: &mut String, promise: cells::PromiseRow, step: &str) {
        let _infallible = write!(page, "| {step} |");
        for fault in cells::FaultColumn::ALL {
            let key = cells::CellKey {
                promise,
                step: step.to_owned(),
                fault: *fault,
            };
            let _infallible = write!(page, " {} |", self.state(&key).mark());
        }
        page.push('\n');
    }

    fn write_proofs(&self, page: &mut String) {
        page.push_str("\n## Proofs\n\n| cell | proof |\n|---|---|\n");
        for (key, state) in &self.states {
            if let cells::CellState::Proved { proof } | cells::CellState::Red { proof } = state {
                let mark = state.mark();
                let _infallible = writeln!(page, "| {key} | {mark} `{proof}` |");
            }
            if let cells::CellState::Held { proof, reason } = state {
                let _infallible = writeln!(page, "| {key} | h `{proof}`: {reason} |");
            }
        }
    }

    fn write_reasons(&self, page: &mut String) {
        let mut reasons = collections::BTreeMap::<&str, Vec<String>>::new();
        for (key, state) in &self.states {
            if let cells::CellState::NotApplicable { reason } = state {
                reasons.entry(reason).or_default().push(key.to_string());
            }
        }
        page.push_str("\n## Not applicable\n\n");
        for (reason, keys) in reasons {
            let _infallible = writeln!(page, "- {reason}: {}", keys.join(", "));
        }
    }
}

const HEAD: &str = "# Fault matrix

Written by `cargo run -p pier_matrix --example write_fault_page`; change the case files and `cells.ini`, not this
page. A proved cell names the case or test
that passes now and was seen to fail with the protection off (for tests: stated in the commit that brought them). A case is played a second time through a caller's
library that retries blindly, or with kills for drains, and must break the promise there. Where it can not, its cells are
held and not proved, with the reason.

";

fn write_heading(page: &mut String) {
    page.push_str("| step |");
    for number in 1..=cells::FaultColumn::ALL.len() {
        let _infallible = write!(page, " {number} |");
    }
    page.push_str("\n|---|");
    for _fault in cells::FaultColumn::ALL {
        page.push_str("---|");
    }
    page.push('\n');
}

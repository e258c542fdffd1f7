//! Cells whose state is declared in `cells.ini` instead of proved by a case file.

use std::{collections, fs, path};

use crate::{cases, cells};

/// A line of `cells.ini`: a pattern of cells and the state that it gives them.
///
/// Each part of the pattern is `*` or a list of names separated by commas.
#[derive(Debug, Clone)]
struct DeclaredLine {
    promises: String,
    steps: String,
    faults: String,
    state: cells::CellState,
}

/// The cells that other tests prove, and those to which a fault does not apply.
#[derive(Debug, Clone, Default)]
pub struct DeclaredCells {
    lines: Vec<DeclaredLine>,
}

impl DeclaredCells {
    /// Reads a sheet.
    ///
    /// # Errors
    ///
    /// Fails when the text is malformed or a pattern matches no cell.
    pub fn parse(text: &str) -> Result<Self, cases::CaseError> {
        let file = ini::Ini::load_from_str_noescape(text);
        let file = file.map_err(|error| cases::CaseError::new(format!("{error}")))?;
        let mut declared = Self::default();
        for (pattern, proof) in file.section(Some("tests")).into_iter().flatten() {
            let proof = proof.to_owned();
            declared.add(pattern, cells::CellState::Proved { proof })?;
        }
        for (pattern, reason) in file.section(Some("not-applicable")).into_iter().flatten() {
            let reason = reason.to_owned();
            declared.add(pattern, cells::CellState::NotApplicable { reason })?;
        }
        Ok(declared)
    }

    /// Returns the state of each known cell: from its case file, otherwise as declared.
    ///
    /// `red` is a text that contains the names of case files that are known to fail.
    ///
    /// # Errors
    ///
    /// Fails when a case file cannot be read.
    pub fn states(
        &self,
        folder: &path::Path,
        red: &str,
    ) -> Result<collections::BTreeMap<cells::CellKey, cells::CellState>, cases::CaseError> {
        let mut states = collections::BTreeMap::new();
        for key in cells::CellKey::all() {
            let line = self.lines.iter().find(|line| line.matches(&key));
            if let Some(line) = line {
                states.insert(key, line.state.clone());
            }
        }
        for (name, case) in read_cases(folder)? {
            for key in case.cells {
                let current = states.get(&key);
                let is_proved = matches!(current, Some(cells::CellState::Proved { .. }));
                let is_red = red.contains(&name);
                // A test that was seen to fail without protection is stronger evidence than a case
                // that cannot fail there.
                if is_proved && case.blind_holds.is_some() && !is_red {
                    continue;
                }
                let state = case_state(&name, case.blind_holds.as_ref(), is_red);
                states.insert(key, state);
            }
        }
        Ok(states)
    }

    /// Returns the tests named as proofs, as `CRATE/tests/FILE.rs::TEST`.
    pub fn tests(&self) -> collections::BTreeSet<&str> {
        let proofs = self.lines.iter().filter_map(|line| match &line.state {
            cells::CellState::Proved { proof } => Some(proof.as_str()),
            _ => None,
        });
        proofs.collect()
    }

    fn add(&mut self, pattern: &str, state: cells::CellState) -> Result<(), cases::CaseError> {
        let parts: Vec<&str> = pattern.split('/').collect();
        let [promises, steps, faults] = parts[..] else {
            let message = format!("{pattern:?} does not have the form promises/steps/faults");
            return Err(cases::CaseError::new(message));
        };
        let line = DeclaredLine {
            promises: promises.to_owned(),
            steps: steps.to_owned(),
            faults: faults.to_owned(),
            state,
        };
        let matches_any = cells::CellKey::all().iter().any(|key| line.matches(key));
        if !matches_any {
            let message = format!("{pattern:?} matches no cell");
            return Err(cases::CaseError::new(message));
        }
        self.lines.push(line);
        Ok(())
    }
}

impl DeclaredLine {
    fn matches(&self, key: &cells::CellKey) -> bool {
        list_contains(&self.promises, key.promise.name())
            && list_contains(&self.steps, &key.step)
            && list_contains(&self.faults, key.fault.name())
    }
}

/// Returns the state that a case file gives its cells.
fn case_state(name: &str, blind_holds: Option<&String>, is_red: bool) -> cells::CellState {
    let proof = format!("cases/{name}");
    match blind_holds {
        _ if is_red => cells::CellState::Red { proof },
        Some(reason) => cells::CellState::Held {
            proof,
            reason: reason.clone(),
        },
        None => cells::CellState::Proved { proof },
    }
}

fn list_contains(list: &str, name: &str) -> bool {
    list == "*" || list.split(',').any(|item| item == name)
}

fn read_cases(folder: &path::Path) -> Result<Vec<(String, cases::FaultCase)>, cases::CaseError> {
    let failed = |error: std::io::Error| cases::CaseError::new(format!("{error}"));
    let mut found = Vec::new();
    for entry in fs::read_dir(folder).map_err(failed)? {
        let path = entry.map_err(failed)?.path();
        let name = path.file_name().unwrap_or_default().to_string_lossy();
        found.push((name.into_owned(), cases::FaultCase::load(&path)?));
    }
    found.sort_by(|one, other| one.0.cmp(&other.0));
    Ok(found)
}

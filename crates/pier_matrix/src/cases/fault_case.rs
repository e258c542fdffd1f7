//! A parsed case file.

use std::{fs, path};

use crate::{cases, cells};

/// A test scenario: the cells that it proves, the steps of the play, and what must hold afterwards.
#[derive(Debug, Clone)]
pub struct FaultCase {
    /// The cells that the case proves.
    pub cells: Vec<cells::CellKey>,
    /// The actions, in order.
    pub play: Vec<cases::PlayLine>,
    /// The expectations, checked after the play.
    pub expect: Vec<cases::PlayLine>,
    /// Seed for random choices of the play.
    pub seed: u64,
    /// Whether the run without protection kills nodes instead of draining them.
    ///
    /// Otherwise that run goes without nodes, through the blind retrier.
    pub kills_on_drain: bool,
    /// Why the promise also holds with the blind retrier, for cases that cannot fail there.
    pub blind_holds: Option<String>,
}

impl FaultCase {
    /// Reads a case file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read or is malformed.
    pub fn load(path: &path::Path) -> Result<Self, cases::CaseError> {
        let text = fs::read_to_string(path);
        let text = text.map_err(|error| cases::CaseError::new(format!("{error}")))?;
        Self::parse(&text)
    }

    /// Reads a case.
    ///
    /// # Errors
    ///
    /// Fails when the text is malformed.
    pub fn parse(text: &str) -> Result<Self, cases::CaseError> {
        let option = ini::ParseOption {
            enabled_quote: false,
            enabled_escape: false,
            ..ini::ParseOption::default()
        };
        let file = ini::Ini::load_from_str_opt(text, option);
        let file = file.map_err(|error| cases::CaseError::new(format!("{error}")))?;
        let seed = required(&file, "seed")?;
        let seed = seed
            .parse()
            .map_err(|_error| cases::CaseError::new("seed is not a number"))?;
        Ok(Self {
            cells: read_cells(&file)?,
            play: read_lines(&file, "play")?,
            expect: read_lines(&file, "expect")?,
            seed,
            kills_on_drain: file.get_from(Some("case"), "off") == Some("kill"),
            blind_holds: file
                .get_from(Some("case"), "blind-holds")
                .map(str::to_owned),
        })
    }
}

fn required<'a>(file: &'a ini::Ini, key: &str) -> Result<&'a str, cases::CaseError> {
    let found = file.get_from(Some("case"), key);
    found.ok_or_else(|| cases::CaseError::new(format!("[case] is missing {key}")))
}

fn read_cells(file: &ini::Ini) -> Result<Vec<cells::CellKey>, cases::CaseError> {
    let promise: cells::PromiseRow = required(file, "promise")?
        .parse()
        .map_err(cases::CaseError::new)?;
    let mut keys = Vec::new();
    for step in required(file, "step")?.split(',').map(str::trim) {
        if !promise.steps().contains(&step) {
            let message = format!("{step:?} is not a step of {promise}");
            return Err(cases::CaseError::new(message));
        }
        for fault in required(file, "fault")?.split(',').map(str::trim) {
            keys.push(cells::CellKey {
                promise,
                step: step.to_owned(),
                fault: fault.parse().map_err(cases::CaseError::new)?,
            });
        }
    }
    Ok(keys)
}

fn read_lines(file: &ini::Ini, section: &str) -> Result<Vec<cases::PlayLine>, cases::CaseError> {
    let Some(lines) = file.section(Some(section)) else {
        return Ok(Vec::new());
    };
    lines.iter().map(|(_number, line)| line.parse()).collect()
}

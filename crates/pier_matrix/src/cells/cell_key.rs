//! The position of a cell in the matrix.

use std::fmt;

use crate::cells;

/// Promise, step and fault of one cell.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct CellKey {
    /// The promise.
    pub promise: cells::PromiseRow,
    /// The step, one of [`cells::PromiseRow::steps`].
    pub step: String,
    /// The fault.
    pub fault: cells::FaultColumn,
}

impl CellKey {
    /// Returns every cell of the matrix.
    pub fn all() -> Vec<Self> {
        let promises = cells::PromiseRow::ALL.iter();
        let steps =
            promises.flat_map(|promise| promise.steps().iter().map(|step| (*promise, *step)));
        steps
            .flat_map(|(promise, step)| {
                cells::FaultColumn::ALL.iter().map(move |fault| Self {
                    promise,
                    step: step.to_owned(),
                    fault: *fault,
                })
            })
            .collect()
    }
}

impl fmt::Display for CellKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.promise, self.step, self.fault)
    }
}

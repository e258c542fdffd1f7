//! The fault matrix: which promise was proved under which fault at which step.
//!
//! Each file under `cases/` is a test scenario. [`cases`] parses it, and [`plays`] runs it on a
//! [`bench`] of nodes, fake targets and a fake platform in one process, joined by [`links`] that
//! can be cut. The result is checked against what the fakes recorded. [`cells`] holds the state of
//! the whole matrix, from which `docs/FAULTS.md` is generated.

pub mod bench;
pub mod cases;
pub mod cells;
pub mod links;
pub mod plays;

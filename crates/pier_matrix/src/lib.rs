//! The fault matrix: which promise was proved under which fault at which step.
//!
//! A case is a file under `cases/`. [`cases`] reads it, [`plays`] plays it on a [`bench`] of nodes
//! and stand-ins in one process, joined by [`links`] that can be cut, and judges it by what the
//! stand-ins recorded. [`cells`] is the whole matrix, from which `docs/FAULTS.md` is written.

pub mod bench;
pub mod cases;
pub mod cells;
pub mod links;
pub mod plays;

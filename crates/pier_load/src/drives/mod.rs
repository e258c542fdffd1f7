//! Experiments on a loaded fleet.

mod drive_run;

pub use drive_run::DriveRun;

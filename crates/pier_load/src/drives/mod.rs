//! Experiments (drives) that change a fleet while it is under load.

mod drive_run;

pub use drive_run::DriveRun;

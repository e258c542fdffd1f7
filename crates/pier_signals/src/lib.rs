//! Signals to a daemon.

mod stop_signals;

pub use stop_signals::{StopSignals, StopWord};

//! Signals to a daemon.

mod stop_signals;

pub use stop_signals::{SignalAction, StopSignals};

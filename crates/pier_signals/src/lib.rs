//! Signals that a daemon handles.

mod stop_signals;

pub use stop_signals::{SignalAction, StopSignals};

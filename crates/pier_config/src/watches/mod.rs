//! Decides which version of the document is in force at a node.
//!
//! The version in force never decreases, whatever stale reads, peers and restarts deliver, and an
//! invalid document changes nothing.

mod config_copy;
mod config_watcher;
mod parsed_config;
mod watch_action;
mod watch_report;

pub use config_copy::{ConfigCopy, ConfigSource};
pub use config_watcher::ConfigWatcher;
pub use parsed_config::ParsedConfig;
pub use watch_action::WatchAction;
pub use watch_report::WatchReport;

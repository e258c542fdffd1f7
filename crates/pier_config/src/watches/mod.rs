//! Which version of the document is in force at a node.
//!
//! Promise kept here: a node's configuration never goes back, whatever lagging reads, peers and
//! restarts bring, and a bad document changes nothing.

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

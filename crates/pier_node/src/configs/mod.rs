//! Reads configurations from the platform and the peers, and publishes the one in force as
//! [`crate::handle::ConfigSnapshot`].
//!
//! `pier_config::watches` decides which version comes into force; this module passes events to it
//! and runs the actions that it returns.

mod config_inbox;
mod config_loop;
mod config_report;
mod peer_copies;
mod platform_watch;
mod watch_backoff;

pub use config_inbox::{ConfigEvent, ConfigInbox};
pub use config_loop::ConfigLoop;
pub(crate) use peer_copies::answer_peer;
pub use watch_backoff::WatchBackoff;

//! Brings configurations into force: platform and peers in, [`crate::handle::ConfigSnapshot`] out.
//!
//! What may come into force is decided by `pier_config::watches`; this module only carries news to it
//! and its actions out.

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

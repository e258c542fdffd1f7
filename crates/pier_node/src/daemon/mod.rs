//! Starts the parts of a node, and drains and stops them in order.

mod node_builder;
mod node_daemon;
mod web_server;

pub use node_builder::NodeBuilder;
pub use node_daemon::NodeDaemon;
use web_server::WebServer;

//! Starts the parts of a node and stops them in order.

mod node_daemon;
mod stop_signal;
mod web_server;

pub use node_daemon::NodeDaemon;
use web_server::WebServer;

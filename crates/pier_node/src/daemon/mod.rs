//! Starts the parts of a node, and drains and stops them in order.

mod accept_gate;
mod node_builder;
mod node_daemon;
mod receive_buffers;
mod web_server;

use accept_gate::AcceptGate;
pub use node_builder::NodeBuilder;
pub use node_daemon::NodeDaemon;
use web_server::WebServer;

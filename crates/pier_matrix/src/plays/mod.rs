//! Runs a case and checks its expectations.

mod call_outcome;
mod call_request;
mod call_sender;
mod call_tracker;
mod case_checker;
mod case_player;
mod tested_system;

pub use call_outcome::CallOutcome;
pub use call_request::CallRequest;
use call_sender::{send_blindly, send_to_node};
use call_tracker::CallTracker;
use case_checker::CaseChecker;
pub use case_player::CasePlayer;
pub use tested_system::TestedSystem;

//! Plays a case and judges it.

mod call_board;
mod call_entry;
mod call_outcome;
mod call_sender;
mod case_judge;
mod case_player;
mod play_target;

use call_board::CallBoard;
pub use call_entry::CallEntry;
pub use call_outcome::CallOutcome;
use call_sender::{send_blindly, send_to_node};
use case_judge::CaseJudge;
pub use case_player::CasePlayer;
pub use play_target::PlayTarget;

//! Chooses the target of a request, or refuses it.
//!
//! A request that cannot be answered in time is refused immediately, with a retry time that is
//! derived from the load.

mod choice_outcome;
mod load_facts;
mod pass_model;
mod plain_choice;
mod request_facts;
mod request_spread;
mod score_penalties;
mod stream_choice;
mod urgency_room;

pub use choice_outcome::ChoiceOutcome;
pub use load_facts::LoadFacts;
pub use pass_model::PassModel;
pub use plain_choice::choose_plain;
pub use request_facts::RequestFacts;
use score_penalties::{ScorePenalties, refuse};
pub use stream_choice::choose_stream;
use urgency_room::UrgencyRoom;

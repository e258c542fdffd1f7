//! Election of a data centre's steward, the node that plans its replica groups.

mod newcomer_reading;
mod outage_reading;
mod steward_election;
mod steward_view;

pub use newcomer_reading::{NewcomerFacts, NewcomerStep, newcomer_step};
pub use outage_reading::{
    MAX_OUTAGE_WAIT, OutageFacts, OutageStep, ReaderRole, outage_step, retry_delay,
};
pub use steward_election::StewardElection;
pub use steward_view::{RecordedSteward, StewardView};

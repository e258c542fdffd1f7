//! Which node plans a data centre's groups.

mod steward_election;
mod steward_view;

pub use steward_election::StewardElection;
pub use steward_view::{StewardView, StewardWord};

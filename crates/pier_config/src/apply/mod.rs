//! Writes a change to the document: read, conditional write, and finding out the outcome if the
//! reply is lost.
//!
//! A change is reported as accepted only if its write is known to have taken effect.

mod apply_action;
mod apply_change;
mod apply_event;
mod apply_flow;
mod apply_outcome;
mod conflict_report;
mod flow_stage;
mod mark_chain;

pub use apply_action::ApplyAction;
pub use apply_change::ApplyChange;
pub use apply_event::ApplyEvent;
pub use apply_flow::ApplyFlow;
pub use apply_outcome::ApplyOutcome;
pub use conflict_report::ConflictReport;
use flow_stage::{FlowStage, PendingWrite};
pub use mark_chain::{MarkChain, WriteAuthor};

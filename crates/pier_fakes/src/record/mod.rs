//! The record of the calls that arrived and what they did.

mod record_entry;
mod run_record;

pub use record_entry::{RecordEntry, RunEnd};
pub use run_record::RunRecord;

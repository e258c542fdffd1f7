//! The record of what really ran.

mod record_entry;
mod run_record;

pub use record_entry::{RecordEntry, RunEnd};
pub use run_record::RunRecord;

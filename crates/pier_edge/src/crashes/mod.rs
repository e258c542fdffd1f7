//! Finds out which targets crashed and which requests ran on them, and holds back requests that
//! crash targets.

mod crash_ledger;
mod crash_record;
mod loss_check;
mod record_writer;
mod registered_cause;

pub(crate) use crash_ledger::{CrashLedger, RequestLoss};
pub(crate) use crash_record::CrashRecord;
pub(crate) use loss_check::LossCheck;
pub(crate) use record_writer::RecordWriter;
pub(crate) use registered_cause::{LostTarget, registered_cause};

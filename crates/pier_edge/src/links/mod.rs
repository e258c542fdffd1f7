//! The interface between a node and the adapter of a platform.

mod answer_head;
mod caller_head;
mod fleet_platform;
mod member_report;
mod order_outcome;
mod query_fault;
mod record_change;
mod record_kind;
mod send_terms;
mod store_error;
mod store_record;
mod store_write;

pub use answer_head::{AnswerHead, AnswerOrigin, LimitStatement, TargetNotice};
pub use caller_head::CallerHead;
pub(crate) use caller_head::parts_text;
pub use fleet_platform::{FleetPlatform, HeaderCodec, MemberLink, RecordStore};
pub use member_report::MemberReport;
pub use order_outcome::OrderOutcome;
pub use query_fault::QueryFault;
pub use record_change::{RecordChange, RecordChanges};
pub use record_kind::RecordKind;
pub use send_terms::SendTerms;
pub use store_error::StoreError;
pub use store_record::{RecordContent, RecordList, StoreRecord};
pub use store_write::StoreWrite;

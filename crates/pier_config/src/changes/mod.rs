//! Comparison of two documents.

mod document_change;
mod document_diff;

pub use document_change::DocumentChange;
pub use document_diff::DocumentDiff;

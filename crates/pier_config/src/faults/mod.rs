//! Validation errors of a document.

mod document_error;
mod entry_fault;

pub use document_error::DocumentError;
pub use entry_fault::EntryFault;

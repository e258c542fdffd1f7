//! Edits to a document's text that preserve its comments and order.

mod document_edit;
mod document_text;
mod edit_error;

pub use document_edit::DocumentEdit;
pub use document_text::DocumentText;
pub use edit_error::EditError;

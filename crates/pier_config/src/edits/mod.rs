//! Changes to a document's text that leave its comments and order as they are.

mod document_edit;
mod document_text;
mod edit_error;

pub use document_edit::DocumentEdit;
pub use document_text::DocumentText;
pub use edit_error::EditError;

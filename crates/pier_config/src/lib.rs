//! The configuration document: parsing, validation, comparison, and how a version comes into force.
//!
//! Pure: text and events in, typed values, faults and actions out.
//!
//! - [`documents`] holds the typed content, [`faults`] what is wrong with a text.
//! - [`changes`] compares two documents, [`edits`] changes a text and keeps its comments.
//! - [`apply`] keeps the promise that "accepted" is said only of what took effect.
//! - [`watches`] keeps the promise that a node's configuration never goes back.

pub mod apply;
pub mod changes;
pub mod documents;
pub mod edits;
pub mod faults;
mod parsing;
pub mod watches;

//! The configuration document: parsing, validation, comparison, and the logic that writes and
//! activates its versions.
//!
//! The crate does no I/O: it takes text and events and returns typed values, faults and actions.
//!
//! - [`documents`] holds the typed content, [`faults`] the validation errors.
//! - [`changes`] compares two documents; [`edits`] changes one entry of a text and keeps its
//!   comments.
//! - [`apply`] writes a change to the platform. It reports "accepted" only for a change that took
//!   effect.
//! - [`watches`] decides which version a node uses. A node's configuration never goes back to a
//!   lower version.

pub mod apply;
pub mod changes;
pub mod documents;
pub mod edits;
pub mod faults;
mod parsing;
pub mod watches;

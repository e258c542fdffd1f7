//! The configuration document: parsing, validation, and comparison of two versions.
//!
//! Pure: text in, typed values or every fault out.

pub mod documents;
pub mod faults;
mod parsing;

//! The configuration document: parsing, validation, and comparison of two versions.

//! Finds out whether this node reaches targets at all.

mod contact_probe;

pub(crate) use contact_probe::{reaches_another, spawn};

//! Crowds of callers at the real program, one crowd at a time. Nothing limits the program's memory but
//! its own settings, so the tests read what it uses.

#![allow(
    dead_code,
    unused_imports,
    reason = "each test file uses only some of the items"
)]

mod crowded_node;

pub use crowded_node::{CrowdedNode, MAX_DESCRIPTORS, MAX_SERVING_DESCRIPTORS};

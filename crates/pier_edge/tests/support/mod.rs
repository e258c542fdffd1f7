//! A node under test, with a platform in memory and targets that answer by a script.
#![allow(
    dead_code,
    unused_imports,
    reason = "each test file uses only some of the items"
)]

mod apart_node;
mod crashing_target;
mod cut_link;
mod earlier_node;
mod fake_platform;
mod raw_caller;
mod scripted_target;
mod test_node;

pub use apart_node::ApartNode;
pub use crashing_target::{
    CRASH_AFTER_MARKER, CRASH_MARKER, CRASH_PART, CrashStyle, CrashingTarget,
};
pub use cut_link::{CutLink, LinkMode};
pub use earlier_node::{
    EarlierBeat, EarlierMessage, EarlierNode, EarlierPhase, EarlierRelay, EarlierSteward, FirstBeat,
};
pub use fake_platform::{FakePlatform, StoreCopy};
pub use raw_caller::{RawAnswer, RawCaller};
pub use scripted_target::{LongStream, Script, ScriptedTarget, header};
pub use test_node::{
    GROUP_MODEL, KEY, TestNode, document, document_at, free_address, group_member, node_with,
    plain_entry, route,
};

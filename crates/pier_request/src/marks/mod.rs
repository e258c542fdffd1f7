//! Marks of crashes, which nodes exchange until all of them have the same ones.

mod mark_table;

pub(crate) use mark_table::{MARK_LIFETIME, Mark, MarkDetail, MarkTable};

//! Publishes what a request reads: which targets may receive new work.

mod table_builder;
mod table_loop;

pub use table_builder::TableBuilder;
pub use table_loop::spawn;

//! Publishes what a request reads: which targets may receive new work.

mod list_loop;
mod peer_lists;
mod shift_driver;
mod table_builder;
mod table_loop;

use shift_driver::ShiftDriver;

pub use list_loop::ListLoop;
pub(crate) use peer_lists::answer_peer;
pub use table_builder::TableBuilder;
pub use table_loop::spawn;

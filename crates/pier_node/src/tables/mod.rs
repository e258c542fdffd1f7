//! Builds and publishes the routing table: the targets that may receive new requests.

mod shift_driver;
mod table_builder;
mod table_loop;

pub use shift_driver::ShiftDriver;
pub use table_builder::TableBuilder;
pub use table_loop::spawn;

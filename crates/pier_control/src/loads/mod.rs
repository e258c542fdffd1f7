//! Decides which groups may load weights from the store now.
//!
//! The store has a limited total read rate. After a domain outage all its groups need to load at
//! once; admitting only a few groups at a time lets the first of them serve sooner.

mod admitted_load;
mod load_input;
mod load_queue;
mod load_settings;
mod pending_load;

use admitted_load::AdmittedLoad;
pub use load_input::LoadInput;
pub use load_queue::LoadQueue;
pub use load_settings::LoadSettings;
pub use pending_load::PendingLoad;
pub(crate) use pending_load::holds_weights;

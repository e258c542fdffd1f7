//! Decides which groups may read weights from the store now.
//!
//! The store gives a limited rate to all VMs together. After a domain comes back, every group would
//! like to load at once; loading a few after another makes the first of them serve sooner.

mod admitted_load;
mod load_input;
mod load_need;
mod load_queue;
mod load_settings;

use admitted_load::AdmittedLoad;
pub use load_input::LoadInput;
pub use load_need::LoadNeed;
pub(crate) use load_need::holds_weights;
pub use load_queue::LoadQueue;
pub use load_settings::LoadSettings;

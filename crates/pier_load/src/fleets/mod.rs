//! A platform, nodes and engines of several data centres in one process.

mod engine_set;
mod fleet_document;
mod fleet_plan;
mod load_fleet;

pub use engine_set::EngineSet;
pub use fleet_document::{BEARER_KEY, FleetDocument, MODEL_NAME};
pub use fleet_plan::FleetPlan;
pub use load_fleet::LoadFleet;

//! This node's share of limits that all nodes keep together.

mod cold_gate;
mod load_budget;
mod window_count;

pub use cold_gate::ColdGate;
pub use load_budget::LoadBudget;
pub use window_count::WindowCount;

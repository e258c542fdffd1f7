//! This node's share of limits that all nodes keep together.

mod cold_limiter;
mod load_budget;
mod window_count;

pub use cold_limiter::ColdLimiter;
pub use load_budget::LoadBudget;
pub use window_count::WindowCount;

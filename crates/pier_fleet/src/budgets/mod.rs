//! This node's share of limits that all nodes keep together.

mod answer_budget;
mod body_budget;
mod cold_limiter;
mod limit_shares;
mod load_budget;
mod target_limit;
mod window_count;

pub use answer_budget::{AnswerBudget, AnswerEnd, AnswerGrant, AnswerId, SMALL_ANSWER_BYTES};
pub use body_budget::{BodyBudget, BodyEnd, BodyGrant, BodyId, SMALL_BODY_BYTES};
pub use cold_limiter::ColdLimiter;
pub use limit_shares::{RateCandidate, share_rate};
pub use load_budget::LoadBudget;
pub use target_limit::{StatedRate, TargetLimit};
pub use window_count::WindowCount;

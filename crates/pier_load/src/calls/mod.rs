//! Calls: drawn from a seed, sent on time, recorded.

mod call_outcome;
mod call_plan;
mod call_record;
mod call_schedule;
mod call_sender;
mod event_times;
mod load_mix;

pub use call_outcome::CallOutcome;
pub use call_plan::CallPlan;
pub use call_record::CallRecord;
pub use call_schedule::CallSchedule;
pub use call_sender::CallSender;
use event_times::EventTimes;
pub use load_mix::LoadMix;

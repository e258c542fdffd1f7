//! Schedules of calls that are drawn from a seed, sent in real time and recorded.

mod call_outcome;
mod call_plan;
mod call_record;
mod call_schedule;
mod call_sender;
mod load_mix;
mod stream_recorder;

pub use call_outcome::CallOutcome;
pub use call_plan::CallPlan;
pub use call_record::CallRecord;
pub use call_schedule::CallSchedule;
pub use call_sender::CallSender;
pub use load_mix::LoadMix;
use stream_recorder::StreamRecorder;

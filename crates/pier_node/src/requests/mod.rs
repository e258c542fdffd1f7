//! The path of one request from its arrival to its answer.
//!
//! [`RequestPath`] parses a request into a plan, admits it, and hands it to one of three runs: for
//! a buffered answer, for a streamed answer, or for a one-time request. A one-time request carries
//! an idempotency key and runs at most once; the key is claimed on the platform before dispatch.
//! Shared state such as the routing table is read from [`RequestState`], where the control loops
//! publish it.

use pier_types::codes;

use crate::{callers, handle};

mod abort_guard;
mod answer_body;
mod answer_buffer;
mod attempt_call;
mod attempt_fault;
mod attempt_guard;
mod attempt_race;
mod buffered_answer;
mod buffered_run;
mod claim_driver;
mod crash_event;
mod crash_monitor;
mod customer_table;
mod event_reader;
mod forward_run;
mod group_watch;
mod leaving_targets;
mod link_monitor;
mod one_time_run;
mod open_attempt;
mod outcome_driver;
mod prefix_poller;
mod prompt_fields;
mod relay_sink;
mod request_path;
mod request_plan;
mod request_route;
mod request_run;
mod request_state;
mod skipped_peers;
mod stream_run;
pub mod target_client;
mod target_links;
mod target_process;
mod target_view;
mod token_event;
mod token_timing;
mod warmth_evidence;

use abort_guard::AbortGuard;
use answer_body::AnswerBody;
use answer_buffer::AnswerBuffer;
use attempt_call::AttemptCall;
use attempt_fault::AttemptFault;
use attempt_guard::AttemptGuard;
use attempt_race::AttemptRace;
use buffered_answer::BufferedAnswer;
use buffered_run::BufferedRun;
use claim_driver::{ClaimDecision, ClaimDriver};
use crash_event::CrashEvent;
use crash_monitor::CrashMonitor;
use customer_table::CustomerTable;
use event_reader::EventReader;
use forward_run::ForwardRun;
use group_watch::GroupWatch;
use leaving_targets::LeavingTargets;
pub use leaving_targets::TargetKey;
use link_monitor::LinkMonitor;
use one_time_run::OneTimeRun;
use open_attempt::OpenAttempt;
use outcome_driver::OutcomeDriver;
use prefix_poller::PrefixPoller;
use prompt_fields::PromptFields;
use relay_sink::{PushResult, RelaySink};
pub use request_path::RequestPath;
use request_plan::RequestPlan;
use request_route::RequestRoute;
use request_run::RequestRun;
pub use request_state::RequestState;
use skipped_peers::{SkippedPeers, SkippedPlace};
use stream_run::StreamRun;
use target_links::{LinkState, TargetLinks};
use target_process::TargetProcess;
use target_view::TargetView;
use token_event::TokenEvent;
use token_timing::TokenTiming;
pub use warmth_evidence::{WarmthEvidence, WarmthSignal};

/// Starts the background tasks of the request path; they end with the runtime.
pub fn spawn(handle: &handle::NodeHandle) {
    CrashMonitor::spawn(handle.clone());
    PrefixPoller::spawn(handle.clone());
}

/// Returns the error for a request whose task ended without an answer.
fn internal_fault() -> callers::ErrorBody {
    let code = codes::ResultCode::InternalFault;
    callers::ErrorBody::new(code, code.meaning())
}

//! One request's way from its arrival to its answer.
//!
//! [`RequestPath`] reads a request into a plan, admits it, and hands it to one of three runs: a whole
//! answer, a stream, or a one-time request, which is claimed first. What they read of the system is
//! in [`RequestState`], published by the control loops.

use pier_types::codes;

use crate::{callers, handle};

mod abort_guard;
mod answer_store;
mod attempt_call;
mod attempt_fault;
mod attempt_guard;
mod claim_driver;
mod crash_news;
mod crash_watch;
mod customer_table;
mod event_reader;
mod forward_run;
mod full_peers;
mod one_time_run;
mod outcome_driver;
mod prefix_watch;
mod prompt_fields;
mod relay_sink;
mod request_path;
mod request_plan;
mod request_route;
mod request_run;
mod request_state;
mod stream_run;
mod target_client;
mod target_view;
mod token_event;
mod token_pace;
mod warmth_news;
mod whole_answer;
mod whole_run;

use abort_guard::AbortGuard;
use answer_store::AnswerStore;
use attempt_call::AttemptCall;
use attempt_fault::AttemptFault;
use attempt_guard::AttemptGuard;
use claim_driver::{ClaimDriver, ClaimVerdict};
use crash_news::CrashNews;
use crash_watch::CrashWatch;
use customer_table::CustomerTable;
use event_reader::EventReader;
use forward_run::ForwardRun;
use full_peers::FullPeers;
use one_time_run::OneTimeRun;
use outcome_driver::OutcomeDriver;
use prefix_watch::PrefixWatch;
use prompt_fields::PromptFields;
use relay_sink::{PushResult, RelaySink};
pub use request_path::RequestPath;
use request_plan::RequestPlan;
use request_route::RequestRoute;
use request_run::RequestRun;
pub use request_state::RequestState;
use stream_run::StreamRun;
use target_view::TargetView;
use token_event::TokenEvent;
use token_pace::TokenPace;
pub use warmth_news::{WarmthNews, WarmthSign};
use whole_answer::WholeAnswer;
use whole_run::WholeRun;

/// Starts what the request path needs beside the requests themselves; it ends with the runtime.
pub fn spawn(handle: &handle::NodeHandle) {
    CrashWatch::spawn(handle.clone());
    PrefixWatch::spawn(handle.clone());
}

/// Makes the answer to a request whose task ended without one.
fn internal_fault() -> callers::ErrorBody {
    let code = codes::ResultCode::InternalFault;
    callers::ErrorBody::new(code, code.meaning())
}

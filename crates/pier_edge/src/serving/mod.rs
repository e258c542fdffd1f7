//! Accepts callers' requests and forwards them to targets.

mod accept;
mod answers;
mod body_framing;
mod body_reader;
mod buffered_run;
mod caller_server;
mod caller_stream;
mod connection_pool;
mod edge_body;
mod event_splitter;
mod forward_note;
mod life_check;
mod loss_report;
mod marked_body;
mod node_refusal;
mod open_answers;
mod open_sends;
mod refusal;
mod request_entry;
mod request_job;
mod send_fault;
mod stream_relay;
mod stream_run;
mod target_call;
mod target_stream;

pub(crate) use accept::accept;
use answers::{AnswerLimit, AnswerOwner, AnswerShare};
pub(crate) use answers::{AnswerRoom, WholeAnswer};
use body_framing::framing_of;
use body_reader::BodyReader;
pub(crate) use caller_server::{CallerServer, ServerAudience};
use caller_stream::CallerStream;
pub(crate) use caller_stream::ResetSwitch;
pub(crate) use connection_pool::{
    ConnectFault, ConnectionPool, PooledConnection, open_stream, set_socket_timeouts,
};
pub(crate) use edge_body::{EdgeBody, StreamCut, StreamPart};
use event_splitter::EventSplitter;
use forward_note::{FORWARD_HEADER, ForwardNote, without_connection_headers};
use marked_body::MarkedBody;
use node_refusal::{NodeRefusal, REFUSAL_HEADER, RefusalMeaning};
use open_answers::AnswerWrites;
pub(crate) use open_answers::OpenAnswers;
use open_sends::{OpenSends, SendEvent};
use refusal::Refusal;
use request_entry::RequestOrigin;
use request_job::{RequestJob, TargetChoice};
use send_fault::SendFault;
use stream_relay::StreamRelay;
use target_call::TargetCall;
use target_stream::{MAX_HEAD_BYTES, PrefaceLimit};

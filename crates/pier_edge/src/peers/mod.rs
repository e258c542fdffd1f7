//! Datagrams between nodes: heartbeats, loads at targets and the steward's view of the store.

mod beat_loop;
mod broadcast;
mod centre_summary;
mod crash_loop;
mod follow_limits;
mod formats;
mod forwarder;
mod heard_beat;
mod limit_loop;
mod load_exchange;
mod load_intake;
mod load_loop;
mod node_beat;
mod notice_outbox;
mod peer_groups;
mod peer_table;
mod relay_beat;
mod relay_follower;
mod relay_log;
mod silent_contacts;
mod snapshots;
mod stall_watch;
mod summary_loop;

pub(crate) use beat_loop::spawn;
pub(crate) use centre_summary::CentreSummary;
pub(crate) use follow_limits::{FollowLimits, MAX_STORE_AGE};
pub(crate) use formats::{MessageExtension, MessageFault, OutageFields, PeerEnvelope, PeerFormat};
pub(crate) use forwarder::Forwarder;
pub(crate) use heard_beat::HeardBeat;
pub(crate) use load_exchange::LoadExchange;
use load_loop::LoadLoop;
pub(crate) use load_loop::VIEW_AGE;
pub(crate) use node_beat::{
    BroadcastContent, LeavingTarget, LimitNotice, NodeBeat, NodePhase, NodeRecord, PeerMessage,
    StewardRecord,
};
pub(crate) use notice_outbox::{NoticeOutbox, StatedLimit};
pub(crate) use peer_table::PeerTable;
pub(crate) use relay_beat::{RelayBeat, RelayNotes, TargetChange};
pub(crate) use relay_follower::RelayFollower;
pub(crate) use relay_log::RelayLog;
use silent_contacts::SilentContacts;
pub(crate) use snapshots::{SnapshotClient, StoreSnapshot};

//! What datagrams between nodes carry.

mod crash_delta;
mod list_change;
mod list_digest;
mod list_note;
mod list_pull;
mod member_beat;
mod member_entry;
mod peer_message;
mod probe_batch;
mod probe_entry;
mod probe_failure;
mod probe_pull;
mod probe_result;
mod share_ask;
mod share_grant;
mod share_key;
mod vm_key;

pub use crash_delta::CrashDelta;
pub use list_change::ListChange;
pub use list_digest::ListDigest;
pub use list_note::{ListNote, NoteBody};
pub use list_pull::ListPull;
pub use member_beat::MemberBeat;
pub use member_entry::MemberEntry;
pub use peer_message::PeerMessage;
pub use probe_batch::ProbeBatch;
pub use probe_entry::{PackedReport, ProbeEntry};
pub use probe_failure::ProbeFailure;
pub use probe_pull::{ProbePull, PullScope};
pub use probe_result::ProbeResult;
pub use share_ask::{AskEntry, ShareAsk};
pub use share_grant::{GrantEntry, ShareGrant};
pub use share_key::ShareKey;
pub use vm_key::VmKey;

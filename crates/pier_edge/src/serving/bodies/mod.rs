//! Holds the bodies of requests within the node's budget for them.

mod body_reader;
mod body_room;
mod body_share;
mod connection_guard;

pub(super) use body_reader::BodyReader;
pub(crate) use body_room::BodyRoom;
use body_share::BodyShare;
pub(super) use connection_guard::ConnectionGuard;

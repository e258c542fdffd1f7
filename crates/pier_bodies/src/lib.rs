//! Holds the bodies of requests within a node's budget for them.

mod body_bounds;
mod body_intake;
mod body_room;
mod body_share;
mod connection_guard;

pub use body_bounds::BodyBounds;
pub use body_intake::BodyIntake;
pub use body_room::BodyRoom;
use body_share::BodyShare;
pub use connection_guard::ConnectionGuard;

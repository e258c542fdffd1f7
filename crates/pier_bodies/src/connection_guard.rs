//! Counts a connection of a caller.

use super::BodyRoom;

/// A connection of a caller, counted until dropped.
#[derive(Debug)]
pub struct ConnectionGuard {
    room: BodyRoom,
}

impl ConnectionGuard {
    pub(super) const fn new(room: BodyRoom) -> Self {
        Self { room }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.room.disconnect();
    }
}

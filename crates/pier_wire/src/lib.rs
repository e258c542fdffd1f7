//! Messages between nodes: authenticated datagrams and framed streams.
//!
//! [`seals`] authenticates datagrams and refuses bad ones, [`messages`] holds what datagrams
//! carry, [`frames`] holds the streams that forward a request to another node. The crate opens
//! no socket and reads no clock.

pub mod frames;
pub mod messages;
pub mod seals;

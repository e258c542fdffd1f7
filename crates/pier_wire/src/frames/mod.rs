//! Streams between nodes: each forwards one request or sends one query, and returns the answer.
//!
//! A connection starts with a handshake in which each side proves that it has the key, then
//! carries frames: the length as a little-endian `u32`, followed by a `postcard` value.

mod answer_frame;
mod body_chunk;
mod client_handshake;
mod forward_begin;
mod forward_frame;
mod frame_codec;
mod frame_error;
mod handshake_frames;
mod handshake_transcript;
mod peer_query;
mod server_handshake;

pub use answer_frame::{AnswerFailure, AnswerFrame, AnswerHead};
pub use body_chunk::BodyChunk;
pub use client_handshake::ClientHandshake;
pub use forward_begin::{ForwardBegin, ForwardHeader};
pub use forward_frame::ForwardFrame;
pub use frame_codec::{FrameCodec, MAX_FRAME_BYTES};
pub use frame_error::FrameError;
pub use handshake_frames::{HandshakeChallenge, HandshakeHello, HandshakeNonce, HandshakeReply};
pub(crate) use handshake_transcript::{HandshakeSide, HandshakeTranscript};
pub use peer_query::PeerQuery;
pub use server_handshake::ServerHandshake;

//! Decides when sending a request to another data centre pays.
//!
//! Each node prices a target elsewhere for each request: the distance, the bytes, and what the
//! callers there lose. Time that the caller does not need counts as no gain.

mod centre_facts;
mod link_watch;
mod load_age;
mod plain_price;
mod remote_cause;
mod remote_price;
mod stream_price;

pub use centre_facts::CentreFacts;
pub use link_watch::LinkWatch;
pub use load_age::LoadAge;
pub use plain_price::price_plain;
pub use remote_cause::{RemoteCause, has_local, may_leave};
pub use remote_price::RemotePrice;
pub use stream_price::price_stream;

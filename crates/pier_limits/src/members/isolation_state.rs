//! What a node may do, given its connections.

use std::fmt;

/// How far a node is cut off.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum IsolationLevel {
    /// The platform answers.
    Connected,
    /// The platform is unreachable, but the data centre's nodes hear one another.
    PlatformAway,
    /// Neither the platform nor any node of the data centre is heard.
    Alone,
}

impl fmt::Display for IsolationLevel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Connected => "connected",
            Self::PlatformAway => "platform-away",
            Self::Alone => "alone",
        })
    }
}

/// What a node may do now. Requests in progress always go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IsolationState {
    /// How far the node is cut off.
    pub level: IsolationLevel,
    /// Whether the load balancer is told to send callers to this node.
    pub ready: bool,
    /// Whether new requests are accepted.
    pub new_work: bool,
    /// Whether requests that may run only once are accepted.
    pub one_time: bool,
}

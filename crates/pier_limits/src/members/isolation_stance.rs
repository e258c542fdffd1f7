//! What a node does, given its links.

use std::fmt;

/// How far a node is cut off.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum IsolationPlace {
    /// The platform answers.
    Connected,
    /// The platform is away, but the data centre's nodes hear one another.
    PlatformAway,
    /// Neither the platform nor any node of the data centre is heard.
    Alone,
}

impl fmt::Display for IsolationPlace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Connected => "connected",
            Self::PlatformAway => "platform-away",
            Self::Alone => "alone",
        })
    }
}

/// What a node may do now; work in progress always goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IsolationStance {
    /// How far it is cut off.
    pub place: IsolationPlace,
    /// Whether the balancer is told to send callers here.
    pub ready: bool,
    /// Whether new requests are taken.
    pub new_work: bool,
    /// Whether requests are taken that may run only once.
    pub one_time: bool,
}

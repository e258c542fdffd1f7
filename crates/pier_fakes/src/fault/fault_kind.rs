//! The kinds of faults.

use serde::{Deserialize, Serialize};

/// One kind of fault; in JSON, `{"kind": "slow", "ms": 50}`.
///
/// Kinds that change how calls are answered stay until their count is used up or faults are cleared. The others
/// act once, when they are set.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum FaultKind {
    /// Cuts every connection and refuses new ones, for a time or until `up`.
    Down {
        /// Milliseconds, if it ends by itself.
        #[serde(default)]
        for_ms: Option<u64>,
    },
    /// Ends `down`.
    Up,
    /// Stops reading, working and writing, for a time or until `resume`; connections stay.
    Pause {
        /// Milliseconds, if it ends by itself.
        #[serde(default)]
        for_ms: Option<u64>,
    },
    /// Ends `pause`.
    Resume,
    /// Loses all state as a process that dies, and comes back after a time.
    Restart {
        /// Milliseconds until it listens again.
        #[serde(default)]
        for_ms: u64,
    },
    /// Answers a call with an error and no effect.
    Error {
        /// The HTTP status.
        status: u16,
        /// Whether it says that the call did not start.
        #[serde(default)]
        not_started: bool,
    },
    /// Lets a call wait before it is looked at.
    Slow {
        /// Milliseconds.
        ms: u64,
    },
    /// Cuts the connection before a call has any effect.
    LoseRequest,
    /// Lets a call take effect and cuts the connection in place of the reply.
    EffectWithoutReply,
    /// Breaks an answer off.
    HalfAnswer {
        /// Tokens that are sent before.
        tokens: u64,
        /// Whether the stream ends in good form, only without its final mark.
        #[serde(default)]
        clean_end: bool,
    },
    /// Restarts the engine when it runs a marked prompt.
    CrashOnPrompt {
        /// The text that marks a prompt.
        marker: String,
        /// Milliseconds until it listens again.
        #[serde(default)]
        for_ms: u64,
        /// Whether the whole process exits instead.
        #[serde(default)]
        exit: bool,
    },
    /// Makes an engine cold again.
    Cold,
    /// Lets a target say in its reports that it is about to leave.
    Leaving,
    /// Answers an order as obeyed without obeying it.
    LoseOrder,
    /// Changes an engine's time for each token.
    TokenTime {
        /// Milliseconds.
        ms: u64,
    },
    /// Changes the age of the load in reports.
    ReportLag {
        /// Milliseconds.
        ms: u64,
    },
    /// Loses the next cache events.
    CacheGap {
        /// Events.
        events: u32,
    },
    /// Lets reads of objects show what was there some time ago; writes still see the present.
    ReadLag {
        /// Milliseconds.
        ms: u64,
    },
    /// Changes the lag of the VM list.
    ListLag {
        /// Milliseconds.
        ms: u64,
    },
}

impl FaultKind {
    /// Tells whether it acts when it is set, and not on later calls.
    pub fn is_immediate(&self) -> bool {
        !matches!(
            self,
            Self::Error { .. }
                | Self::Slow { .. }
                | Self::LoseRequest
                | Self::EffectWithoutReply
                | Self::HalfAnswer { .. }
                | Self::CrashOnPrompt { .. }
                | Self::LoseOrder
        )
    }
}

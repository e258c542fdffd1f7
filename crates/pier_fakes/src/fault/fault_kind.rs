//! The kinds of faults.

use serde::{Deserialize, Serialize};

/// One kind of fault; in JSON, `{"kind": "slow", "ms": 50}`.
///
/// Kinds that affect how calls are answered stay until their count is used up or faults are
/// cleared. The others act once, when they are set.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum FaultKind {
    /// Cuts every connection and refuses new ones, for a time or until `up`.
    Down {
        /// Duration in milliseconds; without one, it lasts until ended.
        #[serde(default)]
        for_ms: Option<u64>,
    },
    /// Ends `down`.
    Up,
    /// Stops reading, processing and writing, for a time or until `resume`; connections stay open.
    Pause {
        /// Duration in milliseconds; without one, it lasts until ended.
        #[serde(default)]
        for_ms: Option<u64>,
    },
    /// Ends `pause`.
    Resume,
    /// Cuts every connection and refuses new ones for a time, as a restarted process does.
    ///
    /// An engine loses its state; engines and services get a new incarnation.
    Restart {
        /// Milliseconds until it listens again.
        #[serde(default)]
        for_ms: u64,
    },
    /// Answers a call with an error; the call has no effect.
    Error {
        /// The HTTP status.
        status: u16,
        /// Whether the reply says that the call did not start (`X-Not-Started`).
        #[serde(default)]
        not_started: bool,
    },
    /// Delays a call before it is processed.
    Slow {
        /// Milliseconds.
        ms: u64,
    },
    /// Cuts the connection before a call has any effect.
    LoseRequest,
    /// Lets a call take effect and cuts the connection instead of replying.
    EffectWithoutReply,
    /// Truncates an answer.
    HalfAnswer {
        /// Tokens that are sent before the end.
        tokens: u64,
        /// Whether the HTTP reply ends normally, only without the `[DONE]` event.
        #[serde(default)]
        clean_end: bool,
    },
    /// Restarts the engine when it runs a prompt that contains the marker.
    CrashOnPrompt {
        /// Text that marks a prompt.
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
    /// Makes a target's reports say that it is about to leave.
    Leaving,
    /// Makes a target's answers to calls say that it is about to leave, but not its reports.
    LeavingAnswers,
    /// Answers an order as applied without applying it.
    LoseOrder,
    /// Changes an engine's time per token.
    TokenTime {
        /// Milliseconds.
        ms: u64,
    },
    /// Changes the age of the load figures in reports.
    ReportLag {
        /// Milliseconds.
        ms: u64,
    },
    /// Loses the next cache events.
    CacheGap {
        /// Number of events.
        events: u32,
    },
    /// Makes object reads return an earlier state; writes still check the current one.
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
    /// Returns whether it acts when it is set, and not on later calls.
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

//! Identifiers drawn at random.

use crate::macros;

macros::token_newtype!(
    /// Identifies one dispatch of a request to one target.
    AttemptId
);
macros::token_newtype!(
    /// Distinguishes one conditional write from another, so that a lost reply can be settled.
    WriteNonce
);
macros::token_newtype!(
    /// Identifies a trace across every hop of a request.
    TraceId
);

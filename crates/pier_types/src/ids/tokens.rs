//! Random identifiers.

use crate::macros;

macros::token_newtype!(
    /// Identifies one dispatch of a request to one target.
    AttemptId
);
macros::token_newtype!(
    /// Marks the author of a conditional write, who can then recognize the write if its reply is
    /// lost.
    WriteNonce
);
macros::token_newtype!(
    /// Identifies the trace of a request across all hops.
    TraceId
);

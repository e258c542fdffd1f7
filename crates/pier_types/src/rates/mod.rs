//! Rates.

use crate::macros;

macros::number_newtype!(
    /// Requests per second.
    RequestRate,
    u32
);
macros::number_newtype!(
    /// Bytes per second.
    ByteRate,
    u64
);
macros::number_newtype!(
    /// Tokens per second.
    TokenRate,
    u64
);
macros::number_newtype!(
    /// Thousandths of a request per second.
    RequestMilliRate,
    u64
);

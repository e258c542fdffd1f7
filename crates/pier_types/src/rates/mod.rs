//! Rates.

use crate::macros;

macros::number_newtype!(
    /// Requests a second.
    RequestRate,
    u32
);
macros::number_newtype!(
    /// Bytes a second.
    ByteRate,
    u64
);
macros::number_newtype!(
    /// Tokens a second.
    TokenRate,
    u64
);

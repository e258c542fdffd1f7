//! Sizes and counts.

use crate::macros;

macros::number_newtype!(
    /// A size in bytes.
    ByteSize,
    u64
);
macros::number_newtype!(
    /// A number of tokens.
    TokenCount,
    u64
);
macros::number_newtype!(
    /// A number of requests in flight.
    RequestCount,
    u32
);
macros::number_newtype!(
    /// A number of VMs.
    VmCount,
    u32
);
macros::number_newtype!(
    /// A processor share, in thousandths of a core.
    CoreShare,
    u32
);
macros::number_newtype!(
    /// A customer's weight when capacity is shared out under overload.
    CustomerWeight,
    u32
);

//! Monotonically increasing numbers: versions, generations, incarnations and terms.

mod object_version;

use crate::macros;

macros::number_newtype!(
    /// Version of the configuration document; versions increase in the order of accepted writes.
    ConfigVersion,
    u64
);
macros::number_newtype!(
    /// Version of an object in the platform's object store; 0 if the object does not exist.
    ObjectVersion,
    u64
);
macros::number_newtype!(
    /// Era of a store: rises each time it comes back from an older copy of itself; 0 for a store that
    /// has none.
    StoreEra,
    u64
);
macros::number_newtype!(
    /// Generation of a replica group: increases with each change of its members; the fencing number.
    GroupGeneration,
    u64
);
macros::number_newtype!(
    /// Incarnation of a VM or process: increases with each restart.
    VmIncarnation,
    u64
);
macros::number_newtype!(
    /// Term of a control lease: increases with each change of its holder.
    LeaseTerm,
    u64
);
macros::number_newtype!(
    /// Position in a stream of numbered events.
    EventSequence,
    u64
);

//! Numbers that only rise: versions, generations, incarnations and terms.

use crate::macros;

macros::number_newtype!(
    /// Version of the configuration document; the order in which documents were accepted.
    ConfigVersion,
    u64
);
macros::number_newtype!(
    /// Version of an object on the platform; 0 stands for an absent object.
    ObjectVersion,
    u64
);
macros::number_newtype!(
    /// Generation of a replica group; rises with each change of its members and is the fencing number.
    GroupGeneration,
    u64
);
macros::number_newtype!(
    /// Incarnation of a VM or process; rises with each restart.
    VmIncarnation,
    u64
);
macros::number_newtype!(
    /// Term of a control lease; rises with each change of its holder.
    LeaseTerm,
    u64
);
macros::number_newtype!(
    /// Position in a stream of numbered events.
    EventSequence,
    u64
);

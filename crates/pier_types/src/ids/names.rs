//! Names assigned by operators, by the platform and by nodes.

use crate::macros;

macros::name_newtype!(
    /// Name of an adapter that an engine loads in addition to its model.
    AdapterName,
    "adapter"
);
macros::name_newtype!(
    /// Name of a customer, who is billed for the requests of its callers.
    CustomerName,
    "customer"
);
macros::name_newtype!(
    /// Name of a data centre.
    DataCentreName,
    "data centre"
);
macros::name_newtype!(
    /// Name of a fabric domain: VMs that share one fast interconnect.
    DomainName,
    "fabric domain"
);
macros::name_newtype!(
    /// Name of a replica group, which stays the same when its members change.
    GroupName,
    "group"
);
macros::name_newtype!(
    /// Name of a model.
    ModelName,
    "model"
);
macros::name_newtype!(
    /// Name of a node: one running instance of the daemon. Each start generates a new name.
    NodeName,
    "node"
);
macros::name_newtype!(
    /// Name of a region: a set of data centres close to each other.
    RegionName,
    "region"
);
macros::name_newtype!(
    /// Name of a plain service.
    ServiceName,
    "service"
);
macros::name_newtype!(
    /// Name of a VM; the platform may reuse it for another machine.
    VmName,
    "VM"
);

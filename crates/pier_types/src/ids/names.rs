//! Names given by operators and by the platform.

use crate::macros;

macros::name_newtype!(
    /// Name of an adapter that an engine loads beside its model.
    AdapterName,
    "adapter"
);
macros::name_newtype!(
    /// Name of a customer, who pays for requests and owns its callers.
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
    /// Name of a replica group, kept over changes of its members.
    GroupName,
    "group"
);
macros::name_newtype!(
    /// Name of a model.
    ModelName,
    "model"
);
macros::name_newtype!(
    /// Name of a node: one running instance of the daemon, drawn anew at each start.
    NodeName,
    "node"
);
macros::name_newtype!(
    /// Name of a region: data centres close to one another.
    RegionName,
    "region"
);
macros::name_newtype!(
    /// Name of a plain service.
    ServiceName,
    "service"
);
macros::name_newtype!(
    /// Name of a VM; the platform may give it to another machine later.
    VmName,
    "VM"
);

//! Plans the groups of the data centres whose steward is this node.

mod data_centre_steward;
mod member_client;
mod member_liveness;
mod member_queries;
mod steward_claim;
mod steward_loop;

use data_centre_steward::DataCentreSteward;
use member_client::MemberClient;
use member_liveness::MemberLiveness;
pub(crate) use steward_loop::spawn;

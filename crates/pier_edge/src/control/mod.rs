//! Plans the groups of the data centres that this node is the steward of.

mod centre_steward;
mod member_client;
mod member_liveness;
mod member_queries;
mod steward_claim;
mod steward_loop;

use centre_steward::CentreSteward;
use member_client::MemberClient;
use member_liveness::MemberLiveness;
pub(crate) use steward_loop::spawn;

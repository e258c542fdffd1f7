//! Plans the groups of the data centres that this node is the steward of.

mod centre_steward;
mod member_questions;
mod member_watch;
mod order_desk;
mod steward_claim;
mod steward_loop;

use centre_steward::CentreSteward;
use member_watch::MemberWatch;
use order_desk::OrderDesk;
pub(crate) use steward_loop::spawn;

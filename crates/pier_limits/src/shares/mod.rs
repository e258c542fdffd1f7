//! A target's limit shared by many nodes: the sum of what they have in flight never exceeds it.
//!
//! Of each limit a fixed part is split by slot, which needs nobody to ask ([`StaticSplit`]). The
//! rest is a pool that the lease holder lends for a short time ([`ShareLedger`]) and that each
//! node uses only until that time, counted from its question, has passed ([`ShareHolding`]).

mod ask_schedule;
mod ledger_charge;
mod ledger_target;
mod lend_bounds;
mod limit_split;
mod node_round;
mod share_demand;
mod share_holding;
mod share_ledger;
mod share_terms;
mod slot_tenure;
mod static_split;

pub use ask_schedule::AskSchedule;
pub(crate) use ledger_charge::LedgerCharge;
pub(crate) use ledger_target::LedgerTarget;
pub(crate) use lend_bounds::LendBounds;
pub use limit_split::LimitSplit;
pub(crate) use node_round::NodeRound;
pub use share_demand::ShareDemand;
pub use share_holding::ShareHolding;
pub use share_ledger::ShareLedger;
pub use share_terms::ShareTerms;
pub use slot_tenure::SlotTenure;
pub use static_split::StaticSplit;

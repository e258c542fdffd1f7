//! Splits a target's limit over many nodes so that the sum of their requests in flight never
//! exceeds it.
//!
//! A fixed part of each limit is split by slot, which needs no communication ([`StaticSplit`]).
//! The rest is a pool. The lease holder grants shares of it for a short time ([`ShareLedger`]).
//! Each node stops using a share once that time has passed since it sent the ask
//! ([`ShareHolding`]).

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

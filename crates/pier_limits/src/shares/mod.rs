//! Splits a target's limit over many nodes so that the sum of their requests in flight never
//! exceeds it.
//!
//! A fixed part of each limit is split by slot, which needs no communication ([`StaticSplit`]).
//! The rest is a pool. Nodes request shares of it with an ask (`ShareAsk`), and the lease holder
//! grants them for a short time ([`ShareLedger`]). Each node stops using a share once that time
//! has passed since it sent the ask ([`ShareHolding`]).

mod ask_progress;
mod ask_schedule;
mod grant_bounds;
mod ledger_charge;
mod limit_split;
mod share_demand;
mod share_holding;
mod share_ledger;
mod share_policy;
mod slot_ownership;
mod static_split;
mod target_account;

pub(crate) use ask_progress::AskProgress;
pub use ask_schedule::AskSchedule;
pub(crate) use grant_bounds::GrantBounds;
pub(crate) use ledger_charge::LedgerCharge;
pub use limit_split::LimitSplit;
pub use share_demand::ShareDemand;
pub use share_holding::ShareHolding;
pub use share_ledger::ShareLedger;
pub use share_policy::SharePolicy;
pub use slot_ownership::SlotOwnership;
pub use static_split::StaticSplit;
pub(crate) use target_account::TargetAccount;

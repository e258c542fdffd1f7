//! The state that the parts of a node share.

mod centre_links;
mod edge_state;
mod era_clock;
mod first_event_delays;
mod forward_table;
mod limit_table;
mod mix_gauge;
mod pause_table;
mod retry_budget;
mod serving_table;
mod start_up;
mod store_outages;
mod store_view;
mod stream_records;
mod table_builder;
mod target_gauge;
mod target_slot;

pub(crate) use centre_links::{CentreLink, CentreLinks};
pub(crate) use edge_state::{EdgeState, ProgressGuard};
pub(crate) use first_event_delays::FirstEventDelays;
pub(crate) use forward_table::{ForwardTable, MAX_FORWARDS_PER_NODE};
pub(crate) use limit_table::{LimitTable, SharedLimit};
pub(crate) use mix_gauge::MixGauge;
pub(crate) use pause_table::PauseTable;
pub(crate) use retry_budget::RetryBudget;
pub(crate) use serving_table::{ServicePool, ServingTable};
pub(crate) use start_up::StartUp;
pub(crate) use store_outages::StoreOutages;
pub(crate) use store_view::SnapshotSource;
pub(crate) use stream_records::StreamRecords;
pub(crate) use target_gauge::{GaugeGuard, TargetGauge};
pub(crate) use target_slot::{SlotKey, TargetSlot, lock};

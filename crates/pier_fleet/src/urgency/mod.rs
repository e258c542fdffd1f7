//! How urgent requests are, what waits by urgency and what was asked for lately.

mod class_demand;
mod demand_record;
mod demand_view;
mod urgency_class;
mod waiting_mix;
mod waiting_work;

pub use class_demand::ClassDemand;
pub use demand_record::DemandRecord;
pub use demand_view::DemandView;
pub use urgency_class::UrgencyClass;
pub use waiting_mix::WaitingMix;
pub use waiting_work::WaitingWork;

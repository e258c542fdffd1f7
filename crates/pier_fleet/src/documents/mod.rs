//! The operators' configuration: routes, services, keys and limits, held in one versioned
//! document.

mod caller_limits;
mod customer_grant;
mod engine_spec;
mod fleet_document;
mod model_spec;
mod repeat_rule;
mod route_rule;
mod service_spec;
mod split_share;

pub use caller_limits::CallerLimits;
pub use customer_grant::CustomerGrant;
pub use engine_spec::EngineSpec;
pub use fleet_document::FleetDocument;
pub use model_spec::ModelSpec;
pub use repeat_rule::RepeatRule;
pub use route_rule::RouteRule;
pub use service_spec::ServiceSpec;
pub use split_share::SplitShare;

//! The operators' port: health checks, metrics and state.

mod group_list;
mod node_status;
mod operator_routes;

pub use operator_routes::OperatorRoutes;

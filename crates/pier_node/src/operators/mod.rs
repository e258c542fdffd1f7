//! The operators' port: metrics and state.

mod operator_routes;

pub use operator_routes::OperatorRoutes;

//! A simulated model engine, as it runs on one VM.

mod answer_encoder;
mod answer_text;
mod completion_request;
mod completion_routes;
mod engine_app;
mod engine_builder;
mod engine_order;
mod engine_settings;
mod engine_simulator;
mod fake_engine;
mod load_history;
mod order_routes;
mod prefix_cache;
mod reply_task;
mod run_event;
mod run_state;
mod run_task;
mod weight_store;

pub(crate) use answer_encoder::AnswerEncoder;
pub use answer_text::AnswerText;
pub(crate) use completion_request::CompletionRequest;
pub(crate) use engine_app::EngineApp;
pub use engine_builder::EngineBuilder;
pub use engine_order::{EngineOrder, EngineRole, OrderAnswer, OrderKind};
pub use engine_settings::EngineSettings;
pub use engine_simulator::EngineSimulator;
pub use fake_engine::FakeEngine;
pub use load_history::{EngineLoad, LoadHistory};
pub use prefix_cache::{CacheEvent, CacheEventKind, PrefixCache};
pub(crate) use reply_task::ReplyTask;
pub(crate) use run_event::RunEvent;
pub use run_state::{AdmitRefusal, RunLoss, RunRequest, RunState};
pub(crate) use run_task::{HalfAnswer, RunTask};
pub use weight_store::WeightStore;

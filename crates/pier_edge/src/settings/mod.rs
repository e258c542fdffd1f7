//! Settings of a node, read from an INI file.

mod answer_bounds;
mod edge_bounds;
mod edge_settings;
mod settings_error;

pub use answer_bounds::AnswerBounds;
pub use edge_bounds::EdgeBounds;
pub use edge_settings::EdgeSettings;
pub use settings_error::SettingsError;

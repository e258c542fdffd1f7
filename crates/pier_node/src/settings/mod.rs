//! The settings of one node: an INI file that is checked completely before anything starts.

mod machine_size;
mod node_limits;
mod node_settings;
mod settings_error;
mod settings_reader;

pub use machine_size::MachineSize;
pub use node_limits::NodeLimits;
pub use node_settings::NodeSettings;
pub use settings_error::{SettingsError, SettingsFault};
use settings_reader::SettingsReader;

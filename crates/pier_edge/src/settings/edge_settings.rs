//! The settings of one node.

use std::{collections, net, num, path, str, time};

use ini::Ini;
use pier_types::{ids, sizes};

use crate::settings;

/// Time for [`settings::EdgeBounds::leaving`] if the settings state none.
const DEFAULT_LEAVING_TIME: time::Duration = time::Duration::from_secs(2);

/// Greatest percentage, and the one for [`settings::EdgeBounds::remote_percent`] if the settings
/// state none.
const MAX_PERCENT: u32 = 100;

/// Addresses, data centre and limits of a node.
#[derive(Debug, Clone, PartialEq)]
pub struct EdgeSettings {
    /// Name of the node's VM.
    pub name: String,
    /// The node's data centre.
    pub data_centre: ids::DataCentreName,
    /// All data centres.
    pub data_centres: collections::BTreeSet<ids::DataCentreName>,
    /// Address for callers.
    pub callers: net::SocketAddr,
    /// Address for the load balancer's readiness checks.
    pub readiness: net::SocketAddr,
    /// Address for datagrams of other nodes.
    pub peers: net::SocketAddr,
    /// Address for requests that other nodes pass on.
    pub forwards: net::SocketAddr,
    /// Address for metrics.
    pub metrics: net::SocketAddr,
    /// Address of the platform's store.
    pub store: net::SocketAddr,
    /// Memory that the process may use.
    pub memory: sizes::ByteSize,
    /// Limits on the bodies of requests.
    pub bodies: pier_bodies::BodyBounds,
    /// Limits on the answers that wait for their callers.
    pub answers: settings::AnswerBounds,
    /// Whether the whole fleet starts for the first time, so that the nodes' records are yet to
    /// come.
    pub is_first_start: bool,
    /// Processor share of the VM; 0 if the settings do not state it.
    pub cores: sizes::CoreShare,
    /// Lowest severity that is logged.
    pub log_level: log::LevelFilter,
    /// Limits on draining and retries.
    pub bounds: settings::EdgeBounds,
}

impl EdgeSettings {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read, or a value is missing or malformed.
    pub fn load(path: &path::Path) -> Result<Self, settings::SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|error| {
            settings::SettingsError::Unreadable(format!("{}: {error}", path.display()))
        })?;
        Self::parse(&text)
    }

    /// Parses the text of a settings file.
    ///
    /// # Errors
    ///
    /// Fails when the text is not an INI file, or a value is missing or malformed.
    pub fn parse(text: &str) -> Result<Self, settings::SettingsError> {
        let ini = Ini::load_from_str(text)
            .map_err(|error| settings::SettingsError::Unreadable(error.to_string()))?;
        let reader = SectionReader { ini: &ini };
        let data_centre: ids::DataCentreName = reader.value("node", "data_centre")?;
        let listed: String = reader.value("node", "data_centres")?;
        let names = listed.split(',').map(str::trim);
        let mut data_centres: collections::BTreeSet<_> =
            names.filter_map(|name| name.parse().ok()).collect();
        data_centres.insert(data_centre.clone());
        let mebibytes: u64 = reader.value("limits", "memory_mib")?;
        let memory = sizes::ByteSize::new(mebibytes << 20);
        Ok(Self {
            name: reader.value("node", "name")?,
            data_centre,
            data_centres,
            callers: reader.value("listen", "callers")?,
            readiness: reader.value("listen", "readiness")?,
            peers: reader.value("listen", "peers")?,
            forwards: reader.value("listen", "forwards")?,
            metrics: reader.value("listen", "metrics")?,
            store: reader.value("platform", "store")?,
            memory,
            bodies: body_bounds(&reader, memory)?,
            answers: answer_bounds(&reader, memory)?,
            is_first_start: reader.optional("node", "first_start")?.unwrap_or(false),
            cores: reader
                .positive("limits", "cores")?
                .map(core_share)
                .unwrap_or_default(),
            log_level: reader.value("log", "level")?,
            bounds: settings::EdgeBounds {
                grace: seconds(reader.value("bounds", "grace_seconds")?),
                leaving: reader
                    .positive("bounds", "leaving_ms")?
                    .map_or(DEFAULT_LEAVING_TIME, |millis| seconds(millis / 1_000.0)),
                remote_percent: reader
                    .percent("bounds", "remote_percent")?
                    .unwrap_or(MAX_PERCENT),
                retry_ratio: reader.value("bounds", "retry_ratio")?,
                retry_burst: reader.value("bounds", "retry_burst")?,
                retry_window: seconds(reader.value("bounds", "retry_window_seconds")?),
            },
        })
    }
}

fn body_bounds(
    reader: &SectionReader<'_>,
    memory: sizes::ByteSize,
) -> Result<pier_bodies::BodyBounds, settings::SettingsError> {
    let mut bounds = pier_bodies::BodyBounds::of_memory(memory);
    if let Some(mebibytes) = reader.positive_count("limits", "body_budget_mib")? {
        bounds.budget = sizes::ByteSize::new(u64::from(mebibytes) << 20);
    }
    if let Some(rate) = reader.positive_count("limits", "least_body_rate")? {
        bounds.least_rate = sizes::ByteSize::new(u64::from(rate));
    }
    if let Some(number) = reader.positive("limits", "body_quiet_seconds")? {
        bounds.quiet_time = Some(seconds(number));
    }
    if let Some(connections) = reader.positive_count("limits", "caller_connections")? {
        bounds.connections = connections;
    }
    Ok(bounds)
}

fn answer_bounds(
    reader: &SectionReader<'_>,
    memory: sizes::ByteSize,
) -> Result<settings::AnswerBounds, settings::SettingsError> {
    let mut bounds = settings::AnswerBounds::of_memory(memory);
    if let Some(mebibytes) = reader.positive_count("limits", "answer_budget_mib")? {
        bounds.budget = sizes::ByteSize::new(u64::from(mebibytes) << 20);
    }
    if let Some(rate) = reader.positive_count("limits", "least_answer_rate")? {
        bounds.least_rate = sizes::ByteSize::new(u64::from(rate));
    }
    Ok(bounds)
}

fn seconds(number: f64) -> time::Duration {
    time::Duration::from_secs_f64(number.clamp(0.0, 86_400.0))
}

/// Returns the share that a number of cores is.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped before"
)]
fn core_share(cores: f64) -> sizes::CoreShare {
    let millicores = (cores * 1_000.0).round().clamp(0.0, f64::from(u32::MAX));
    sizes::CoreShare::new(millicores as u32)
}

struct SectionReader<'a> {
    ini: &'a Ini,
}

impl SectionReader<'_> {
    /// Returns `None` if the key is missing or empty.
    fn optional<T: str::FromStr>(
        &self,
        section: &'static str,
        key: &'static str,
    ) -> Result<Option<T>, settings::SettingsError> {
        let text = self.ini.get_from(Some(section), key).unwrap_or_default();
        if text.trim().is_empty() {
            return Ok(None);
        }
        self.value(section, key).map(Some)
    }

    /// Returns a number that is above 0, or `None` if the key is missing or empty.
    fn positive(
        &self,
        section: &'static str,
        key: &'static str,
    ) -> Result<Option<f64>, settings::SettingsError> {
        match self.optional::<f64>(section, key)? {
            Some(number) if !number.is_finite() || number <= 0.0 => {
                Err(settings::SettingsError::Malformed {
                    section,
                    key,
                    value: number.to_string(),
                })
            }
            number => Ok(number),
        }
    }

    /// Returns a number from 0 to 100, or `None` if the key is missing or empty.
    fn percent(
        &self,
        section: &'static str,
        key: &'static str,
    ) -> Result<Option<u32>, settings::SettingsError> {
        match self.optional::<u32>(section, key)? {
            Some(number) if number > MAX_PERCENT => Err(settings::SettingsError::Malformed {
                section,
                key,
                value: number.to_string(),
            }),
            number => Ok(number),
        }
    }

    /// Returns a whole number that is above 0, or `None` if the key is missing or empty.
    fn positive_count(
        &self,
        section: &'static str,
        key: &'static str,
    ) -> Result<Option<u32>, settings::SettingsError> {
        let count: Option<num::NonZeroU32> = self.optional(section, key)?;
        Ok(count.map(num::NonZeroU32::get))
    }

    fn value<T: str::FromStr>(
        &self,
        section: &'static str,
        key: &'static str,
    ) -> Result<T, settings::SettingsError> {
        let text = self.ini.get_from(Some(section), key);
        let text = text.ok_or(settings::SettingsError::Missing { section, key })?;
        text.trim()
            .parse()
            .map_err(|_reason| settings::SettingsError::Malformed {
                section,
                key,
                value: text.to_owned(),
            })
    }
}

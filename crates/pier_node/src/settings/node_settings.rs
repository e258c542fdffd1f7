//! The settings of one node.

use std::{net, num, ops, path, time};

use anyhow::Context as _;
use pier_types::{ids, sizes};
use pier_wire::seals;

use crate::settings;

/// Default limit on waiting for requests in progress during a drain.
const DEFAULT_DRAIN_LIMIT: time::Duration = time::Duration::from_mins(10);

/// Default time between turning unready and closing the port.
const DEFAULT_DRAIN_NOTICE: time::Duration = time::Duration::from_secs(5);

/// Default time that a caller has to send its request body.
const DEFAULT_BODY_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Allowed time for a caller to send its request body, in seconds.
const BODY_TIMEOUT_BOUNDS: ops::RangeInclusive<u64> = 1..=600;

/// Minimum length of the key that authenticates messages between nodes, in bytes.
const MIN_PEER_KEY_LENGTH: usize = 32;

/// The settings of one node, read at its start.
///
/// ```
/// use pier_node::settings;
///
/// let text = "
/// [node]
/// data-centre = scot-central-a
/// region = scot-central
/// callers = 127.0.0.1:0
/// operators = 127.0.0.1:0
/// peers = 127.0.0.1:0
/// peer-key = 0123456789abcdef0123456789abcdef
/// [platform]
/// url = http://127.0.0.1:9000
/// ";
/// let settings = settings::NodeSettings::parse(text)?;
/// assert_eq!(settings.data_centre.as_str(), "scot-central-a");
/// # Ok::<(), anyhow::Error>(())
/// ```
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// The data centre that this node belongs to.
    pub data_centre: ids::DataCentreName,
    /// The region of that data centre.
    pub region: ids::RegionName,
    /// Address for HTTP requests of callers.
    pub callers: net::SocketAddr,
    /// Address for operators' HTTP requests and metrics.
    pub operators: net::SocketAddr,
    /// Address for datagrams and forwarded requests of other nodes; the same port on UDP and TCP.
    pub peers: net::SocketAddr,
    /// Addresses of nodes to contact at the start.
    pub seeds: Vec<net::SocketAddr>,
    /// Key that authenticates messages between nodes.
    pub peer_key: seals::WireKey,
    /// Base URL of the platform's object API.
    pub platform_url: String,
    /// Maximum time that the node waits for requests in progress once told to stop.
    pub drain_limit: time::Duration,
    /// Time between turning unready and closing the port.
    pub drain_notice: time::Duration,
    /// Time that a caller has to send its complete body.
    pub body_timeout: time::Duration,
    /// Limits on what callers can make the node hold.
    pub limits: settings::NodeLimits,
    /// Base URL of the OTLP collector.
    pub collector_url: Option<String>,
    /// Minimum level of log lines.
    pub log_level: log::LevelFilter,
}

impl NodeSettings {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read or any value is refused; the error names every fault.
    pub fn load(path: &path::Path) -> anyhow::Result<Self> {
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("reading settings file {}", path.display()))?;
        Self::parse(&text)
    }

    /// Reads and checks a text.
    ///
    /// # Errors
    ///
    /// Fails when the text is not INI or any value is refused; the error names every fault.
    pub fn parse(text: &str) -> anyhow::Result<Self> {
        let file = ini::Ini::load_from_str(text).context("the settings are not INI")?;
        let mut reader = settings::SettingsReader::new(&file);
        let settings = Self::read(&mut reader);
        reader.finish()?;
        settings.context("a required setting is missing")
    }

    fn read(reader: &mut settings::SettingsReader<'_>) -> Option<Self> {
        let address = "an IP address and port, as in 10.0.0.5:8080";
        let seconds = "whole seconds";
        let data_centre = reader.required("node", "data-centre", "a data centre's name");
        let region = reader.required("node", "region", "a region's name");
        let callers = reader.required("node", "callers", address);
        let operators = reader.required("node", "operators", address);
        let peers = reader.required("node", "peers", address);
        let seeds = reader.list("node", "seeds", address);
        let peer_key = Self::read_peer_key(reader);
        let platform_url = Self::read_url(reader, "platform", "url");
        let drain_limit = reader.optional("node", "drain-limit-seconds", seconds);
        let drain_notice = reader.optional("node", "drain-notice-seconds", seconds);
        let body_timeout = Self::read_body_timeout(reader);
        let limits = Self::read_limits(reader);
        let collector_url = Self::read_optional_url(reader, "telemetry", "collector");
        let levels = "one of off, error, warn, info, debug, trace";
        let log_level = reader.optional("telemetry", "log-level", levels);
        Some(Self {
            data_centre: data_centre?,
            region: region?,
            callers: callers?,
            operators: operators?,
            peers: peers?,
            seeds,
            peer_key: peer_key?,
            platform_url: platform_url?,
            drain_limit: drain_limit.map_or(DEFAULT_DRAIN_LIMIT, time::Duration::from_secs),
            drain_notice: drain_notice.map_or(DEFAULT_DRAIN_NOTICE, time::Duration::from_secs),
            body_timeout,
            limits,
            collector_url,
            log_level: log_level.unwrap_or(log::LevelFilter::Info),
        })
    }

    fn read_body_timeout(reader: &mut settings::SettingsReader<'_>) -> time::Duration {
        let (min, max) = (BODY_TIMEOUT_BOUNDS.start(), BODY_TIMEOUT_BOUNDS.end());
        let allowed = format!("whole seconds, {min} to {max}");
        let key = "body-timeout-seconds";
        let Some(seconds) = reader.optional::<u64>("node", key, &allowed) else {
            return DEFAULT_BODY_TIMEOUT;
        };
        if !BODY_TIMEOUT_BOUNDS.contains(&seconds) {
            reader.refuse("node", key, &seconds.to_string(), &allowed);
        }
        time::Duration::from_secs(seconds)
    }

    fn read_limits(reader: &mut settings::SettingsReader<'_>) -> settings::NodeLimits {
        let count = "a whole number above 0";
        let mut number = |key| reader.optional::<num::NonZeroU32>("limits", key, count);
        let bytes = |number: num::NonZeroU32| sizes::ByteSize::new(number.get().into());
        let mebibytes =
            |number: num::NonZeroU32| sizes::ByteSize::new(u64::from(number.get()) << 20);
        settings::NodeLimits {
            memory: number("memory-mib").map(mebibytes),
            body_budget: number("body-budget-mib").map(mebibytes),
            least_body_rate: number("least-body-rate").map(bytes),
            bodies: number("bodies").map(num::NonZeroU32::get),
            descriptors: number("descriptors").map(|number| number.get().into()),
        }
    }

    fn read_peer_key(reader: &mut settings::SettingsReader<'_>) -> Option<seals::WireKey> {
        let allowed = format!("at least {MIN_PEER_KEY_LENGTH} characters, the same on every node");
        let key: String = reader.required("node", "peer-key", &allowed)?;
        let parsed = key.parse().ok();
        let parsed = parsed.filter(|_parsed| key.len() >= MIN_PEER_KEY_LENGTH);
        if parsed.is_none() {
            reader.refuse("node", "peer-key", "(hidden)", &allowed);
        }
        parsed
    }

    fn read_url(
        reader: &mut settings::SettingsReader<'_>,
        section: &'static str,
        key: &'static str,
    ) -> Option<String> {
        let url: String = reader.required(section, key, "http://HOST:PORT")?;
        Self::check_url(reader, section, key, &url)
    }

    fn read_optional_url(
        reader: &mut settings::SettingsReader<'_>,
        section: &'static str,
        key: &'static str,
    ) -> Option<String> {
        let url: String = reader.optional(section, key, "http://HOST:PORT")?;
        Self::check_url(reader, section, key, &url)
    }

    fn check_url(
        reader: &mut settings::SettingsReader<'_>,
        section: &'static str,
        key: &'static str,
        url: &str,
    ) -> Option<String> {
        let parsed = reqwest::Url::parse(url);
        let usable = parsed.is_ok_and(|url| matches!(url.scheme(), "http" | "https"));
        if !usable {
            reader.refuse(section, key, url, "http://HOST:PORT or https://HOST:PORT");
            return None;
        }
        Some(url.trim_end_matches('/').to_owned())
    }
}

//! Settings of the daemon.

use std::net::SocketAddr;
use std::str::FromStr;

use persimmon_records::{EndpointName, ZoneName};
use persimmon_settings::{Setting, Settings, SettingsError};
use persimmon_wire::FleetKey;

/// Environment variable with the fleet key. There is no flag for it, because process lists show
/// flags.
const FLEET_KEY_VARIABLE: &str = "PERSIMMON_FLEET_KEY";

const BYTES_PER_MB: u64 = 1024 * 1024;
/// Memory that a router needs without callers, and for the largest body on each traffic thread, in megabytes.
const IDLE_MEMORY_MB: u64 = 24;
const BODY_MEMORY_MB: u64 = 3;
/// Minimum share of a traffic thread in the memory, of which a part is for bodies, in megabytes.
const MIN_THREAD_MEMORY_MB: u64 = 8;

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LogFormat {
    /// Plain text.
    Human,
    /// One JSON object per line.
    Json,
}

impl FromStr for LogFormat {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "human" => Ok(Self::Human),
            "json" => Ok(Self::Json),
            _ => Err("the format is unknown; use human or json"),
        }
    }
}

/// Comma-separated addresses.
#[derive(Debug, Default)]
struct Addresses(Vec<SocketAddr>);

impl FromStr for Addresses {
    type Err = std::net::AddrParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
        parts.map(str::parse).collect::<Result<_, _>>().map(Self)
    }
}

const NAME: Setting = Setting::new("name", "NAME", "the process's name");
const ZONE: Setting = Setting::new("zone", "ZONE", "the VM's availability zone");
const PEER_LISTEN: Setting =
    Setting::new("peer-listen", "ADDRESS", "TCP and UDP address for other processes of the fleet");
const OPS_LISTEN: Setting =
    Setting::new("ops-listen", "ADDRESS", "HTTP address for operators: metrics, health, status")
        .with_default("127.0.0.1:0");
const PLATFORM: Setting =
    Setting::new("platform", "ADDRESS", "HTTP address of the platform's configuration service");
const PEERS: Setting = Setting::new(
    "peers",
    "ADDRESS,...",
    "peers to read records from at startup if the platform is down; optional",
);
const LOG: Setting =
    Setting::new("log", "FILTER", "log filter by module and level").with_default("info");
const LOG_FORMAT: Setting =
    Setting::new("log-format", "human|json", "format of log lines").with_default("human");
const DRAIN_MS: Setting =
    Setting::new("drain-ms", "MILLISECONDS", "maximum wait for requests in progress at shutdown")
        .with_default("600000");
const LISTEN: Setting = Setting::new("listen", "ADDRESS", "HTTP address for callers");
const TRAFFIC_THREADS: Setting =
    Setting::new("traffic-threads", "COUNT", "threads that handle callers' requests, 1 to 64")
        .with_default("2");
const MAX_CONNECTIONS: Setting = Setting::new(
    "max-connections",
    "COUNT",
    "maximum number of open connections from callers, 1 to 100000",
)
.with_default("4096");
const MEMORY_MB: Setting = Setting::new(
    "memory-mb",
    "MEGABYTES",
    "memory that the router may use; at least 24 and 3 for each traffic thread, and 8 for each",
)
.with_default("160");
const ENDPOINT: Setting =
    Setting::new("endpoint", "ADDRESS", "HTTP address of the endpoint beside this sidecar");

/// Settings of the router role.
pub(crate) const ROUTER_SPECS: [Setting; 13] = [
    NAME,
    ZONE,
    PEER_LISTEN,
    OPS_LISTEN,
    PLATFORM,
    PEERS,
    LOG,
    LOG_FORMAT,
    DRAIN_MS,
    LISTEN,
    TRAFFIC_THREADS,
    MAX_CONNECTIONS,
    MEMORY_MB,
];

/// Settings of the sidecar role.
pub(crate) const SIDECAR_SPECS: [Setting; 10] =
    [NAME, ZONE, PEER_LISTEN, OPS_LISTEN, PLATFORM, PEERS, LOG, LOG_FORMAT, DRAIN_MS, ENDPOINT];

/// Settings common to both roles.
#[derive(Debug, Clone)]
pub(crate) struct CommonSettings {
    pub(crate) name: EndpointName,
    pub(crate) zone: ZoneName,
    pub(crate) peer_listen: SocketAddr,
    pub(crate) ops_listen: SocketAddr,
    pub(crate) platform: SocketAddr,
    pub(crate) peers: Vec<SocketAddr>,
    pub(crate) fleet_key: FleetKey,
    pub(crate) log: String,
    pub(crate) log_format: LogFormat,
    pub(crate) drain_ms: u64,
}

/// Settings of a router.
#[derive(Debug, Clone)]
pub(crate) struct RouterSettings {
    pub(crate) common: CommonSettings,
    pub(crate) listen: SocketAddr,
    pub(crate) traffic_threads: usize,
    pub(crate) max_connections: usize,
    /// Memory that the process may use, in bytes.
    pub(crate) memory_bytes: u64,
}

/// Settings of a sidecar.
#[derive(Debug, Clone)]
pub(crate) struct SidecarSettings {
    pub(crate) common: CommonSettings,
    pub(crate) endpoint: SocketAddr,
}

impl RouterSettings {
    /// Reads the settings of a router.
    ///
    /// # Errors
    ///
    /// Returns every fault: missing, invalid and unknown settings.
    pub(crate) fn read(
        mut settings: Settings,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, SettingsError> {
        let common = read_common(&mut settings, variable);
        let listen = settings.required(LISTEN.name());
        let traffic_threads = read_count(&mut settings, TRAFFIC_THREADS.name(), 64);
        let max_connections = read_count(&mut settings, MAX_CONNECTIONS.name(), 100_000);
        let memory_bytes = read_memory(&mut settings, traffic_threads);
        let values = (|| {
            Some(Self {
                common: common?,
                listen: listen?,
                traffic_threads: traffic_threads?,
                max_connections: max_connections?,
                memory_bytes: memory_bytes?,
            })
        })();
        finish(settings, values)
    }
}

impl SidecarSettings {
    /// Reads the settings of a sidecar.
    ///
    /// # Errors
    ///
    /// Returns every fault: missing, invalid and unknown settings.
    pub(crate) fn read(
        mut settings: Settings,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, SettingsError> {
        let common = read_common(&mut settings, variable);
        let endpoint = settings.required(ENDPOINT.name());
        let values = (|| Some(Self { common: common?, endpoint: endpoint? }))();
        finish(settings, values)
    }
}

fn finish<T>(settings: Settings, values: Option<T>) -> Result<T, SettingsError> {
    settings.finish()?;
    // A value is absent only if a fault was added, which `settings.finish` returns.
    values.ok_or(SettingsError { faults: Vec::new() })
}

fn read_common(
    settings: &mut Settings,
    variable: impl Fn(&str) -> Option<String>,
) -> Option<CommonSettings> {
    let name = settings.required::<String>(NAME.name());
    let zone = settings.required::<String>(ZONE.name());
    let peer_listen = settings.required(PEER_LISTEN.name());
    let ops_listen = settings.required(OPS_LISTEN.name());
    let platform = settings.required(PLATFORM.name());
    let peers = settings.optional::<Addresses>(PEERS.name()).unwrap_or_default();
    let log = settings.required(LOG.name());
    let log_format = settings.required(LOG_FORMAT.name());
    let drain_ms = settings.required(DRAIN_MS.name());
    let fleet_key = read_fleet_key(settings, variable);
    Some(CommonSettings {
        name: EndpointName::new(name?),
        zone: ZoneName::new(zone?),
        peer_listen: peer_listen?,
        ops_listen: ops_listen?,
        platform: platform?,
        peers: peers.0,
        fleet_key: fleet_key?,
        log: log?,
        log_format: log_format?,
        drain_ms: drain_ms?,
    })
}

fn read_fleet_key(
    settings: &mut Settings,
    variable: impl Fn(&str) -> Option<String>,
) -> Option<FleetKey> {
    let Some(text) = variable(FLEET_KEY_VARIABLE) else {
        settings.add_fault(format!(
            "{FLEET_KEY_VARIABLE} is missing; set it to the fleet's shared key"
        ));
        return None;
    };
    match FleetKey::new(&text) {
        Ok(key) => Some(key),
        Err(err) => {
            settings.add_fault(err.to_string());
            None
        }
    }
}

/// Reads the memory of a router in bytes, which must be enough for the largest body on each thread.
fn read_memory(settings: &mut Settings, threads: Option<usize>) -> Option<u64> {
    let megabytes = settings.required::<u64>(MEMORY_MB.name())?;
    let threads = threads? as u64;
    let needed = (IDLE_MEMORY_MB + BODY_MEMORY_MB * threads).max(MIN_THREAD_MEMORY_MB * threads);
    if megabytes >= needed {
        return Some(megabytes.saturating_mul(BYTES_PER_MB));
    }
    settings.add_fault(format!(
        "--{} is {megabytes}; give at least {needed} for the traffic threads",
        MEMORY_MB.name()
    ));
    None
}

fn read_count(settings: &mut Settings, name: &'static str, max: usize) -> Option<usize> {
    let count = settings.required::<usize>(name)?;
    if (1..=max).contains(&count) {
        return Some(count);
    }
    settings.add_fault(format!("--{name} is {count}; give a number from 1 to {max}"));
    None
}

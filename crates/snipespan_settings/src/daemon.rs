//! Settings of the `snipespand` process in its three roles.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use compact_str::CompactString;
use snipespan_core::entry::settings::EntrySettings;
use snipespan_core::entry::settings::RoutingPolicy;
use snipespan_core::entry::tables::regions::MAX_REGIONS;
use snipespan_core::identity::DataCentre;
use snipespan_core::identity::Incarnation;
use snipespan_core::identity::Target;
use snipespan_core::identity::VmId;
use snipespan_core::side::settings::BackendKind;
use snipespan_core::side::settings::SideSettings;

use crate::error::SettingsErrors;
use crate::gateway;
use crate::gateway::GatewayRole;
use crate::ini_file::IniFile;

const NAME_ALLOWED: &str = "1 to 64 characters of a-z, A-Z, 0-9, '-', '_', '.'";
const ADDRESS_ALLOWED: &str = "an IP address and a port (such as 10.0.0.7:8443; port 0 lets the \
    system choose)";
const URL_ALLOWED: &str = "a URL that starts with http:// and has no slash at the end";
const DIGEST_ALLOWED: &str = "the SHA-256 of the operator's token, 64 hexadecimal digits";

/// All settings of one process.
#[derive(Clone, Debug)]
pub struct DaemonSettings {
    /// Path of the settings file.
    pub path: PathBuf,
    /// VM on which the process runs.
    pub vm: VmId,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// Number of traffic threads, 1 to 256.
    pub traffic_threads: usize,
    /// Settings of logs, metrics and traces.
    pub telemetry: TelemetrySettings,
    /// Role of the process, with the settings of that role.
    pub role: RoleSettings,
}

/// Role of a process, with its settings.
#[derive(Clone, Debug)]
pub enum RoleSettings {
    /// Serves callers and operators.
    Entry(EntryRole),
    /// Serves entries on behalf of one backend server.
    Side(SideRole),
    /// Forwards clients' requests to the backend servers, without side processes.
    Gateway(GatewayRole),
}

/// Settings of the connection to the platform.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// URL of the platform's services.
    pub url: CompactString,
    /// Maximum time to connect, and maximum time for a call.
    pub timeout: Duration,
    /// Interval between reads of the configuration's head.
    pub configuration_interval: Duration,
    /// Interval between reads of the list of VMs.
    pub vm_list_interval: Duration,
}

/// PEM files for TLS between the system's processes.
#[derive(Clone, Debug)]
pub struct TlsSettings {
    /// CA certificates that verify the certificates of the other processes.
    pub ca: PathBuf,
    /// Certificate of this process.
    pub certificate: PathBuf,
    /// Private key of this process.
    pub key: PathBuf,
}

/// Settings of logs, metrics and traces.
#[derive(Clone, Debug)]
pub struct TelemetrySettings {
    /// Log filter in the syntax of `env_logger`.
    pub log: CompactString,
    /// UDP address to which metrics are sent, if any.
    pub metrics: Option<SocketAddr>,
    /// URL to which traces are sent by OTLP over gRPC, if any.
    pub traces: Option<CompactString>,
    /// Share of the traces started by this process that are kept, 1 to 1000 per thousand.
    pub traces_per_mille: u64,
}

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct EntryRole {
    /// Settings of the connection to the platform.
    pub platform: PlatformSettings,
    /// Files for TLS between the system's processes.
    pub tls: TlsSettings,
    /// Address at which callers are served.
    pub callers_listen: SocketAddr,
    /// Address at which operators are served.
    pub operators_listen: SocketAddr,
    /// Local address of the connections to side processes.
    pub sides_bind: SocketAddr,
    /// Limits and policy of the entry's decisions; `seed` is set when the process starts.
    pub decision_settings: EntrySettings,
    /// Names of the operators, with the SHA-256 of their tokens in hexadecimal digits.
    pub operators: Vec<(CompactString, CompactString)>,
}

/// Settings of a side process.
#[derive(Clone, Debug)]
pub struct SideRole {
    /// Settings of the connection to the platform.
    pub platform: PlatformSettings,
    /// Files for TLS between the system's processes.
    pub tls: TlsSettings,
    /// Address at which entries are served.
    pub listen: SocketAddr,
    /// Address at which liveness and readiness are served.
    pub health_listen: SocketAddr,
    /// URL of the backend server.
    pub backend_url: CompactString,
    /// Limits of the side process's decisions; `incarnation` is set when the process starts.
    pub decision_settings: SideSettings,
    /// Interval between queries of the backend server's state.
    pub probe_interval: Duration,
    /// Time without an answer after which the backend server counts as failed.
    pub silence_limit: Duration,
}

#[derive(Clone, Copy, Debug)]
enum RoleName {
    Entry,
    Side,
    Gateway,
}

/// Reads and validates a settings file.
///
/// # Errors
/// [`SettingsErrors`] with every error in the file.
pub fn load(path: &Path) -> Result<DaemonSettings, SettingsErrors> {
    let mut ini = IniFile::load(path)?;
    let settings = read_daemon(&mut ini, path);
    ini.finish()?;
    // All settings are present if no error was recorded.
    settings.ok_or(SettingsErrors { errors: Vec::new() })
}

fn read_daemon(ini: &mut IniFile, path: &Path) -> Option<DaemonSettings> {
    let vm = ini.required("process", "vm", NAME_ALLOWED, parse_name);
    let data_centre = ini.required("process", "data_centre", NAME_ALLOWED, parse_name);
    let traffic_threads = ini.count("process", "traffic_threads", 256, 2) as usize;
    let role = ini.required("process", "role", "entry, side or gateway", |text| match text {
        "entry" => Some(RoleName::Entry),
        "side" => Some(RoleName::Side),
        "gateway" => Some(RoleName::Gateway),
        _ => None,
    });
    let telemetry = read_telemetry(ini);
    let role = match role {
        Some(RoleName::Entry) => {
            read_entry(ini, data_centre.clone().map(DataCentre)).map(RoleSettings::Entry)
        }
        Some(RoleName::Side) => read_side(ini).map(RoleSettings::Side),
        Some(RoleName::Gateway) => {
            gateway::read_gateway(ini, vm.clone(), data_centre.clone()).map(RoleSettings::Gateway)
        }
        None => {
            let sections =
                ["platform", "tls", "operators", "data_centres", "entry", "side", "gateway"];
            sections.into_iter().for_each(|section| ini.skip_section(section));
            None
        }
    };
    Some(DaemonSettings {
        path: path.to_owned(),
        vm: VmId(vm?),
        data_centre: DataCentre(data_centre?),
        traffic_threads,
        telemetry,
        role: role?,
    })
}

fn read_platform(ini: &mut IniFile) -> Option<PlatformSettings> {
    let section = "platform";
    let url = ini.required(section, "url", URL_ALLOWED, parse_url);
    let timeout = ini.duration(section, "timeout", Duration::from_secs(2));
    let configuration_interval =
        ini.duration(section, "configuration_interval", Duration::from_secs(1));
    let vm_list_interval = ini.duration(section, "vm_list_interval", Duration::from_secs(1));
    Some(PlatformSettings { url: url?, timeout, configuration_interval, vm_list_interval })
}

fn read_tls(ini: &mut IniFile) -> Option<TlsSettings> {
    let ca = ini.file("tls", "ca");
    let certificate = ini.file("tls", "certificate");
    let key = ini.file("tls", "key");
    Some(TlsSettings { ca: ca?, certificate: certificate?, key: key? })
}

fn read_telemetry(ini: &mut IniFile) -> TelemetrySettings {
    let section = "telemetry";
    let log_allowed = "filters such as info or warn,snipespand=debug";
    let log = ini.optional(section, "log", log_allowed, parse_non_empty);
    let metrics = ini.optional(section, "metrics", ADDRESS_ALLOWED, parse_address);
    let traces = ini.optional(section, "traces", URL_ALLOWED, parse_url);
    let traces_per_mille = ini.count(section, "traces_per_mille", 1000, 1000);
    TelemetrySettings { log: log.unwrap_or("info".into()), metrics, traces, traces_per_mille }
}

fn read_entry(ini: &mut IniFile, data_centre: Option<DataCentre>) -> Option<EntryRole> {
    let platform = read_platform(ini);
    let tls = read_tls(ini);
    let section = "entry";
    let callers_listen = ini.required(section, "callers_listen", ADDRESS_ALLOWED, parse_address);
    let operators_listen =
        ini.required(section, "operators_listen", ADDRESS_ALLOWED, parse_address);
    let sides_bind = ini.required(section, "sides_bind", ADDRESS_ALLOWED, parse_address);
    let routing_allowed = "round_robin, fewest_open or earliest_first_token";
    let routing = ini.optional(section, "routing", routing_allowed, parse_routing);
    let max_requests = ini.count(section, "max_requests", 1_000_000, 20_000) as usize;
    let max_body_bytes = ini.size(section, "max_body_bytes", 2 << 30);
    let max_request_bytes = ini.size(section, "max_request_bytes", 32 << 20);
    let max_backend_servers = ini.count(section, "max_backend_servers", 100_000, 10_000) as usize;
    let max_attempts = ini.count(section, "max_attempts", 100, 8) as u32;
    let placing_limit = ini.duration(section, "placing_limit", Duration::from_secs(5));
    let stop_grace = ini.duration(section, "stop_grace", Duration::from_secs(2));
    let operators = ini.named_values("operators", DIGEST_ALLOWED, is_sha256_hex);
    let regions = read_regions(ini);
    if max_body_bytes < max_request_bytes {
        ini.reject_value(section, "max_body_bytes", "at least max_request_bytes");
    }
    let decision_settings = EntrySettings {
        data_centre: data_centre?,
        regions,
        routing: routing.unwrap_or(RoutingPolicy::EarliestFirstToken),
        max_requests,
        max_body_bytes,
        max_request_bytes,
        max_backend_servers,
        max_attempts,
        placing_limit,
        stop_grace,
        seed: 0,
    };
    Some(EntryRole {
        platform: platform?,
        tls: tls?,
        callers_listen: callers_listen?,
        operators_listen: operators_listen?,
        sides_bind: sides_bind?,
        decision_settings,
        operators,
    })
}

/// Reads the section `[data_centres]`, `NAME = REGION` for each data centre.
fn read_regions(ini: &mut IniFile) -> Vec<(DataCentre, CompactString)> {
    let is_name = |text: &str| parse_name(text).is_some();
    let regions = ini.named_values("data_centres", NAME_ALLOWED, is_name);
    let names: BTreeSet<_> = regions.iter().map(|(_, region)| region).collect();
    if names.len() > MAX_REGIONS {
        ini.reject_value("data_centres", "NAME", "one of at most 64 different regions");
    }
    regions.into_iter().map(|(name, region)| (DataCentre(name), region)).collect()
}

fn read_side(ini: &mut IniFile) -> Option<SideRole> {
    let platform = read_platform(ini);
    let tls = read_tls(ini);
    let section = "side";
    let listen = ini.required(section, "listen", ADDRESS_ALLOWED, parse_address);
    let health_listen = ini.required(section, "health_listen", ADDRESS_ALLOWED, parse_address);
    let backend_url = ini.required(section, "backend_url", URL_ALLOWED, parse_url);
    let kind = ini.required(section, "kind", "model_engine or plain_service", parse_kind);
    let serves_allowed = "names of models, separated by commas, or the name of one plain service; \
        each name is 1 to 64 characters of a-z, A-Z, 0-9, '-', '_', '.'";
    let serves = ini.required(section, "serves", serves_allowed, parse_names);
    let max_streams = ini.count(section, "max_streams", 1_000_000, 8192) as usize;
    let max_queued = ini.count(section, "max_queued", 1_000_000, 1024) as usize;
    let max_running = ini.count(section, "max_running", 100_000, 256) as usize;
    let ageing_limit = ini.duration(section, "ageing_limit", Duration::from_secs(10));
    let report_lag = ini.duration(section, "report_lag", Duration::from_secs(1));
    let probe_interval = ini.duration(section, "probe_interval", Duration::from_millis(250));
    let silence_limit = ini.duration(section, "silence_limit", Duration::from_secs(3));
    let kind = kind?;
    let target = |name: CompactString| match kind {
        BackendKind::ModelEngine => Target::Model(name),
        BackendKind::PlainService => Target::Service(name),
    };
    let decision_settings = SideSettings {
        incarnation: Incarnation(0),
        kind,
        targets: serves?.into_iter().map(target).collect(),
        max_streams,
        max_queued,
        max_running,
        report_lag,
        ageing_limit,
    };
    Some(SideRole {
        platform: platform?,
        tls: tls?,
        listen: listen?,
        health_listen: health_listen?,
        backend_url: backend_url?,
        decision_settings,
        probe_interval,
        silence_limit,
    })
}

fn parse_name(text: &str) -> Option<CompactString> {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    let is_name = !text.is_empty() && text.len() <= 64 && text.chars().all(is_plain);
    is_name.then(|| text.into())
}

fn parse_names(text: &str) -> Option<Vec<CompactString>> {
    text.split(',').map(|part| parse_name(part.trim())).collect()
}

fn parse_non_empty(text: &str) -> Option<CompactString> {
    (!text.is_empty()).then(|| text.into())
}

fn parse_address(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

fn parse_url(text: &str) -> Option<CompactString> {
    let host = text.strip_prefix("http://")?;
    let is_url = !host.is_empty() && !host.ends_with('/') && !host.contains(char::is_whitespace);
    is_url.then(|| text.into())
}

fn parse_routing(text: &str) -> Option<RoutingPolicy> {
    match text {
        "round_robin" => Some(RoutingPolicy::RoundRobin),
        "fewest_open" => Some(RoutingPolicy::FewestOpen),
        "earliest_first_token" => Some(RoutingPolicy::EarliestFirstToken),
        _ => None,
    }
}

fn parse_kind(text: &str) -> Option<BackendKind> {
    match text {
        "model_engine" => Some(BackendKind::ModelEngine),
        "plain_service" => Some(BackendKind::PlainService),
        _ => None,
    }
}

fn is_sha256_hex(text: &str) -> bool {
    text.len() == 64 && text.chars().all(|c| c.is_ascii_hexdigit())
}

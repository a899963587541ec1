//! Settings of the gateway role.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use snipespan_core::gateway::settings::GatewaySettings;

use crate::ini_file::IniFile;
use crate::units::parse_memory;

const ADDRESS_ALLOWED: &str = "an IP address and a port (such as 10.0.0.7:8443; port 0 lets the \
    system choose)";
const SEEDS_ALLOWED: &str = "IP addresses with or without ports, separated by commas";
const REGION_ALLOWED: &str = "the name of a region, or nothing if it is not known";
const MEMORY_ALLOWED: &str = "a whole number of bytes above 0, or with a unit: B, KB, MB, GB, KiB, \
    MiB, GiB (such as 260MB)";
const NON_NEGATIVE_ALLOWED: &str = "a number of at least 0";

/// Settings of the gateway role.
#[derive(Clone, Debug)]
pub struct GatewayRole {
    /// Address at which clients are served.
    pub clients_listen: SocketAddr,
    /// Address at which readiness is served.
    pub ready_listen: SocketAddr,
    /// Address at which peers and readers of metrics are served.
    pub peers_listen: SocketAddr,
    /// Address at which peers reach this gateway, if different from `peers_listen`.
    pub peers_address: Option<SocketAddr>,
    /// Addresses at which peers may be reached before the store lists the gateways. The port is
    /// that of `peers_listen`; if that is 0, it is the port in the setting, or 0 if there is none.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Maximum wait of one call to the store's feed.
    pub feed_wait: Duration,
    /// Limits of the gateway's decisions; `seed` is set when the process starts.
    pub decision_settings: GatewaySettings,
}

/// Default maximum wait of a call to the store's feed.
///
/// The loss of a call, to a store that fell silent or on a connection that did, is noticed only
/// after its wait and the 750 ms for an answer. The shortest time after which a deployment counts a
/// gateway as connected to the store again is three seconds; by then it must have the changes.
const DEFAULT_FEED_WAIT: Duration = Duration::from_millis(2050);

pub(crate) fn read_gateway(
    ini: &mut IniFile,
    vm: Option<CompactString>,
    data_centre: Option<CompactString>,
) -> Option<GatewayRole> {
    let section = "gateway";
    let clients_listen = ini.required(section, "clients_listen", ADDRESS_ALLOWED, parse_address);
    let ready_listen = ini.required(section, "ready_listen", ADDRESS_ALLOWED, parse_address);
    let peers_listen = ini.required(section, "peers_listen", ADDRESS_ALLOWED, parse_address);
    let peers_address = ini.optional(section, "peers_address", ADDRESS_ALLOWED, parse_address);
    let peers_port = peers_listen.map_or(0, |address| address.port());
    let seeds = ini.optional(section, "seeds", SEEDS_ALLOWED, |text| parse_seeds(text, peers_port));
    let store = ini.required(section, "store", ADDRESS_ALLOWED, parse_address);
    let feed_wait = ini.duration(section, "feed_wait", DEFAULT_FEED_WAIT);
    let max_requests = ini.count(section, "max_requests", 1_000_000, 3000) as usize;
    // The deployment sets the values from here to `max_hold`, so each that it may state is allowed:
    // a gateway that refused one could not start again.
    let retry_ratio =
        ini.optional(section, "retry_ratio", NON_NEGATIVE_ALLOWED, parse_non_negative);
    let retry_slack =
        ini.optional(section, "retry_slack", NON_NEGATIVE_ALLOWED, parse_non_negative);
    let retry_window = ini.duration_or_zero(section, "retry_window", Duration::from_secs(10));
    let cold_excess =
        ini.optional(section, "cold_excess", NON_NEGATIVE_ALLOWED, parse_non_negative);
    let cold_slack = ini.optional(section, "cold_slack", NON_NEGATIVE_ALLOWED, parse_non_negative);
    let stop_limit = ini.duration_or_zero(section, "stop_limit", Duration::from_secs(8));
    let max_reservation_ttl = ini.duration_or_zero(section, "max_hold", Duration::from_secs(20));
    // The deployment sets these as well.
    let mut regions = ini.named_values("data_centres", REGION_ALLOWED, |_| true);
    regions.retain(|(_, region)| !region.is_empty());
    let remote_mb_cost =
        ini.optional(section, "remote_mb_cost", NON_NEGATIVE_ALLOWED, parse_non_negative);
    let memory_limit = ini.optional(section, "memory_limit", MEMORY_ALLOWED, parse_memory);
    let decision_settings = GatewaySettings {
        node: vm?,
        data_centre: data_centre?,
        regions,
        max_requests,
        retry_ratio: retry_ratio.unwrap_or(0.1),
        retry_slack: retry_slack.unwrap_or(10.0),
        retry_window,
        cold_excess,
        cold_slack,
        stop_limit,
        max_reservation_ttl,
        memory_limit,
        remote_mb_cost,
        seed: 0,
    };
    Some(GatewayRole {
        clients_listen: clients_listen?,
        ready_listen: ready_listen?,
        peers_listen: peers_listen?,
        peers_address,
        seeds: seeds.unwrap_or_default(),
        store: store?,
        feed_wait,
        decision_settings,
    })
}

fn parse_address(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

/// Parses the addresses of seeds. A port in the text belongs to another listener of the VM, so
/// `peers_port` replaces it unless `peers_port` is 0.
fn parse_seeds(text: &str, peers_port: u16) -> Option<Vec<SocketAddr>> {
    let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
    parts.map(|part| parse_seed(part, peers_port)).collect()
}

fn parse_seed(text: &str, peers_port: u16) -> Option<SocketAddr> {
    if let Ok(ip) = text.parse::<IpAddr>() {
        return Some(SocketAddr::new(ip, peers_port));
    }
    let address: SocketAddr = text.parse().ok()?;
    let port = if peers_port == 0 { address.port() } else { peers_port };
    Some(SocketAddr::new(address.ip(), port))
}

fn parse_non_negative(text: &str) -> Option<f64> {
    text.parse().ok().filter(|value: &f64| value.is_finite() && *value >= 0.0)
}

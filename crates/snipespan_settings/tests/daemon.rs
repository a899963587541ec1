//! Tests of the daemon's settings.
#![allow(clippy::expect_used, reason = "a test panics on an unexpected result")]

use std::fs;
use std::time::Duration;

use rstest::rstest;
use snipespan_settings::daemon;
use snipespan_settings::daemon::RoleSettings;
use snipespan_settings::error::SettingsErrors;
use snipespan_settings::units::parse_duration;
use snipespan_settings::units::parse_size;

const ENTRY: &str = "[process]
role = entry
vm = vm-1
data_centre = graz-1
[tls]
ca = ca.pem
certificate = ca.pem
key = ca.pem
[platform]
url = http://127.0.0.1:9000
[operators]
anna = 0000000000000000000000000000000000000000000000000000000000000000
[entry]
callers_listen = 127.0.0.1:0
operators_listen = 127.0.0.1:0
sides_bind = 127.0.0.1:0
";

/// Loads a settings file with a certificate file in the same folder.
fn load(text: &str) -> Result<daemon::DaemonSettings, SettingsErrors> {
    let folder = tempfile::tempdir().expect("a folder");
    fs::write(folder.path().join("ca.pem"), "").expect("the file is written");
    let path = folder.path().join("daemon.ini");
    fs::write(&path, text).expect("the file is written");
    daemon::load(&path)
}

/// Guards against a valid file that is rejected, and against other defaults for absent keys.
#[test]
fn load_entry() {
    let settings = load(ENTRY).expect("no errors");
    let RoleSettings::Entry(entry) = settings.role else { unreachable!("an entry") };
    assert_eq!(entry.decision_settings.max_request_bytes, 32 << 20);
    assert_eq!(entry.operators.len(), 1);
    assert_eq!(entry.platform.timeout, Duration::from_secs(2));
}

/// Guards against a file with an error that loads, and against an error message that does not name
/// the file, the key or section, the value or what is allowed.
#[rstest]
#[case::unknown_key("[platform]", "[platform]\ncolour = red", &["[platform] colour", "unknown key"])]
#[case::unknown_section("[platform]", "[colours]\na = 1\n[platform]", &["[colours]", "unknown section"])]
#[case::wrong_unit("[platform]", "[platform]\ntimeout = 2", &["[platform] timeout", "\"2\"", "250ms"])]
#[case::wrong_size("[entry]", "[entry]\nmax_body_bytes = 2GB", &["max_body_bytes", "2GB", "GiB"])]
#[case::size_too_small("[entry]", "[entry]\nmax_body_bytes = 1MiB", &["max_body_bytes", "at least max_request_bytes"])]
#[case::missing_certificate("certificate = ca.pem", "certificate = no.pem", &["[tls] certificate", "no.pem", "file that exists"])]
#[case::missing_key("vm = vm-1\n", "", &["[process] vm", "missing"])]
#[case::wrong_role("role = entry", "role = leader", &["[process] role", "leader", "entry, side or gateway"])]
#[case::wrong_address("callers_listen = 127.0.0.1:0", "callers_listen = here", &["callers_listen", "here", "IP address"])]
#[case::wrong_digest("anna = 0000", "anna = x", &["[operators] anna", "64 hexadecimal digits"])]
#[case::wrong_policy("[entry]", "[entry]\nrouting = random", &["routing", "random", "round_robin"])]
fn load_error(#[case] from: &str, #[case] to: &str, #[case] parts: &[&str]) {
    let text = ENTRY.replacen(from, to, 1);
    let errors = load(&text).expect_err("an error");
    assert_eq!(errors.errors.len(), 1, "{errors}");
    let message = errors.to_string();
    for part in parts.iter().chain(&["daemon.ini"]) {
        assert!(message.contains(part), "{part:?} is not in {message:?}");
    }
}

/// Guards against a load that stops at the first error.
#[test]
fn load_reports_all_errors() {
    let text = ENTRY.replacen("role = entry", "role = leader", 1).replacen("vm = vm-1", "vm = ", 1);
    let errors = load(&text).expect_err("errors");
    assert!(errors.errors.len() >= 2, "{errors}");
}

/// Guards against an error message that does not name the missing file.
#[test]
fn load_missing_file() {
    let errors = daemon::load(std::path::Path::new("/nowhere/daemon.ini")).expect_err("no file");
    assert!(errors.to_string().contains("/nowhere/daemon.ini"));
}

/// Guards against a duration in the wrong unit, against a fraction that is refused or rounded to
/// whole units, and against one that is accepted without a number or without a unit.
#[rstest]
#[case("250ms", Some(Duration::from_millis(250)))]
#[case("2 s", Some(Duration::from_secs(2)))]
#[case("3m", Some(Duration::from_secs(180)))]
#[case("1.5s", Some(Duration::from_millis(1500)))]
#[case("8.0s", Some(Duration::from_secs(8)))]
#[case("0.25 ms", Some(Duration::from_micros(250)))]
#[case("0.5us", Some(Duration::from_nanos(500)))]
#[case("1.5m", Some(Duration::from_secs(90)))]
#[case("0.5h", Some(Duration::from_secs(1800)))]
#[case("2e4ms", Some(Duration::from_secs(20)))]
#[case("18446744073709551615s", Some(Duration::from_secs(u64::MAX)))]
#[case("0s", Some(Duration::ZERO))]
#[case("-1s", None)]
#[case("-0.5s", None)]
#[case("infs", None)]
#[case("NaNs", None)]
#[case("1e30s", None)]
#[case("1.5", None)]
#[case("1.5d", None)]
#[case("1,5s", None)]
#[case("1.5.1s", None)]
#[case("s", None)]
#[case("10", None)]
fn parse_duration_cases(#[case] text: &str, #[case] expected: Option<Duration>) {
    assert_eq!(parse_duration(text), expected);
}

/// Guards against a size in the wrong unit, and against one that is accepted with an unknown unit
/// or with more than 64 bits.
#[rstest]
#[case("16MiB", Some(16 << 20))]
#[case("1B", Some(1))]
#[case("1MB", None)]
#[case("99999999999GiB", None)]
fn parse_size_cases(#[case] text: &str, #[case] expected: Option<u64>) {
    assert_eq!(parse_size(text), expected);
}

const GATEWAY: &str = "[process]
role = gateway
vm = vm-1
data_centre = graz-1
traffic_threads = 1
[gateway]
clients_listen = 127.0.0.1:0
ready_listen = 127.0.0.1:0
peers_listen = 10.0.0.1:7340
seeds = 10.0.0.1:8229,10.0.0.2:8229
store = 127.0.0.1:9000
retry_ratio = 0.2
";

/// Guards against seeds that keep their own port: peers use the port of `peers_listen`.
#[test]
fn load_gateway() {
    let settings = load(GATEWAY).expect("no errors");
    let RoleSettings::Gateway(gateway) = settings.role else { unreachable!("a gateway") };
    let seeds: Vec<_> = gateway.seeds.iter().map(ToString::to_string).collect();
    assert_eq!(seeds, ["10.0.0.1:7340", "10.0.0.2:7340"]);
    assert!((gateway.decision_settings.retry_ratio - 0.2).abs() < f64::EPSILON);
    assert_eq!(gateway.decision_settings.stop_limit, Duration::from_secs(8));
}

/// Guards against a cost of traffic that is applied though no file states it, or not as stated.
#[rstest]
#[case::absent("", None)]
#[case::fraction("remote_mb_cost = 1.7", Some(1.7))]
#[case::zero("remote_mb_cost = 0", Some(0.0))]
fn load_gateway_remote_cost(#[case] line: &str, #[case] cost: Option<f64>) {
    let settings = load(&format!("{GATEWAY}{line}\n")).expect("no errors");
    let RoleSettings::Gateway(gateway) = settings.role else { unreachable!("a gateway") };
    assert_eq!(gateway.decision_settings.remote_mb_cost, cost);
}

/// Guards against a gateway file that loads with a missing or unknown key or an invalid value, and
/// against an error message that does not name the section and the key.
#[rstest]
#[case::no_store("store = 127.0.0.1:9000", "", "[gateway] store: missing")]
#[case::ratio("retry_ratio = 0.2", "retry_ratio = -0.2", "[gateway] retry_ratio")]
#[case::ratio_not_finite("retry_ratio = 0.2", "retry_ratio = inf", "[gateway] retry_ratio")]
#[case::slack("retry_ratio = 0.2", "retry_slack = -1", "[gateway] retry_slack")]
#[case::cold_excess("retry_ratio = 0.2", "cold_excess = -1", "[gateway] cold_excess")]
#[case::cold_slack("retry_ratio = 0.2", "cold_slack = many", "[gateway] cold_slack")]
#[case::remote_cost("retry_ratio = 0.2", "remote_mb_cost = -1", "[gateway] remote_mb_cost")]
#[case::remote_cost_not_finite(
    "retry_ratio = 0.2",
    "remote_mb_cost = nan",
    "[gateway] remote_mb_cost"
)]
#[case::feed_wait("retry_ratio = 0.2", "feed_wait = 0s", "[gateway] feed_wait")]
#[case::stop_limit("retry_ratio = 0.2", "stop_limit = -1s", "[gateway] stop_limit")]
#[case::seed("seeds = 10.0.0.1:8229,", "seeds = nowhere,", "[gateway] seeds")]
#[case::memory_zero("retry_ratio = 0.2", "memory_limit = 0MB", "[gateway] memory_limit")]
#[case::memory_negative("retry_ratio = 0.2", "memory_limit = -1", "[gateway] memory_limit")]
#[case::memory_huge("retry_ratio = 0.2", "memory_limit = 1e30MB", "[gateway] memory_limit")]
#[case::memory_unit("retry_ratio = 0.2", "memory_limit = 260mb", "[gateway] memory_limit")]
#[case::memory_no_number("retry_ratio = 0.2", "memory_limit = NaN", "[gateway] memory_limit")]
#[case::unknown_key("retry_ratio", "retry_rate", "[gateway] retry_rate: unknown key")]
fn load_gateway_error(#[case] from: &str, #[case] to: &str, #[case] message: &str) {
    let errors = load(&GATEWAY.replace(from, to)).expect_err("an error");
    assert!(errors.to_string().contains(message), "{errors}");
}

/// Guards against data centres that lose their regions, and against more regions than there is room
/// for, whose data centres would be in no home region.
#[test]
fn load_entry_regions() {
    let text = format!("{ENTRY}[data_centres]\ngraz-1 = north\ngraz-2 = north\n");
    let RoleSettings::Entry(entry) = load(&text).expect("no errors").role else {
        unreachable!("an entry")
    };
    assert_eq!(entry.decision_settings.regions.len(), 2);
    let many: String = (0..65).map(|index| format!("dc-{index} = region-{index}\n")).collect();
    let errors = load(&format!("{ENTRY}[data_centres]\n{many}")).expect_err("too many regions");
    assert!(errors.to_string().contains("at most 64 different regions"), "{errors}");
    let errors = load(&format!("{ENTRY}[data_centres]\ngraz-1 =\n")).expect_err("no region");
    assert!(errors.to_string().contains("graz-1"), "{errors}");
}

/// Guards against a gateway that cannot start as the deployment states no bound, and the renderer of
/// the template leaves its fields in place.
#[test]
fn load_gateway_unfilled_fields() {
    let text = format!(
        "{GATEWAY}cold_excess = {{{{bounds.cold_excess}}}}\ncold_slack = {{{{bounds.cold_slack}}}}\n\
         [data_centres]\n{{{{@}}}} = {{{{.}}}}\n"
    );
    let settings = load(&text).expect("no errors");
    let RoleSettings::Gateway(gateway) = settings.role else { unreachable!("a gateway") };
    assert_eq!(gateway.decision_settings.cold_excess, None);
    assert!(gateway.decision_settings.regions.is_empty());
}

/// Guards against a gateway whose memory budget is that of another unit, and against one that cannot
/// start as the deployment states no limit and the template's renderer left the field in place.
#[rstest]
#[case::bytes("260000000", Some(260_000_000))]
#[case::decimal("260MB", Some(260_000_000))]
#[case::binary("256MiB", Some(256 << 20))]
#[case::fraction("0.5GB", Some(500_000_000))]
#[case::unfilled("{{limits.memory_mb}}MB", None)]
fn load_gateway_memory_limit(#[case] text: &str, #[case] expected: Option<u64>) {
    let settings = load(&format!("{GATEWAY}memory_limit = {text}\n")).expect("no errors");
    let RoleSettings::Gateway(gateway) = settings.role else { unreachable!("a gateway") };
    assert_eq!(gateway.decision_settings.memory_limit, expected);
}

//! Plan of the load to send, read from an INI file.

use std::path::Path;
use std::time::Duration;

use compact_str::CompactString;
use snipespan_settings::error::SettingsErrors;
use snipespan_settings::ini_file::IniFile;

/// Load to send in one run.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// URLs of the entries, which receive the requests in turn.
    pub entries: Vec<String>,
    /// Seed of all random choices.
    pub seed: u64,
    /// Time during which requests arrive.
    pub duration: Duration,
    /// Mean number of requests that arrive per second outside the peak.
    pub rate_per_s: f64,
    /// Load peak of the run; `None` for a constant rate.
    pub peak: Option<Peak>,
    /// Names of the models, of which each request has a random one.
    pub models: Vec<CompactString>,
    /// Share of the requests that are long, from 0 to 1.
    pub long_share: f64,
    /// Minimum and maximum prompt length of short requests, in tokens.
    pub short_tokens: (u64, u64),
    /// Minimum and maximum prompt length of long requests, in tokens.
    pub long_tokens: (u64, u64),
    /// Share of the requests whose prompt begins with a shared prefix, from 0 to 1.
    pub shared_prefix_share: f64,
    /// Maximum number of tokens in each answer.
    pub answer_tokens: u64,
    /// Time limit of each request.
    pub time_limit: Duration,
    /// API keys of the client accounts with their weights, by which each request picks one.
    pub accounts: Vec<(String, f64)>,
}

/// Load peak: a time with a higher arrival rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Peak {
    /// Start of the peak, from the start of the run.
    pub start: Duration,
    /// Duration of the peak.
    pub duration: Duration,
    /// Factor on the arrival rate during the peak.
    pub rate_factor: f64,
}

const RANGE_ALLOWED: &str = "two whole numbers above 0 separated by a dash, the lower one first";
const SHARE_ALLOWED: &str = "a number from 0 to 1";
const POSITIVE_ALLOWED: &str = "a number above 0";

/// Reads and validates the plan in the INI file at `path`.
///
/// # Errors
/// [`SettingsErrors`] with every error in the file.
pub fn load(path: &Path) -> Result<LoadPlan, SettingsErrors> {
    let mut ini = IniFile::load(path)?;
    let plan = read_plan(&mut ini);
    ini.finish()?;
    // Without errors, every required value is present and `plan` is not `None`.
    plan.ok_or(SettingsErrors { errors: Vec::new() })
}

fn read_plan(ini: &mut IniFile) -> Option<LoadPlan> {
    let entries = ini.required("load", "entries", "URLs separated by commas", parse_list);
    let models = ini.required("load", "models", "names separated by commas", parse_list);
    let rate_per_s = ini.required("load", "rate_per_s", POSITIVE_ALLOWED, parse_positive);
    let seed = ini.optional("load", "seed", "a whole number", |text| text.parse().ok());
    let duration = ini.duration("load", "duration", Duration::from_secs(30));
    let time_limit = ini.duration("load", "time_limit", Duration::from_secs(60));
    let answer_tokens = ini.count("load", "answer_tokens", 1_000_000, 50);
    let long_share = ini.optional("prompts", "long_share", SHARE_ALLOWED, parse_share);
    let short_tokens = ini.optional("prompts", "short_tokens", RANGE_ALLOWED, parse_range);
    let long_tokens = ini.optional("prompts", "long_tokens", RANGE_ALLOWED, parse_range);
    let shared = ini.optional("prompts", "shared_prefix_share", SHARE_ALLOWED, parse_share);
    let peak = read_peak(ini);
    let is_positive = |text: &str| parse_positive(text).is_some();
    let accounts = ini.named_values("accounts", POSITIVE_ALLOWED, is_positive);
    let accounts = accounts.into_iter().filter_map(|(key, weight)| {
        parse_positive(&weight).map(|weight| (key.into_string(), weight))
    });
    let accounts: Vec<_> = accounts.collect();
    if accounts.is_empty() {
        ini.reject_value("accounts", "KEY", "API keys with their weights, at least one");
    }
    Some(LoadPlan {
        entries: entries?,
        seed: seed.unwrap_or(1),
        duration,
        rate_per_s: rate_per_s?,
        peak,
        models: models?.into_iter().map(CompactString::from).collect(),
        long_share: long_share.unwrap_or(0.02),
        short_tokens: short_tokens.unwrap_or((1_000, 10_000)),
        long_tokens: long_tokens.unwrap_or((100_001, 1_000_000)),
        shared_prefix_share: shared.unwrap_or(0.5),
        answer_tokens,
        time_limit,
        accounts,
    })
}

/// Reads the section `[crest]`; there is a peak only if the section has a factor.
fn read_peak(ini: &mut IniFile) -> Option<Peak> {
    let rate_factor = ini.optional("crest", "factor", POSITIVE_ALLOWED, parse_positive);
    let start = ini.duration("crest", "at", Duration::from_secs(10));
    let duration = ini.duration("crest", "length", Duration::from_secs(5));
    rate_factor.map(|rate_factor| Peak { start, duration, rate_factor })
}

fn parse_list(text: &str) -> Option<Vec<String>> {
    let parts: Vec<String> = text.split(',').map(|part| part.trim().to_owned()).collect();
    parts.iter().all(|part| !part.is_empty()).then_some(parts)
}

fn parse_positive(text: &str) -> Option<f64> {
    text.parse().ok().filter(|value: &f64| value.is_finite() && *value > 0.0)
}

fn parse_share(text: &str) -> Option<f64> {
    text.parse().ok().filter(|value| (0.0..=1.0).contains(value))
}

fn parse_range(text: &str) -> Option<(u64, u64)> {
    let (least, most) = text.split_once('-')?;
    let range = (least.trim().parse().ok()?, most.trim().parse().ok()?);
    (range.0 > 0 && range.0 <= range.1).then_some(range)
}

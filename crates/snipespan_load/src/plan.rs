//! What load to send, read from an INI file.

use std::path::Path;
use std::time::Duration;

use compact_str::CompactString;
use snipespan_settings::error::SettingsErrors;
use snipespan_settings::ini_file::IniFile;

/// A load.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// URLs of the entries; requests go to them in turn.
    pub entries: Vec<String>,
    /// Seed of all random choices.
    pub seed: u64,
    /// How long requests arrive.
    pub duration: Duration,
    /// Requests that arrive in a second, in the mean.
    pub rate_per_s: f64,
    /// A peak of the demand, if there is one.
    pub peak: Option<Peak>,
    /// The models, chosen evenly.
    pub models: Vec<CompactString>,
    /// Share of the requests that are long, 0 to 1.
    pub long_share: f64,
    /// Prompt lengths of short requests in tokens: least and most.
    pub short_tokens: (u64, u64),
    /// Prompt lengths of long requests in tokens: least and most.
    pub long_tokens: (u64, u64),
    /// Share of the requests whose prompt begins like others', 0 to 1.
    pub shared_prefix_share: f64,
    /// Tokens of each answer.
    pub answer_tokens: u64,
    /// Time limit of each request.
    pub time_limit: Duration,
    /// API keys of the client accounts with their share of the requests.
    pub accounts: Vec<(String, f64)>,
}

/// A time of higher demand.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Peak {
    /// When it begins.
    pub start: Duration,
    /// How long it lasts.
    pub duration: Duration,
    /// How many times the usual rate.
    pub rate_factor: f64,
}

const RANGE_ALLOWED: &str = "two whole numbers with a dash between, the lower one first";
const SHARE_ALLOWED: &str = "a number from 0 to 1";
const RATE_ALLOWED: &str = "a number above 0";

/// Reads and checks a plan.
///
/// # Errors
/// [`SettingsErrors`] with every mistake in the file.
pub fn load(path: &Path) -> Result<LoadPlan, SettingsErrors> {
    let mut ini = IniFile::load(path)?;
    let plan = read_plan(&mut ini);
    ini.finish()?;
    // A reader that found no mistake has read everything.
    plan.ok_or(SettingsErrors { errors: Vec::new() })
}

fn read_plan(ini: &mut IniFile) -> Option<LoadPlan> {
    let entries = ini.required("load", "entries", "URLs with commas between", parse_list);
    let models = ini.required("load", "models", "names with commas between", parse_list);
    let rate_per_s = ini.required("load", "rate_per_s", RATE_ALLOWED, parse_positive);
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
    let accounts = ini.named_values("accounts", RATE_ALLOWED, is_positive);
    let accounts = accounts
        .into_iter()
        .filter_map(|(key, share)| parse_positive(&share).map(|share| (key.into_string(), share)));
    let accounts: Vec<_> = accounts.collect();
    if accounts.is_empty() {
        ini.reject_value(
            "accounts",
            "KEY",
            "an API key and its share of the requests, at least one",
        );
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

fn read_peak(ini: &mut IniFile) -> Option<Peak> {
    let rate_factor = ini.optional("crest", "factor", RATE_ALLOWED, parse_positive);
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

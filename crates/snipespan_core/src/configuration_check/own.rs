//! The project's own configuration, as the checks and the comparison read it.

use std::time::Duration;

use compact_str::CompactString;
use compact_str::ToCompactString;

use crate::configuration::Configuration;
use crate::configuration_check::difference::Description;
use crate::configuration_check::finding::Finding;
use crate::configuration_check::finding::FindingKind;
use crate::configuration_check::finding::Item;
use crate::configuration_check::finding::ItemKind;
use crate::configuration_check::subject::AccountView;
use crate::configuration_check::subject::Subject;
use crate::configuration_check::subject::TargetView;

/// Fills in the view of a configuration; data centres and backend servers are not part of it.
pub fn subject(configuration: &Configuration) -> Subject<'_> {
    let models = configuration.models.iter().map(|(name, spec)| TargetView {
        homes: Some(&spec.home_regions),
        ..target(Item::new(ItemKind::Model, name), spec.time_limit_ms, &[])
    });
    let services = configuration.services.iter().map(|(name, spec)| {
        let item = Item::new(ItemKind::Service, name);
        target(item, spec.time_limit_ms, &spec.repeatable_prefixes)
    });
    let accounts = configuration.accounts.iter().map(|(name, spec)| AccountView {
        item: Item::new(ItemKind::Account, name),
        keys: Some(&spec.credentials),
        homes: &spec.home_regions,
    });
    Subject {
        findings: value_findings(configuration),
        targets: models.chain(services).collect(),
        accounts: accounts.collect(),
        evacuated: configuration.evacuated.iter().map(|name| name.0.clone()).collect(),
        ..Subject::default()
    }
}

fn target(item: Item, time_limit_ms: u64, prefixes: &[CompactString]) -> TargetView<'_> {
    TargetView {
        item,
        matches: None,
        shares: None,
        is_served_directly: true,
        needs_account: true,
        max_attempts: None,
        time_limit: Duration::from_millis(time_limit_ms),
        goals: Vec::new(),
        repeatable_prefixes: prefixes,
        homes: None,
    }
}

/// Returns the values that a change would not be allowed to set.
fn value_findings(configuration: &Configuration) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut add = |kind, name: &str, result: Result<(), _>| {
        if let Err(e) = result {
            let kind_of_finding = FindingKind::NotAllowed(format!("{e}").into());
            findings.push(Finding { item: Item::new(kind, name), kind: kind_of_finding });
        }
    };
    for (name, spec) in &configuration.accounts {
        add(ItemKind::Account, name, spec.check_values(name));
    }
    for (name, spec) in &configuration.models {
        add(ItemKind::Model, name, spec.check_values(name));
    }
    for (name, spec) in &configuration.services {
        add(ItemKind::Service, name, spec.check_values(name));
    }
    findings
}

/// Describes the items of a configuration with their fields, for a comparison.
pub fn describe(configuration: &Configuration) -> Vec<Description> {
    let accounts = configuration.accounts.iter().map(|(name, spec)| {
        let mut keys: Vec<_> = spec.credentials.iter().map(|c| hex_prefix(&c.0)).collect();
        keys.sort();
        let fields = vec![
            ("api_keys", keys.join(" ").into()),
            ("priority", spec.priority.to_compact_string()),
            ("weight", spec.weight.to_compact_string()),
            ("max_open", spec.max_open.to_compact_string()),
            ("disabled", spec.disabled.to_compact_string()),
            ("home_regions", spec.home_regions.join(" ").into()),
        ];
        Description { item: Item::new(ItemKind::Account, name), fields }
    });
    let models = configuration.models.iter().map(|(name, spec)| {
        let fields = vec![
            ("max_prompt_tokens", spec.max_prompt_tokens.to_compact_string()),
            ("max_output_tokens", spec.max_output_tokens.to_compact_string()),
            ("time_limit_ms", spec.time_limit_ms.to_compact_string()),
            ("home_regions", spec.home_regions.join(" ").into()),
        ];
        Description { item: Item::new(ItemKind::Model, name), fields }
    });
    let services = configuration.services.iter().map(|(name, spec)| {
        let fields = vec![
            ("time_limit_ms", spec.time_limit_ms.to_compact_string()),
            ("repeatable_prefixes", spec.repeatable_prefixes.join(" ").into()),
        ];
        Description { item: Item::new(ItemKind::Service, name), fields }
    });
    let evacuated = configuration.evacuated.iter().map(|name| Description {
        item: Item::new(ItemKind::DataCentre, &name.0),
        fields: vec![("evacuated", "true".into())],
    });
    let drained = configuration.drained.iter().map(|vm| Description {
        item: Item::new(ItemKind::Vm, &vm.0),
        fields: vec![("drained", "true".into())],
    });
    accounts.chain(models).chain(services).chain(evacuated).chain(drained).collect()
}

/// Bytes of a key's digest that a comparison shows; enough to tell the keys of one account apart.
const SHOWN_DIGEST_BYTES: usize = 6;

fn hex_prefix(digest: &[u8]) -> String {
    digest.iter().take(SHOWN_DIGEST_BYTES).map(|byte| format!("{byte:02x}")).collect()
}

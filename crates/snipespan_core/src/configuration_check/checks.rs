//! The checks themselves.

use std::collections::BTreeMap;

use compact_str::CompactString;

use crate::configuration_check::finding::Finding;
use crate::configuration_check::finding::FindingKind;
use crate::configuration_check::finding::Item;
use crate::configuration_check::finding::ItemKind;
use crate::configuration_check::subject::AccountView;
use crate::configuration_check::subject::DataCentreView;
use crate::configuration_check::subject::Subject;
use crate::configuration_check::subject::TargetView;

/// Runs all checks and returns the findings in ascending order of their places.
pub fn check(subject: &Subject<'_>) -> Vec<Finding> {
    let mut found = Findings(subject.findings.clone());
    check_names(subject, &mut found);
    check_matches(subject, &mut found);
    for target in &subject.targets {
        check_limits(target, &mut found);
        check_prefixes(target, &mut found);
        check_shares(target, &mut found);
        check_homes(subject, &target.item, target.homes.unwrap_or_default(), &mut found);
    }
    check_served(subject, &mut found);
    check_keys(subject, &mut found);
    for account in &subject.accounts {
        check_homes(subject, &account.item, account.homes, &mut found);
    }
    check_shared_homes(subject, &mut found);
    check_evacuated(subject, &mut found);
    let mut findings = found.0;
    findings.sort();
    findings
}

struct Findings(Vec<Finding>);

impl Findings {
    fn add(&mut self, item: &Item, kind: FindingKind) {
        self.0.push(Finding { item: item.clone(), kind });
    }
}

fn check_names(subject: &Subject<'_>, found: &mut Findings) {
    let targets = subject.targets.iter().map(|target| &target.item);
    let accounts = subject.accounts.iter().map(|account| &account.item);
    let mut items: Vec<_> = targets.chain(&subject.services).chain(accounts).collect();
    items.sort();
    for pair in items.windows(2) {
        if pair[0] == pair[1] {
            found.add(pair[1], FindingKind::NameTwice);
        }
    }
}

/// Finds routes that get no requests, as an earlier one has the same host and prefix. A route whose
/// prefix begins with that of another one does get requests: the longest prefix counts.
fn check_matches(subject: &Subject<'_>, found: &mut Findings) {
    let mut first: BTreeMap<(&str, &str), &Item> = BTreeMap::new();
    for target in &subject.targets {
        let Some((host, prefix)) = target.matches else { continue };
        if !prefix.starts_with('/') {
            let kind = FindingKind::PrefixMatchesNothing { prefix: prefix.into() };
            found.add(&target.item, kind);
        }
        match first.get(&(host, prefix)) {
            Some(by) => {
                found.add(&target.item, FindingKind::Shadowed { by: by.name.clone() });
            }
            None => {
                first.insert((host, prefix), &target.item);
            }
        }
    }
}

fn check_limits(target: &TargetView<'_>, found: &mut Findings) {
    if target.max_attempts == Some(0) {
        found.add(&target.item, FindingKind::NoAttempts);
    }
    for (goal, time) in &target.goals {
        if target.time_limit < *time {
            let limit_ms = target.time_limit.as_millis();
            let kind = FindingKind::LimitUnderGoal { goal, limit_ms, goal_ms: time.as_millis() };
            found.add(&target.item, kind);
        }
    }
}

fn check_prefixes(target: &TargetView<'_>, found: &mut Findings) {
    let prefixes = target.repeatable_prefixes;
    for (index, prefix) in prefixes.iter().enumerate() {
        if !prefix.is_empty() && !prefix.starts_with('/') {
            let prefix = prefix.clone();
            found.add(&target.item, FindingKind::PrefixMatchesNothing { prefix });
            continue;
        }
        let covers = |(other, by): &(usize, &CompactString)| {
            *other != index
                && prefix.starts_with(by.as_str())
                && (by.len() < prefix.len() || *other < index)
        };
        if let Some((_, by)) = prefixes.iter().enumerate().find(covers) {
            let kind = FindingKind::PrefixCovered { prefix: prefix.clone(), by: by.clone() };
            found.add(&target.item, kind);
        }
    }
}

fn check_shares(target: &TargetView<'_>, found: &mut Findings) {
    let Some(shares) = &target.shares else { return };
    if shares.iter().all(|(_, weight)| *weight == 0) {
        found.add(&target.item, FindingKind::NoShares);
    }
}

fn check_served(subject: &Subject<'_>, found: &mut Findings) {
    let shares = subject.targets.iter().filter_map(|target| target.shares.as_ref()).flatten();
    let with_route: Vec<_> =
        shares.filter(|(_, weight)| *weight > 0).map(|(item, _)| item).collect();
    for service in subject.services.iter().filter(|service| !with_route.contains(service)) {
        found.add(service, FindingKind::NoRoute);
    }
    let Some(served) = &subject.served else { return };
    let direct = subject.targets.iter().filter(|target| target.is_served_directly);
    let direct = direct.map(|target| &target.item);
    for item in direct.chain(&subject.services).filter(|item| !served.contains(item)) {
        found.add(item, FindingKind::NoBackendServer);
    }
}

fn check_keys(subject: &Subject<'_>, found: &mut Findings) {
    let mut owners = BTreeMap::new();
    for account in &subject.accounts {
        let Some(keys) = account.keys else { continue };
        if keys.is_empty() {
            found.add(&account.item, FindingKind::NoKey);
        }
        for key in keys {
            let owner = *owners.entry(key).or_insert(&account.item);
            if *owner != account.item {
                found.add(&account.item, FindingKind::KeyTwice { other: owner.name.clone() });
            }
        }
    }
}

/// Compares the home regions of an item with the regions of the data centres.
fn check_homes(subject: &Subject<'_>, item: &Item, homes: &[CompactString], found: &mut Findings) {
    let Some(data_centres) = subject.data_centres.as_deref().filter(|_| !homes.is_empty()) else {
        return;
    };
    let in_homes = |row: &&DataCentreView| row.region.as_ref().is_some_and(|r| homes.contains(r));
    let mut at_home = data_centres.iter().filter(in_homes).peekable();
    if at_home.peek().is_none() {
        found.add(item, FindingKind::HomesNowhere { regions: list(homes) });
        return;
    }
    if at_home.all(|row| subject.evacuated.contains(&row.name)) {
        found.add(item, FindingKind::HomesEvacuated { regions: list(homes) });
    }
    for region in homes {
        if !data_centres.iter().any(|row| row.region.as_ref() == Some(region)) {
            found.add(item, FindingKind::HomeUnknown { region: region.clone() });
        }
    }
}

/// Finds accounts whose home regions are in none of any target, and targets whose home regions are
/// in none of any account.
fn check_shared_homes(subject: &Subject<'_>, found: &mut Findings) {
    let targets: Vec<_> = subject.targets.iter().filter_map(|t| Some((t, t.homes?))).collect();
    let accounts = &subject.accounts;
    for AccountView { item, homes, .. } in accounts {
        let Some((first, _)) = targets.first() else { break };
        if !targets.iter().any(|(_, others)| share_region(homes, others)) {
            let with = first.item.kind;
            found.add(item, FindingKind::HomesDisjoint { regions: list(homes), with });
        }
    }
    if accounts.is_empty() {
        return;
    }
    for (target, homes) in targets.iter().filter(|(target, _)| target.needs_account) {
        if !accounts.iter().any(|account| share_region(homes, account.homes)) {
            let with = ItemKind::Account;
            found.add(&target.item, FindingKind::HomesDisjoint { regions: list(homes), with });
        }
    }
}

/// Returns whether two lists of home regions have one in common; an empty list has all.
fn share_region(a: &[CompactString], b: &[CompactString]) -> bool {
    a.is_empty() || b.is_empty() || a.iter().any(|region| b.contains(region))
}

fn check_evacuated(subject: &Subject<'_>, found: &mut Findings) {
    let Some(data_centres) = &subject.data_centres else { return };
    let is_known = |name: &CompactString| data_centres.iter().any(|row| row.name == *name);
    for name in &subject.evacuated {
        let item = Item::new(ItemKind::DataCentre, name);
        if !is_known(name) {
            found.add(&item, FindingKind::EvacuatedUnknown);
        }
    }
    let is_evacuated = |row: &DataCentreView| subject.evacuated.contains(&row.name);
    if let Some(row) = data_centres.first().filter(|_| data_centres.iter().all(is_evacuated)) {
        found.add(&Item::new(ItemKind::DataCentre, &row.name), FindingKind::AllEvacuated);
    }
}

fn list(regions: &[CompactString]) -> CompactString {
    regions.join(", ").into()
}

//! Checks the configuration in force and logs what was not found in the one before.

use crate::configuration::Configuration;
use crate::configuration_check::checks;
use crate::configuration_check::finding::Finding;
use crate::configuration_check::finding::Item;
use crate::configuration_check::finding::ItemKind;
use crate::configuration_check::own;
use crate::configuration_check::subject::DataCentreView;
use crate::entry::decision::Decision;
use crate::entry::effect::Effect;
use crate::entry::world::World;
use crate::identity::Target;

/// Maximum number of findings that are logged for one revision; operators see all of them with the
/// command line.
pub const MAX_LOGGED_FINDINGS: usize = 50;

/// Checks the configuration if it is new, or if the data centres have just become known.
///
/// A configuration with findings is in force nevertheless, as it was accepted: refusing it here
/// would leave the entries with different configurations.
pub fn run(world: &mut World, effects: &mut Vec<Effect>) {
    if !std::mem::take(&mut world.is_check_due) {
        return;
    }
    let Some(configuration) = &world.configuration else { return };
    let findings = check(world, configuration);
    let revision = configuration.revision;
    let new = findings.iter().filter(|finding| world.findings.binary_search(finding).is_err());
    let logged = new.take(MAX_LOGGED_FINDINGS).map(|finding| {
        let finding = finding.clone();
        Effect::LogDecision(Box::new(Decision::ConfigurationFinding { revision, finding }))
    });
    effects.extend(logged);
    world.findings = findings;
}

fn check(world: &World, configuration: &Configuration) -> Vec<Finding> {
    let mut subject = own::subject(configuration);
    if world.has_vm_list {
        let listed = world.data_centres.rows.iter().filter(|(_, row)| row.was_listed);
        let listed = listed.map(|(_, row)| DataCentreView {
            name: row.name.0.clone(),
            region: row.region.and_then(|region| world.data_centres.regions.name(region)).cloned(),
        });
        subject.data_centres = Some(listed.collect());
    }
    let servers = &world.backend_servers;
    if world.has_vm_list && !servers.rows.iter().any(|(_, row)| row.is_untried) {
        subject.served = Some(servers.targets().map(target_item).collect());
    }
    checks::check(&subject)
}

fn target_item(target: &Target) -> Item {
    match target {
        Target::Model(name) => Item::new(ItemKind::Model, name),
        Target::Service(name) => Item::new(ItemKind::Service, name),
    }
}

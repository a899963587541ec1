//! Conversion between the operators' gRPC messages and the types of the decision code.

use snipespan_admin::v1;
use snipespan_admin::v1::change::Change as ChangeMessage;
use snipespan_core::configuration::AccountSpec;
use snipespan_core::configuration::Change;
use snipespan_core::configuration::Configuration;
use snipespan_core::configuration::ModelSpec;
use snipespan_core::configuration::Priority;
use snipespan_core::configuration::ServiceSpec;
use snipespan_core::identity::CredentialDigest;
use snipespan_core::identity::DataCentre;
use snipespan_core::identity::VmId;
use snipespan_core::lifecycle::backend_server::State;

use crate::entry::shell::BackendServerView;
use crate::entry::shell::DataCentreView;

/// Converts a requested change; the error says which field is invalid.
pub(super) fn change_from_message(message: ChangeMessage) -> Result<Change, String> {
    Ok(match message {
        ChangeMessage::PutAccount(account) => {
            let name = account.name.clone().into();
            Change::PutAccount(name, account_spec(account)?)
        }
        ChangeMessage::RemoveAccount(name) => Change::RemoveAccount(name.into()),
        ChangeMessage::PutModel(model) => Change::PutModel(
            model.name.into(),
            ModelSpec {
                max_prompt_tokens: model.max_prompt_tokens,
                max_output_tokens: model.max_output_tokens,
                time_limit_ms: model.time_limit_ms,
                home_regions: model.home_regions.into_iter().map(Into::into).collect(),
            },
        ),
        ChangeMessage::RemoveModel(name) => Change::RemoveModel(name.into()),
        ChangeMessage::PutService(service) => {
            let prefixes = service.repeatable_prefixes.into_iter().map(Into::into).collect();
            let time_limit_ms = service.time_limit_ms;
            let spec = ServiceSpec { time_limit_ms, repeatable_prefixes: prefixes };
            Change::PutService(service.name.into(), spec)
        }
        ChangeMessage::RemoveService(name) => Change::RemoveService(name.into()),
        ChangeMessage::Drain(vm) => Change::Drain(VmId(vm.into())),
        ChangeMessage::Undrain(vm) => Change::Undrain(VmId(vm.into())),
        ChangeMessage::Evacuate(name) => Change::Evacuate(DataCentre(name.into())),
        ChangeMessage::Restore(name) => Change::Restore(DataCentre(name.into())),
    })
}

fn account_spec(account: v1::Account) -> Result<AccountSpec, String> {
    let digests = account.credential_digests.into_iter();
    let credentials = digests.map(|digest| {
        let bytes = <[u8; 32]>::try_from(digest.as_slice());
        bytes.map(CredentialDigest).map_err(|_| {
            format!("each of credential_digests must be 32 bytes, not {}", digest.len())
        })
    });
    let priority = u8::try_from(account.priority)
        .map_err(|_| format!("priority must be 0 to 9, not {}", account.priority))?;
    Ok(AccountSpec {
        credentials: credentials.collect::<Result<_, _>>()?,
        priority: Priority(priority),
        weight: account.weight,
        max_open: account.max_open,
        disabled: account.disabled,
        home_regions: account.home_regions.into_iter().map(Into::into).collect(),
    })
}

/// Converts a configuration to the message for operators.
pub(super) fn configuration_message(configuration: &Configuration) -> v1::Configuration {
    let accounts = configuration.accounts.iter().map(|(name, spec)| v1::Account {
        name: name.to_string(),
        credential_digests: spec.credentials.iter().map(|digest| digest.0.to_vec()).collect(),
        priority: u32::from(spec.priority.0),
        weight: spec.weight,
        max_open: spec.max_open,
        disabled: spec.disabled,
        home_regions: spec.home_regions.iter().map(ToString::to_string).collect(),
    });
    let models = configuration.models.iter().map(|(name, spec)| v1::Model {
        name: name.to_string(),
        max_prompt_tokens: spec.max_prompt_tokens,
        max_output_tokens: spec.max_output_tokens,
        time_limit_ms: spec.time_limit_ms,
        home_regions: spec.home_regions.iter().map(ToString::to_string).collect(),
    });
    let services = configuration.services.iter().map(|(name, spec)| v1::Service {
        name: name.to_string(),
        time_limit_ms: spec.time_limit_ms,
        repeatable_prefixes: spec.repeatable_prefixes.iter().map(ToString::to_string).collect(),
    });
    v1::Configuration {
        revision: configuration.revision.0,
        accounts: accounts.collect(),
        models: models.collect(),
        services: services.collect(),
        drained: configuration.drained.iter().map(ToString::to_string).collect(),
        evacuated: configuration.evacuated.iter().map(ToString::to_string).collect(),
    }
}

/// Converts a backend server to the message for operators.
pub(super) fn backend_server_message(view: &BackendServerView) -> v1::BackendServer {
    let state = match view.state {
        State::Connecting {} => v1::BackendServerState::Connecting,
        State::Ready {} => v1::BackendServerState::Ready,
        State::Leaving {} | State::LeavingUnconnected {} => v1::BackendServerState::Leaving,
    };
    v1::BackendServer {
        vm: view.vm.id.to_string(),
        data_centre: view.vm.data_centre.to_string(),
        address: view.vm.address.to_string(),
        state: state.into(),
        targets: view.targets.iter().map(ToString::to_string).collect(),
        open: view.open,
        running: view.load.running,
        queued_tokens: view.load.queued_tokens,
        free_memory_tokens: view.load.free_memory_tokens,
        drained: view.is_drained,
    }
}

/// Converts a data centre to the message for operators.
pub(super) fn data_centre_message(view: &DataCentreView) -> v1::DataCentre {
    v1::DataCentre {
        name: view.name.to_string(),
        evacuated: view.is_evacuated,
        backend_servers: view.backend_servers,
        connected: view.connected,
        open: view.open,
        region: view.region.as_ref().map(ToString::to_string),
    }
}

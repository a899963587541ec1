//! Bytes that a gateway exchanges, by kind of traffic and by place of the other side.

use derive_more::Display;
use snipespan_core::gateway::message::PeerUpdate;
use snipespan_core::gateway::world::World;
use snipespan_platform_adapter::byte_meter::ByteMeter;

/// Where the other side of an exchange is.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(super) enum Place {
    /// In the data centre of this gateway.
    #[display("same")]
    Same,
    /// In another data centre.
    #[display("other")]
    Other,
    /// In a data centre that this gateway does not know, such as that of a peer that does not state
    /// it, or of the store.
    #[display("unknown")]
    Unknown,
}

impl Place {
    /// Returns the place of the backend server that is listed under `id`.
    pub(super) fn of_backend_server(world: &World, id: &str) -> Self {
        let row =
            world.backend_servers.find(id).and_then(|key| world.backend_servers.rows.get(key));
        row.map_or(Self::Unknown, |row| Self::of_data_centre(world, &row.listing.data_centre))
    }

    /// Returns the place of what is in a data centre.
    pub(super) fn of_data_centre(world: &World, name: &str) -> Self {
        match name == world.settings.data_centre {
            true => Self::Same,
            false => Self::Other,
        }
    }
}

/// Returns the kind of a message between gateways, as the metrics name it.
pub(super) const fn message_kind(update: &PeerUpdate) -> &'static str {
    match update {
        PeerUpdate::Changes(_) => "work_changes",
        PeerUpdate::Snapshot(_) => "snapshots",
        PeerUpdate::Listings(_) => "listings",
        PeerUpdate::PromptParts(_) => "prompt_parts",
        _ => "peer_others",
    }
}

/// Meters of the connections; the metrics collect what they count.
#[derive(Debug, Default)]
pub(super) struct ByteMeters {
    /// Calls to the store.
    pub(super) store: ByteMeter,
    same: ByteMeter,
    other: ByteMeter,
    unknown: ByteMeter,
}

impl ByteMeters {
    /// Returns the meter of attempts at backend servers in a place.
    pub(super) const fn backend(&self, place: Place) -> &ByteMeter {
        match place {
            Place::Same => &self.same,
            Place::Other => &self.other,
            Place::Unknown => &self.unknown,
        }
    }
}

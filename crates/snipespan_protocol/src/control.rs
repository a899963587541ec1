//! Messages on the control stream between an entry and a side process.

use serde::Deserialize;
use serde::Serialize;
use snipespan_core::entry::event::Hello;
use snipespan_core::entry::event::Load;

/// A message from a side process to an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FromSide {
    /// Hello of the side process; always the first message.
    Hello(Hello),
    /// Load of the side process's backend server.
    Load(Load),
    /// The newest configuration that the side process has received from entries.
    Configuration {
        /// Revision of the configuration.
        revision: u64,
        /// The configuration in the encoding of the entry that sent it.
        encoded: Vec<u8>,
    },
}

/// A message from an entry to a side process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FromEntry {
    /// The configuration in force at the entry, which the side process stores for starting entries.
    Configuration {
        /// Revision of the configuration.
        revision: u64,
        /// The configuration in the encoding of the entry.
        encoded: Vec<u8>,
    },
}

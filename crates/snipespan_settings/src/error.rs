//! Errors in settings, with the file, section, key, value and what is allowed.

use std::fmt;
use std::path::PathBuf;

use compact_str::CompactString;
use derive_more::Display;
use derive_more::Error;

/// One error in a settings file.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum SettingsError {
    /// The file cannot be read or is not in INI format.
    #[display("{}: {detail}", file.display())]
    UnreadableFile {
        /// Path of the settings file.
        file: PathBuf,
        /// Error message of the reader.
        detail: CompactString,
    },
    /// The file has a section that is not known.
    #[display("{}: [{section}]: unknown section; allowed: {allowed}", file.display())]
    UnknownSection {
        /// Path of the settings file.
        file: PathBuf,
        /// Name of the section.
        section: CompactString,
        /// The known sections.
        allowed: CompactString,
    },
    /// The section has a key that is not known.
    #[display("{}: [{section}] {key}: unknown key; allowed: {allowed}", file.display())]
    UnknownKey {
        /// Path of the settings file.
        file: PathBuf,
        /// Name of the section.
        section: CompactString,
        /// Name of the key.
        key: CompactString,
        /// The known keys of the section.
        allowed: CompactString,
    },
    /// A required key is missing.
    #[display("{}: [{section}] {key}: missing; allowed: {allowed}", file.display())]
    MissingKey {
        /// Path of the settings file.
        file: PathBuf,
        /// Name of the section.
        section: CompactString,
        /// Name of the key.
        key: CompactString,
        /// Description of the allowed values.
        allowed: CompactString,
    },
    /// The value of a key is not allowed.
    #[display("{}: [{section}] {key} = {value:?}: invalid; allowed: {allowed}", file.display())]
    InvalidValue {
        /// Path of the settings file.
        file: PathBuf,
        /// Name of the section.
        section: CompactString,
        /// Name of the key.
        key: CompactString,
        /// The value in the file.
        value: CompactString,
        /// Description of the allowed values.
        allowed: CompactString,
    },
}

/// All errors in a settings file.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub struct SettingsErrors {
    /// The errors, at least one.
    pub errors: Vec<SettingsError>,
}

impl fmt::Display for SettingsErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.errors.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(f, "{separator}{error}")?;
        }
        Ok(())
    }
}

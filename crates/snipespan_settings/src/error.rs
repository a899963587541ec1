//! Errors in settings; each names file, section, key, value and what is allowed.

use std::fmt;
use std::path::PathBuf;

use compact_str::CompactString;
use derive_more::Display;
use derive_more::Error;

/// One mistake in a settings file.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum SettingsError {
    /// The file cannot be read or is not INI.
    #[display("{}: {detail}", file.display())]
    UnreadableFile {
        /// The file.
        file: PathBuf,
        /// What is wrong.
        detail: CompactString,
    },
    /// A section that is not known.
    #[display("{}: [{section}]: unknown section; allowed: {allowed}", file.display())]
    UnknownSection {
        /// The file.
        file: PathBuf,
        /// The section.
        section: CompactString,
        /// The known ones.
        allowed: CompactString,
    },
    /// A key that is not known.
    #[display("{}: [{section}] {key}: unknown key; allowed: {allowed}", file.display())]
    UnknownKey {
        /// The file.
        file: PathBuf,
        /// The section.
        section: CompactString,
        /// The key.
        key: CompactString,
        /// The known ones.
        allowed: CompactString,
    },
    /// A key that must be there.
    #[display("{}: [{section}] {key}: missing; allowed: {allowed}", file.display())]
    MissingKey {
        /// The file.
        file: PathBuf,
        /// The section.
        section: CompactString,
        /// The key.
        key: CompactString,
        /// What is allowed.
        allowed: CompactString,
    },
    /// A value that is not allowed.
    #[display("{}: [{section}] {key} = {value:?}: not allowed; allowed: {allowed}", file.display())]
    InvalidValue {
        /// The file.
        file: PathBuf,
        /// The section.
        section: CompactString,
        /// The key.
        key: CompactString,
        /// The value.
        value: CompactString,
        /// What is allowed.
        allowed: CompactString,
    },
}

/// All mistakes in a settings file.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub struct SettingsErrors {
    /// The mistakes, at least one.
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

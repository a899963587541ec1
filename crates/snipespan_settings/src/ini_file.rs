//! An INI file that is read key by key, with all errors collected.

use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use compact_str::CompactString;
use compact_str::format_compact;
use ini::Ini;

use crate::error::SettingsError;
use crate::error::SettingsErrors;
use crate::units::DURATION_ALLOWED;
use crate::units::DURATION_OR_ZERO_ALLOWED;
use crate::units::SIZE_ALLOWED;
use crate::units::parse_duration;
use crate::units::parse_size;

/// Start of a field of a template that was not filled in. Renderers that know no sections leave the
/// fields in place that a deployment does not state; a process that refused them could not start.
const UNFILLED_FIELD: &str = "{{";

/// A settings file that is being read, with the keys read and the errors found so far.
#[derive(Debug)]
pub struct IniFile {
    path: PathBuf,
    ini: Ini,
    known_keys: Vec<(&'static str, &'static str)>,
    unchecked_sections: Vec<&'static str>,
    errors: Vec<SettingsError>,
}

impl IniFile {
    /// Loads the file at `path`.
    ///
    /// # Errors
    /// [`SettingsError::UnreadableFile`] if the file cannot be read or is not in INI format.
    pub fn load(path: &Path) -> Result<Self, SettingsErrors> {
        let file = path.to_owned();
        match Ini::load_from_file(path) {
            Ok(ini) => Ok(Self::new(file, ini)),
            Err(e) => {
                let detail = format_compact!("{e}");
                Err(SettingsErrors { errors: vec![SettingsError::UnreadableFile { file, detail }] })
            }
        }
    }

    fn new(path: PathBuf, ini: Ini) -> Self {
        Self {
            path,
            ini,
            known_keys: Vec::new(),
            unchecked_sections: Vec::new(),
            errors: Vec::new(),
        }
    }

    /// Returns the value of a key; one that is an unfilled field of a template counts as absent.
    fn value(&self, section: &str, key: &str) -> Option<&str> {
        let value = self.ini.get_from(Some(section), key)?;
        (!value.starts_with(UNFILLED_FIELD)).then_some(value)
    }

    /// Reads an optional value; `allowed` describes what `parse` accepts. Returns `None` if the key
    /// is absent, or if the value is not allowed, which is recorded as an error.
    pub fn optional<T>(
        &mut self,
        section: &'static str,
        key: &'static str,
        allowed: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        self.known_keys.push((section, key));
        let value = self.value(section, key)?;
        let parsed = parse(value);
        if parsed.is_none() {
            let error = self.invalid_value(section, key, value, allowed);
            self.errors.push(error);
        }
        parsed
    }

    /// Reads a required value like [`optional`](Self::optional); an absent key is an error.
    pub fn required<T>(
        &mut self,
        section: &'static str,
        key: &'static str,
        allowed: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        if self.value(section, key).is_none() {
            self.known_keys.push((section, key));
            self.errors.push(SettingsError::MissingKey {
                file: self.path.clone(),
                section: section.into(),
                key: key.into(),
                allowed: allowed.into(),
            });
            return None;
        }
        self.optional(section, key, allowed, parse)
    }

    /// Reads a duration above 0; returns `default` if the key is absent or not allowed.
    pub fn duration(
        &mut self,
        section: &'static str,
        key: &'static str,
        default: Duration,
    ) -> Duration {
        let positive = |text: &str| parse_duration(text).filter(|value| !value.is_zero());
        self.optional(section, key, DURATION_ALLOWED, positive).unwrap_or(default)
    }

    /// Reads a duration of at least 0; returns `default` if the key is absent or not allowed.
    pub fn duration_or_zero(
        &mut self,
        section: &'static str,
        key: &'static str,
        default: Duration,
    ) -> Duration {
        self.optional(section, key, DURATION_OR_ZERO_ALLOWED, parse_duration).unwrap_or(default)
    }

    /// Reads a size of at least one byte; returns `default` if the key is absent or not allowed.
    pub fn size(&mut self, section: &'static str, key: &'static str, default: u64) -> u64 {
        let positive = |text: &str| parse_size(text).filter(|value| *value > 0);
        self.optional(section, key, SIZE_ALLOWED, positive).unwrap_or(default)
    }

    /// Reads a count from 1 to `max`; returns `default` if the key is absent or not allowed.
    pub fn count(
        &mut self,
        section: &'static str,
        key: &'static str,
        max: u64,
        default: u64,
    ) -> u64 {
        let allowed = format!("a whole number from 1 to {max}");
        let parse = |text: &str| text.parse().ok().filter(|value| (1..=max).contains(value));
        self.optional(section, key, &allowed, parse).unwrap_or(default)
    }

    /// Reads a required path of an existing file; a relative path is resolved against the folder of
    /// the settings file.
    pub fn file(&mut self, section: &'static str, key: &'static str) -> Option<PathBuf> {
        let folder = self.path.parent().map(Path::to_owned).unwrap_or_default();
        let existing_file = move |text: &str| {
            let path = folder.join(text);
            path.is_file().then_some(path)
        };
        self.required(section, key, "the path of a file that exists", existing_file)
    }

    /// Exempts a section from the check for unknown keys, as its allowed keys are not known.
    pub fn skip_section(&mut self, section: &'static str) {
        self.unchecked_sections.push(section);
    }

    /// Reads a section whose keys are free names, and returns the keys and values. A value that is
    /// not allowed is skipped and recorded as an error; an unfilled field of a template is skipped.
    pub fn named_values(
        &mut self,
        section: &'static str,
        allowed: &str,
        is_allowed: impl Fn(&str) -> bool,
    ) -> Vec<(CompactString, CompactString)> {
        self.unchecked_sections.push(section);
        let Some(properties) = self.ini.section(Some(section)) else { return Vec::new() };
        let mut values = Vec::new();
        let mut errors = Vec::new();
        let is_filled = |(key, value): &(&str, &str)| {
            !key.starts_with(UNFILLED_FIELD) && !value.starts_with(UNFILLED_FIELD)
        };
        for (key, value) in properties.iter().filter(is_filled) {
            match is_allowed(value) {
                true => values.push((key.into(), value.into())),
                false => errors.push(self.invalid_value(section, key, value, allowed)),
            }
        }
        self.errors.extend(errors);
        values
    }

    /// Records that the value of a key is not allowed; an absent key counts as an empty value.
    pub fn reject_value(&mut self, section: &'static str, key: &'static str, allowed: &str) {
        let value = self.ini.get_from(Some(section), key).unwrap_or_default();
        let error = self.invalid_value(section, key, value, allowed);
        self.errors.push(error);
    }

    /// Ends the reading and checks for unknown sections and keys; empty sections are allowed.
    ///
    /// # Errors
    /// [`SettingsErrors`] with all errors, unknown sections and keys included.
    pub fn finish(mut self) -> Result<(), SettingsErrors> {
        self.reject_unknown_names();
        match self.errors.is_empty() {
            true => Ok(()),
            false => Err(SettingsErrors { errors: self.errors }),
        }
    }

    /// Records the unknown sections, and the unknown keys of the other sections, as errors.
    fn reject_unknown_names(&mut self) {
        let mut errors = Vec::new();
        for (section, properties) in self.ini.iter() {
            let section = section.unwrap_or_default();
            let keys: Vec<_> = properties.iter().map(|(key, _)| key).collect();
            if self.unchecked_sections.contains(&section) || keys.is_empty() {
                continue;
            }
            if !self.known_keys.iter().any(|(known, _)| *known == section) {
                errors.push(self.unknown_section(section));
                continue;
            }
            let unknown = keys.into_iter().filter(|key| !self.known_keys.contains(&(section, key)));
            errors.extend(unknown.map(|key| self.unknown_key(section, key)));
        }
        self.errors.extend(errors);
    }

    fn unknown_section(&self, section: &str) -> SettingsError {
        let mut allowed: Vec<_> = self.known_keys.iter().map(|(section, _)| *section).collect();
        allowed.extend(&self.unchecked_sections);
        allowed.dedup();
        SettingsError::UnknownSection {
            file: self.path.clone(),
            section: section.into(),
            allowed: allowed.join(", ").into(),
        }
    }

    fn unknown_key(&self, section: &str, key: &str) -> SettingsError {
        let known = self.known_keys.iter().filter(|(known, _)| *known == section);
        let allowed: Vec<_> = known.map(|(_, key)| *key).collect();
        SettingsError::UnknownKey {
            file: self.path.clone(),
            section: section.into(),
            key: key.into(),
            allowed: allowed.join(", ").into(),
        }
    }

    fn invalid_value(&self, section: &str, key: &str, value: &str, allowed: &str) -> SettingsError {
        SettingsError::InvalidValue {
            file: self.path.clone(),
            section: section.into(),
            key: key.into(),
            value: value.into(),
            allowed: allowed.into(),
        }
    }
}

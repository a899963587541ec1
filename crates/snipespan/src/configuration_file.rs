//! Configuration files, in the form that `snipespan --output json configuration` prints.

use std::collections::BTreeMap;

use compact_str::CompactString;
use serde_json::Map;
use serde_json::Value;
use snipespan_core::configuration::AccountSpec;
use snipespan_core::configuration::Configuration;
use snipespan_core::configuration::ModelSpec;
use snipespan_core::configuration::Priority;
use snipespan_core::configuration::Revision;
use snipespan_core::configuration::ServiceSpec;
use snipespan_core::configuration_check::subject::DataCentreView;
use snipespan_core::identity::CredentialDigest;
use snipespan_core::identity::DataCentre;
use snipespan_core::identity::VmId;

/// An error in a file, with the place of the value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileError {
    /// Place of the value, such as `accounts[2].weight`.
    pub place: String,
    /// What is wrong there.
    pub detail: String,
}

/// What a file holds.
#[derive(Debug, Default)]
pub struct ConfigurationFile {
    /// The configuration, without the items that have errors.
    pub configuration: Configuration,
    /// The data centres in which VMs are known; `None` if the file does not list them.
    pub data_centres: Option<Vec<DataCentreView>>,
    /// All errors in the file.
    pub errors: Vec<FileError>,
}

impl ConfigurationFile {
    /// Decodes a file. Values with errors are recorded with their places and left out.
    ///
    /// # Errors
    /// [`serde_json::Error`] if the text is not a JSON object.
    pub fn decode(text: &str) -> Result<Self, serde_json::Error> {
        let root: Map<String, Value> = serde_json::from_str(text)?;
        let mut reader = Reader { errors: Vec::new() };
        let mut object = Object { reader: &mut reader, place: String::new(), fields: &root };
        object.reject_unknown(&[
            "revision",
            "accounts",
            "models",
            "services",
            "drained",
            "evacuated",
            "data_centres",
        ]);
        let mut file = Self::default();
        let configuration = &mut file.configuration;
        configuration.revision = Revision(object.optional_number("revision").unwrap_or(0));
        object.each("accounts", |account| {
            let name = account.name()?;
            let spec = read_account(account)?;
            account.insert(&mut configuration.accounts, name, spec)
        });
        object.each("models", |model| {
            let name = model.name()?;
            let spec = read_model(model)?;
            model.insert(&mut configuration.models, name, spec)
        });
        object.each("services", |service| {
            let name = service.name()?;
            let spec = read_service(service)?;
            service.insert(&mut configuration.services, name, spec)
        });
        configuration.drained = object.texts("drained").into_iter().map(VmId).collect();
        configuration.evacuated = object.texts("evacuated").into_iter().map(DataCentre).collect();
        if root.contains_key("data_centres") {
            let mut data_centres = Vec::new();
            object.each("data_centres", |row| {
                row.reject_unknown(&["name", "region"]);
                let region = row.optional_text("region");
                data_centres.push(DataCentreView { name: row.name()?, region });
                Some(())
            });
            file.data_centres = Some(data_centres);
        }
        file.errors = reader.errors;
        Ok(file)
    }
}

fn read_account(account: &mut Object<'_>) -> Option<AccountSpec> {
    account.reject_unknown(&[
        "name",
        "api_key_sha256",
        "priority",
        "weight",
        "max_open",
        "disabled",
        "home_regions",
    ]);
    let credentials = account.digests("api_key_sha256");
    let priority = account.number::<u8>("priority");
    let weight = account.number("weight");
    let max_open = account.number("max_open");
    let disabled = account.optional_flag("disabled");
    let home_regions = account.texts("home_regions");
    Some(AccountSpec {
        credentials,
        priority: Priority(priority?),
        weight: weight?,
        max_open: max_open?,
        disabled,
        home_regions,
    })
}

fn read_model(model: &mut Object<'_>) -> Option<ModelSpec> {
    model.reject_unknown(&[
        "name",
        "max_prompt_tokens",
        "max_output_tokens",
        "time_limit_ms",
        "home_regions",
    ]);
    let max_prompt_tokens = model.number("max_prompt_tokens");
    let max_output_tokens = model.number("max_output_tokens");
    let time_limit_ms = model.number("time_limit_ms");
    let home_regions = model.texts("home_regions");
    Some(ModelSpec {
        max_prompt_tokens: max_prompt_tokens?,
        max_output_tokens: max_output_tokens?,
        time_limit_ms: time_limit_ms?,
        home_regions,
    })
}

fn read_service(service: &mut Object<'_>) -> Option<ServiceSpec> {
    service.reject_unknown(&["name", "time_limit_ms", "repeatable_prefixes"]);
    let time_limit_ms = service.number("time_limit_ms");
    let repeatable_prefixes = service.texts("repeatable_prefixes");
    Some(ServiceSpec { time_limit_ms: time_limit_ms?, repeatable_prefixes })
}

struct Reader {
    errors: Vec<FileError>,
}

/// An object of the file that is being read, with its place.
struct Object<'a> {
    reader: &'a mut Reader,
    place: String,
    fields: &'a Map<String, Value>,
}

impl Object<'_> {
    fn place_of(&self, field: &str) -> String {
        match self.place.is_empty() {
            true => field.to_owned(),
            false => format!("{}.{field}", self.place),
        }
    }

    fn reject(&mut self, field: &str, detail: impl Into<String>) {
        let place = self.place_of(field);
        self.reader.errors.push(FileError { place, detail: detail.into() });
    }

    fn reject_unknown(&mut self, known: &[&str]) {
        let unknown = self.fields.keys().filter(|field| !known.contains(&field.as_str()));
        for field in unknown {
            let detail = format!("unknown field; known are {}", known.join(", "));
            let place = self.place_of(field);
            self.reader.errors.push(FileError { place, detail });
        }
    }

    /// Reads a field that may be absent; a value that `parse` rejects is recorded.
    fn optional<T>(
        &mut self,
        field: &str,
        allowed: &str,
        parse: impl Fn(&Value) -> Option<T>,
    ) -> Option<T> {
        let value = self.fields.get(field).filter(|value| !value.is_null())?;
        let parsed = parse(value);
        if parsed.is_none() {
            self.reject(field, format!("must be {allowed}, not {value}"));
        }
        parsed
    }

    fn number<T: TryFrom<u64>>(&mut self, field: &str) -> Option<T> {
        if !self.fields.contains_key(field) {
            self.reject(field, "is missing");
            return None;
        }
        self.optional_number(field)
    }

    fn optional_number<T: TryFrom<u64>>(&mut self, field: &str) -> Option<T> {
        let parse = |value: &Value| value.as_u64().and_then(|number| T::try_from(number).ok());
        let bits = 8 * size_of::<T>();
        self.optional(field, &format!("a whole number from 0, of at most {bits} bits"), parse)
    }

    fn optional_flag(&mut self, field: &str) -> bool {
        self.optional(field, "true or false", Value::as_bool).unwrap_or(false)
    }

    fn optional_text(&mut self, field: &str) -> Option<CompactString> {
        self.optional(field, "a text", |value| value.as_str().map(Into::into))
    }

    fn name(&mut self) -> Option<CompactString> {
        if !self.fields.contains_key("name") {
            self.reject("name", "is missing");
        }
        self.optional_text("name")
    }

    fn texts(&mut self, field: &str) -> Vec<CompactString> {
        let parse = |value: &Value| {
            let values = value.as_array()?.iter();
            values.map(|value| value.as_str().map(CompactString::from)).collect()
        };
        self.optional(field, "a list of texts", parse).unwrap_or_default()
    }

    fn digests(&mut self, field: &str) -> Vec<CredentialDigest> {
        let digests = self.texts(field);
        let mut read = Vec::with_capacity(digests.len());
        for (index, digest) in digests.iter().enumerate() {
            let bytes = hex::decode(digest).ok();
            match bytes.and_then(|bytes| <[u8; 32]>::try_from(bytes).ok()) {
                Some(bytes) => read.push(CredentialDigest(bytes)),
                None => self.reject(&format!("{field}[{index}]"), "must be 64 hexadecimal digits"),
            }
        }
        read
    }

    /// Reads each object of a list; the list may be absent.
    fn each(&mut self, field: &str, mut read: impl FnMut(&mut Object<'_>) -> Option<()>) {
        let parse = |value: &Value| value.as_array().cloned();
        let values = self.optional(field, "a list of objects", parse).unwrap_or_default();
        for (index, value) in values.iter().enumerate() {
            let field = format!("{field}[{index}]");
            match value.as_object() {
                Some(fields) => {
                    let place = self.place_of(&field);
                    read(&mut Object { reader: self.reader, place, fields });
                }
                None => self.reject(&field, format!("must be an object, not {value}")),
            }
        }
    }

    /// Inserts an item under its name, which must not be used before.
    fn insert<T>(
        &mut self,
        items: &mut BTreeMap<CompactString, T>,
        name: CompactString,
        item: T,
    ) -> Option<()> {
        if items.contains_key(&name) {
            self.reject("name", format!("{name:?} is used twice"));
            return None;
        }
        items.insert(name, item);
        Some(())
    }
}

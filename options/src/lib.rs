//! Reads the options of the proxy that are not part of the platform's configuration: an XML file with a schema
//! (`deploy/options.xsd`).
//!
//! The schema checks names, types and ranges. This crate checks the rules that a schema cannot express, such as that no
//! address is used twice. It does so on the same XML tree, so that every error has a line and an element. A file with
//! an error gives no options at all. The crate opens no sockets and no files: the caller passes the text.
#![forbid(unsafe_code)]

mod background;
mod conflicts;
mod error;
mod health;
mod links;
mod reader;

pub use background::{HotKeyOptions, SplitOptions};
pub use error::{OptionsError, OptionsErrorKind};
pub use health::{AgentListener, CheckListener, HealthOptions, KeepAliveListener};
pub use links::{FleetOptions, PeerStateOptions};
use reader::Reader;
use uppsala::{Document, XmlError, XsdValidator};

/// The text of the schema. Operators can also use its file, `deploy/options.xsd`, in their editors.
pub const SCHEMA: &str = include_str!("../../deploy/options.xsd");
/// The maximum length of an options file. A longer file is rejected before it is parsed.
pub const MAX_FILE_BYTES: usize = 256 * 1024;

/// All options. A feature whose element is missing is `None` and switched off.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Options {
    /// Health reports to load balancers (element `health`).
    pub health: Option<HealthOptions>,
    /// Transfer of learned state from and to other proxies (element `knowledge`).
    pub peer_state: Option<PeerStateOptions>,
    /// Membership of the fleet of proxies (element `fleet`).
    pub fleet: Option<FleetOptions>,
    /// Copies of hot keys (element `hot`).
    pub hot: Option<HotKeyOptions>,
    /// Comparison of dual reads during a shard split (element `split`).
    pub split: Option<SplitOptions>,
}

/// Reads the options from the text of an options file.
///
/// # Errors
/// Returns every error that is found, ordered by line. Errors beyond the schema are found only in a file that does not
/// violate the schema.
pub fn parse(text: &str) -> Result<Options, Vec<OptionsError>> {
    check_text(text)?;
    let document = uppsala::parse(text).map_err(|error| vec![invalid_xml(error)])?;
    let mut reader = Reader { document: &document, errors: Vec::new() };
    check_schema(&document, &mut reader)?;
    let options = if reader.errors.is_empty() { reader.read_options() } else { Options::default() };
    let mut errors = reader.errors;
    if errors.is_empty() {
        return Ok(options);
    }
    errors.sort_by_key(|error| error.line);
    Err(errors)
}

/// Rejects, before it is parsed, a text that is too long or has a document type declaration, which could define
/// entities.
fn check_text(text: &str) -> Result<(), Vec<OptionsError>> {
    if text.len() > MAX_FILE_BYTES {
        return Err(vec![OptionsError::in_file(1, OptionsErrorKind::TooLong { bytes: text.len() })]);
    }
    if text.contains("<!DOCTYPE") {
        return Err(vec![OptionsError::in_file(1, OptionsErrorKind::DocumentTypeDeclaration)]);
    }
    Ok(())
}

/// Converts an error of the XML parser to an error at the same line.
fn invalid_xml(error: XmlError) -> OptionsError {
    let (line, message) = match error {
        XmlError::Parse(error) => (error.line, error.message),
        XmlError::WellFormedness(error) => (error.line, error.message),
        XmlError::Namespace(error) => (error.line, error.message),
        other => (1, other.to_string()),
    };
    OptionsError::in_file(line, OptionsErrorKind::InvalidXml(message))
}

/// Validates a document against the schema, and adds the violations to the reader's errors. Returns an error if the
/// schema itself is invalid.
fn check_schema(document: &Document, reader: &mut Reader) -> Result<(), Vec<OptionsError>> {
    let schema = uppsala::parse(SCHEMA).and_then(|schema| XsdValidator::from_schema(&schema));
    let schema = schema.map_err(|error| {
        vec![OptionsError::in_file(1, OptionsErrorKind::UnusableSchema(error.to_string()))]
    })?;
    for violation in schema.validate(document) {
        let line = violation.line.unwrap_or(1);
        let node = reader.element_at(line, violation.column.unwrap_or(1));
        let (element, attribute) = (reader.name(node), reader.attribute(node, &violation.message));
        // The validator reports a value of the wrong type a second time, as out of range. Only the first violation is
        // kept.
        if attribute.as_ref().is_some_and(|attribute| reader.has_violation(line, attribute)) {
            continue;
        }
        let kind = OptionsErrorKind::SchemaViolation { attribute, message: violation.message };
        reader.errors.push(OptionsError::new(line, element, kind));
    }
    Ok(())
}

impl Reader<'_> {
    /// Reads all elements of a document that the schema accepts.
    fn read_options(&mut self) -> Options {
        let root = self.document.document_element();
        let element = |reader: &Self, name| root.and_then(|root| reader.child(root, name));
        let health = element(self, "health").and_then(|node| self.read_health(node));
        let peer_state = element(self, "knowledge").and_then(|node| self.read_peer_state(node));
        let fleet = element(self, "fleet").and_then(|node| self.read_fleet(node));
        let hot = element(self, "hot").and_then(|node| self.read_hot_keys(node, fleet.is_some()));
        let split = element(self, "split").and_then(|node| self.read_split(node, fleet.is_some()));
        let options = Options { health, peer_state, fleet, hot, split };
        self.errors.extend(options.internal_address_conflicts());
        options
    }
}

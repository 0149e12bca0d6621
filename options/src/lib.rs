//! Options of our own: XML with a schema (`deploy/options.xsd`), read into typed values.
//!
//! The schema checks names, types and ranges. What it cannot express, such as an address that is used twice, is checked
//! here on the same tree, so that every error has its line and element. A file is applied as a whole or not at all. The
//! crate opens no address and reads no file.
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

/// The schema, which operators' editors use too.
pub const SCHEMA: &str = include_str!("../../deploy/options.xsd");
/// A longer file is not read.
pub const MAX_FILE_BYTES: usize = 256 * 1024;

/// All options; what is absent is switched off.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Options {
    /// Health reports to load balancers.
    pub health: Option<HealthOptions>,
    /// State transfer from and to other proxies.
    pub peer_state: Option<PeerStateOptions>,
    /// Membership of the fleet.
    pub fleet: Option<FleetOptions>,
    /// Copies of hot keys.
    pub hot: Option<HotKeyOptions>,
    /// Comparison of dual reads while a group splits.
    pub split: Option<SplitOptions>,
}

/// Reads the options.
///
/// # Errors
/// Every error of the file, in the order of lines.
pub fn parse(text: &str) -> Result<Options, Vec<OptionsError>> {
    check_text(text)?;
    let document = uppsala::parse(text).map_err(|error| vec![invalid_xml(error)])?;
    let mut reader = Reader { doc: &document, errors: Vec::new() };
    check_schema(&document, &mut reader)?;
    let options = if reader.errors.is_empty() { reader.options() } else { Options::default() };
    let mut errors = reader.errors;
    if errors.is_empty() {
        return Ok(options);
    }
    errors.sort_by_key(|error| error.line);
    Err(errors)
}

/// Rejects a text before it is parsed: what is too long, or could define entities.
fn check_text(text: &str) -> Result<(), Vec<OptionsError>> {
    if text.len() > MAX_FILE_BYTES {
        return Err(vec![OptionsError::in_file(1, OptionsErrorKind::TooLong)]);
    }
    if text.contains("<!DOCTYPE") {
        return Err(vec![OptionsError::in_file(1, OptionsErrorKind::DocumentType)]);
    }
    Ok(())
}

/// The error of the XML parser, at its line.
fn invalid_xml(error: XmlError) -> OptionsError {
    let (line, message) = match error {
        XmlError::Parse(error) => (error.line, error.message),
        XmlError::WellFormedness(error) => (error.line, error.message),
        XmlError::Namespace(error) => (error.line, error.message),
        other => (1, other.to_string()),
    };
    OptionsError::in_file(line, OptionsErrorKind::InvalidXml(message))
}

/// Adds the violations of the schema to the reader's errors.
fn check_schema(document: &Document, reader: &mut Reader) -> Result<(), Vec<OptionsError>> {
    let schema = uppsala::parse(SCHEMA).and_then(|schema| XsdValidator::from_schema(&schema));
    let schema = schema.map_err(|error| {
        vec![OptionsError::in_file(1, OptionsErrorKind::UnusableSchema(error.to_string()))]
    })?;
    for violation in schema.validate(document) {
        let line = violation.line.unwrap_or(1);
        let node = reader.element_at(line, violation.column.unwrap_or(1));
        let (element, attribute) = (reader.name(node), reader.attribute(node, &violation.message));
        // A value of the wrong type is out of its range too, which is not reported beside it.
        if attribute.as_ref().is_some_and(|attribute| reader.has_violation(line, attribute)) {
            continue;
        }
        let kind = OptionsErrorKind::SchemaViolation { attribute, message: violation.message };
        reader.errors.push(OptionsError::new(line, element, kind));
    }
    Ok(())
}

impl Reader<'_> {
    /// Reads all elements of a document that its schema accepts.
    fn options(&mut self) -> Options {
        let root = self.doc.document_element();
        let element = |reader: &Self, name| root.and_then(|root| reader.child(root, name));
        let health = element(self, "health").and_then(|node| self.health(node));
        let peer_state = element(self, "knowledge").and_then(|node| self.peer_state(node));
        let fleet = element(self, "fleet").and_then(|node| self.fleet(node));
        let hot = element(self, "hot").and_then(|node| self.hot(node, fleet.is_some()));
        let split = element(self, "split").and_then(|node| self.split(node, fleet.is_some()));
        let options = Options { health, peer_state, fleet, hot, split };
        self.errors.extend(options.internal_address_conflicts());
        options
    }
}

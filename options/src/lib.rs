//! The options of our own, XML with a schema (`deploy/options.xsd`), read into typed values.
//!
//! The schema judges names, types and ranges; what it cannot say (addresses used twice, sums of times) is checked here,
//! on the same tree, so every fault has its line and element. A file is taken whole or not at all. It owns the form of
//! the options; it never opens an address, and reads no file by itself.

mod background;
mod health;
mod links;
mod reader;

pub use background::{Hot, Split};
pub use health::{AgentListener, CheckListener, HealthOptions, KeepAliveListener};
pub use links::{Fleet, Knowledge};
use reader::Reader;
use std::fmt;
use std::net::SocketAddr;
use uppsala::{XmlError, XsdValidator};

/// The schema that the operators' editors use is the one that judges.
pub const SCHEMA: &str = include_str!("../../deploy/options.xsd");
/// A file longer than this is no options file.
pub const MOST_BYTES: usize = 256 << 10;

/// All absent: everything new is off.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Options {
    pub health: Option<HealthOptions>,
    pub knowledge: Option<Knowledge>,
    pub fleet: Option<Fleet>,
    pub hot: Option<Hot>,
    pub split: Option<Split>,
}

/// Something wrong in the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    pub line: usize,
    pub element: String,
    pub message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "line {}: {}: {}", self.line, self.element, self.message)
    }
}

/// Reads the options; every fault comes out, in the order of lines.
pub fn parse(text: &str) -> Result<Options, Vec<Fault>> {
    let whole = |line, message: String| vec![Fault { line, element: "file".into(), message }];
    if text.len() > MOST_BYTES {
        return Err(whole(1, format!("longer than {MOST_BYTES} bytes")));
    }
    if text.contains("<!DOCTYPE") {
        return Err(whole(1, "a document type is not taken".into()));
    }
    let doc = uppsala::parse(text).map_err(|e| {
        let (line, message) = match e {
            XmlError::Parse(e) => (e.line, e.message),
            XmlError::WellFormedness(e) => (e.line, e.message),
            XmlError::Namespace(e) => (e.line, e.message),
            other => (1, other.to_string()),
        };
        whole(line, format!("not XML: {message}"))
    })?;
    let schema = uppsala::parse(SCHEMA).and_then(|schema| XsdValidator::from_schema(&schema));
    let schema = schema.map_err(|e| whole(1, format!("the schema: {e}")))?;
    let mut reader = Reader { doc: &doc, faults: Vec::new() };
    for error in schema.validate(&doc) {
        let line = error.line.unwrap_or(1);
        let node = reader.element_at(line, error.column.unwrap_or(1));
        let (element, attribute) = (reader.name(node), reader.attribute(node, &error.message));
        let message = format!("{attribute}{}", error.message);
        // A value of the wrong type is out of its range too; that is not told beside it.
        let again = |f: &Fault| f.line == line && !attribute.is_empty() && f.message.starts_with(&attribute);
        if !reader.faults.iter().any(again) {
            reader.faults.push(Fault { line, element, message });
        }
    }
    let options = if reader.faults.is_empty() { reader.options() } else { Options::default() };
    let mut faults = reader.faults;
    if faults.is_empty() {
        return Ok(options);
    }
    faults.sort_by_key(|fault| fault.line);
    Err(faults)
}

impl Reader<'_> {
    fn options(&mut self) -> Options {
        let root = self.doc.document_element();
        let part = |reader: &Self, name| root.and_then(|root| reader.child(root, name));
        let health = part(self, "health").and_then(|node| self.health(node));
        let knowledge = part(self, "knowledge").and_then(|node| self.knowledge(node));
        let fleet = part(self, "fleet").and_then(|node| self.fleet(node));
        let hot = part(self, "hot").and_then(|node| self.hot(node, fleet.is_some()));
        let split = part(self, "split").and_then(|node| self.split(node, fleet.is_some()));
        let options = Options { health, knowledge, fleet, hot, split };
        let clashes = options.links().filter_map(|(element, line, at)| {
            let (other, _) =
                options.check_listeners().find(|(_, check_listener)| meet(check_listener.address, at))?;
            let message = format!("listen: {at} is used by {other} too");
            Some(Fault { line, element: element.into(), message })
        });
        self.faults.extend(clashes.collect::<Vec<_>>());
        // Members of the fleet have links to each other at the number of their datagrams.
        let links: Vec<_> = options.links().collect();
        if let [(one, _, a), (other, line, b)] = links[..]
            && meet(a, b)
        {
            let message = format!("listen: {b} is used by {one} too");
            self.faults.push(Fault { line, element: other.into(), message });
        }
        options
    }
}

impl Options {
    /// Descriptors that are to be kept for what is switched on here: callers and listeners.
    pub fn descriptors(&self) -> usize {
        self.check_listeners().map(|(_, check_listener)| check_listener.max_connections + 1).sum()
    }

    fn check_listeners(&self) -> impl Iterator<Item = (&'static str, &CheckListener)> {
        self.health.iter().flat_map(HealthOptions::check_listeners)
    }

    /// Where other proxies reach this one.
    fn links(&self) -> impl Iterator<Item = (&'static str, usize, SocketAddr)> {
        let knowledge = self.knowledge.as_ref().and_then(|k| Some(("knowledge", k.line, k.listen?)));
        let fleet = self.fleet.as_ref().map(|f| ("fleet", f.line, f.listen));
        knowledge.into_iter().chain(fleet)
    }

    /// More descriptors than may be spared of so many.
    pub fn too_many(&self, sockets: usize) -> Option<Fault> {
        let (wanted, most) = (self.descriptors(), sockets / 2);
        let (element, check_listener) = self
            .check_listeners()
            .max_by_key(|(_, check_listener)| check_listener.max_connections)
            .filter(|_| wanted > most)?;
        let message = format!("callers: {wanted} descriptors for checks are more than half of {sockets}");
        Some(Fault { line: check_listener.line, element: element.into(), message })
    }

    /// Addresses here that something else in the process uses already.
    pub fn taken(&self, others: &[(&str, SocketAddr)]) -> Vec<Fault> {
        let clash = |(element, check_listener): (&str, &CheckListener)| {
            let (name, _) = others.iter().find(|(_, at)| meet(*at, check_listener.address))?;
            let message = format!("listen: {} is used as {name} already", check_listener.address);
            Some(Fault { line: check_listener.line, element: element.into(), message })
        };
        let mut faults: Vec<Fault> = self.check_listeners().filter_map(clash).collect();
        for (element, line, at) in self.links() {
            if let Some((name, _)) = others.iter().find(|(_, other)| meet(*other, at)) {
                let message = format!("listen: {at} is used as {name} already");
                faults.push(Fault { line, element: element.into(), message });
            }
        }
        faults
    }
}

/// Two sockets cannot listen on both.
fn meet(a: SocketAddr, b: SocketAddr) -> bool {
    let any = a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() != 0 && a.port() == b.port() && (a.ip() == b.ip() || any)
}

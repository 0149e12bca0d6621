//! The options of our own, XML with a schema (`deploy/options.xsd`), read into typed values.
//!
//! The schema judges names, types and ranges; what it cannot say (addresses used twice, sums of times) is checked here,
//! on the same tree, so every fault has its line and element. A file is taken whole or not at all. It owns the form of
//! the options; it never opens an address, and reads no file by itself.

use birchreach_health::{Idle, Micros, Overload, Probing, Settings, Shared, Sum};
use birchreach_knowledge::{donor, join};
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use uppsala::{Document, NodeId, XmlError, XsdValidator};

/// The schema that the operators' editors use is the one that judges.
pub const SCHEMA: &str = include_str!("../../deploy/options.xsd");
/// A file longer than this is no options file.
pub const MOST_BYTES: usize = 256 << 10;

/// All absent: everything new is off.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Options {
    pub health: Option<Health>,
    pub knowledge: Option<Knowledge>,
}

/// What is learnt from other proxies, and told them.
#[derive(Clone, Debug, PartialEq)]
pub struct Knowledge {
    /// Where others ask, if anywhere.
    pub listen: Option<SocketAddr>,
    pub line: usize,
    /// A file of keys that all have.
    pub key_file: PathBuf,
    pub join: join::Settings,
    pub donor: donor::Settings,
}

/// What balancers are told, and where.
#[derive(Clone, Debug, PartialEq)]
pub struct Health {
    pub http: Option<Http>,
    pub agent: Option<Agent>,
    pub grpc: Option<Http>,
    /// Classes and seed are the program's to fill in.
    pub settings: Settings,
    /// After SIGTERM, draining is told for so long before the listener closes.
    pub lead: Micros,
}

/// An address where balancers call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Door {
    pub listen: SocketAddr,
    /// Where that stands in the file.
    pub line: usize,
    /// Callers at once.
    pub callers: usize,
    /// A call that is begun, or a reply that is not read, ends the connection after this time.
    pub silent: Micros,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Http {
    pub door: Door,
    /// A connection may be kept between calls for so long.
    pub idle: Micros,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Agent {
    pub door: Door,
    /// A balancer that says nothing for so long asks for the whole.
    pub ask: Micros,
    /// Replies hold how many connections there is room for.
    pub maxconn: bool,
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

struct Reader<'a> {
    doc: &'a Document<'a>,
    faults: Vec<Fault>,
}

impl Reader<'_> {
    fn name(&self, node: NodeId) -> String {
        self.doc.element(node).map_or_else(|| "file".into(), |e| e.name.local_name.to_string())
    }

    /// The element that begins at this place, or the last one before it.
    fn element_at(&self, line: usize, column: usize) -> NodeId {
        let Some(root) = self.doc.document_element() else { return self.doc.root() };
        let all = std::iter::once(root).chain(self.doc.descendants(root));
        let place = |node: &NodeId| (self.doc.node_line(*node), self.doc.node_column(*node));
        let before =
            all.filter(|node| self.doc.element(*node).is_some() && place(node) <= (line, column.max(1)));
        before.max_by_key(place).unwrap_or(root)
    }

    /// `name: ` of the attribute that a message speaks of, by the value that it quotes.
    fn attribute(&self, node: NodeId, message: &str) -> String {
        let value = message.split('\'').nth(1);
        let attributes = self.doc.element(node).map_or(&[][..], |e| &e.attributes);
        let found = attributes.iter().find(|a| Some(a.value.as_ref()) == value);
        found.map_or_else(String::new, |a| format!("{}: ", a.name.local_name))
    }

    fn fault(&mut self, node: NodeId, message: impl Into<String>) {
        let fault =
            Fault { line: self.doc.node_line(node), element: self.name(node), message: message.into() };
        self.faults.push(fault);
    }

    fn child(&self, node: NodeId, name: &str) -> Option<NodeId> {
        let named = |child: &NodeId| self.doc.element(*child).is_some_and(|e| e.name.local_name == name);
        self.doc.children_iter(node).find(named)
    }

    /// An attribute's value; what the schema lets through and we cannot read is a fault all the same.
    fn value<T: FromStr>(&mut self, node: NodeId, name: &str) -> Option<T> {
        let text = self.doc.get_attribute(node, name)?.trim().to_string();
        let value = text.parse().ok();
        if value.is_none() {
            self.fault(node, format!("{name}: '{text}' cannot be read"));
        }
        value
    }

    fn ms(&mut self, node: NodeId, name: &str, into: &mut Micros) {
        if let Some(ms) = self.value::<Micros>(node, name) {
            *into = ms * 1000;
        }
    }

    fn number<T: FromStr>(&mut self, node: NodeId, name: &str, into: &mut T) {
        if let Some(value) = self.value(node, name) {
            *into = value;
        }
    }

    /// One of two words; the schema knows no other.
    fn word<T>(&self, node: NodeId, name: &str, words: [(&str, T); 2], into: &mut T) {
        let told = self.doc.get_attribute(node, name);
        if let Some((_, value)) = words.into_iter().find(|(word, _)| told == Some(word)) {
            *into = value;
        }
    }

    fn options(&mut self) -> Options {
        let root = self.doc.document_element();
        let health = root.and_then(|root| self.child(root, "health")).and_then(|node| self.health(node));
        let knowledge =
            root.and_then(|root| self.child(root, "knowledge")).and_then(|node| self.knowledge(node));
        let health_doors: Vec<_> = health.iter().flat_map(Health::doors).collect();
        if let Some((line, at)) = knowledge.as_ref().and_then(|k| Some((k.line, k.listen?)))
            && let Some((other, _)) = health_doors.iter().find(|(_, door)| meet(door.listen, at))
        {
            let message = format!("listen: {at} is used by {other} too");
            self.faults.push(Fault { line, element: "knowledge".into(), message });
        }
        Options { health, knowledge }
    }

    fn knowledge(&mut self, node: NodeId) -> Option<Knowledge> {
        let mut join = join::Settings::default();
        let mut donor = donor::Settings::default();
        let donors = self.doc.get_attribute(node, "donors").unwrap_or_default().to_string();
        for name in donors.split_ascii_whitespace() {
            match name.parse::<SocketAddr>() {
                Ok(at) => join.donors.push(at.to_string()),
                Err(_) => self.fault(node, format!("donors: '{name}' is no address and port")),
            }
        }
        self.ms(node, "patience-ms", &mut join.patience);
        self.ms(node, "refresh-ms", &mut join.refresh);
        self.number(node, "at-once", &mut donor.at_once);
        self.number(node, "bytes-per-s", &mut donor.bytes_per_s);
        let listen = self.value(node, "listen");
        let key_file = PathBuf::from(self.doc.get_attribute(node, "key-file")?);
        if listen.is_none() && join.donors.is_empty() {
            self.fault(node, "neither listen nor donors: nobody is asked, nobody can ask");
        }
        Some(Knowledge { listen, line: self.doc.node_line(node), key_file, join, donor })
    }

    fn door(&mut self, node: NodeId) -> Option<Door> {
        let mut door = Door {
            listen: self.value(node, "listen")?,
            line: self.doc.node_line(node),
            callers: 64,
            silent: 2_000_000,
        };
        self.number(node, "callers", &mut door.callers);
        self.ms(node, "silent-ms", &mut door.silent);
        Some(door)
    }

    fn health(&mut self, node: NodeId) -> Option<Health> {
        let mut settings = Settings::default();
        let mut lead = 3_000_000;
        let http = self.child(node, "http").and_then(|node| {
            let mut http = Http { door: self.door(node)?, idle: 65_000_000 };
            self.ms(node, "idle-ms", &mut http.idle);
            Some(http)
        });
        let grpc = self.child(node, "grpc").and_then(|node| {
            let mut grpc = Http { door: self.door(node)?, idle: 65_000_000 };
            self.ms(node, "idle-ms", &mut grpc.idle);
            Some(grpc)
        });
        let agent = self.child(node, "agent").and_then(|node| {
            let mut agent = Agent { door: self.door(node)?, ask: 20_000, maxconn: false };
            self.ms(node, "ask-ms", &mut agent.ask);
            agent.maxconn = matches!(self.doc.get_attribute(node, "maxconn"), Some("true" | "1"));
            Some(agent)
        });
        let parts = ["claims", "probes", "weight", "stopping"].map(|name| self.child(node, name));
        let [claims, probes, weight, stopping] = parts;
        if let Some(node) = claims {
            self.claims(node, &mut settings);
        }
        if let Some(node) = probes {
            let mut probing = Probing::default();
            self.ms(node, "every-ms", &mut probing.every);
            self.ms(node, "suspect-ms", &mut probing.suspect);
            self.ms(node, "timeout-ms", &mut probing.timeout);
            self.number(node, "group-per-s", &mut probing.group_per_s);
            self.number(node, "whole-per-s", &mut probing.whole_per_s);
            settings.probes = Some(probing);
        }
        if let Some(node) = weight {
            let w = &mut settings.weight;
            self.number(node, "knee", &mut w.knee);
            self.number(node, "hot", &mut w.hot);
            self.number(node, "least", &mut w.least);
            self.number(node, "up-per-s", &mut w.up_per_s);
            self.number(node, "down-per-s", &mut w.down_per_s);
            self.ms(node, "settle-ms", &mut w.settle);
            self.number(node, "overload-at", &mut settings.overload_at);
        }
        if let Some(node) = stopping {
            self.ms(node, "lead-ms", &mut lead);
        }
        // What does not hold together is told where it is written, or else at the whole.
        for fault in settings.faults() {
            let written = |n: &NodeId| self.doc.get_attribute(*n, fault.field).is_some();
            let at = parts.into_iter().flatten().find(written).unwrap_or(node);
            self.fault(at, format!("{}: {}", fault.field, fault.message));
        }
        if http.is_none() && agent.is_none() && grpc.is_none() {
            self.fault(node, "neither http, agent nor grpc: nobody could ask");
        }
        let health = Health { http, agent, grpc, settings, lead };
        let doors: Vec<_> = health.doors().collect();
        for (n, (element, door)) in doors.iter().enumerate() {
            if let Some((other, _)) = doors[..n].iter().find(|(_, other)| meet(other.listen, door.listen)) {
                let message = format!("listen: {} is used by {other} too", door.listen);
                self.faults.push(Fault { line: door.line, element: (*element).into(), message });
            }
        }
        Some(health)
    }

    fn claims(&mut self, node: NodeId, s: &mut Settings) {
        self.word(node, "idle", [("trust", Idle::Trust), ("withdraw", Idle::Withdraw)], &mut s.idle);
        self.word(node, "shared", [("tell", Shared::Tell), ("down", Shared::Down)], &mut s.shared);
        self.word(
            node,
            "overload",
            [("weight", Overload::Weight), ("down", Overload::Down)],
            &mut s.overload,
        );
        self.word(node, "sum", [("any", Sum::Any), ("all", Sum::All)], &mut s.sum);
        for (name, into) in [
            ("window-ms", &mut s.window),
            ("fall-ms", &mut s.fall),
            ("rise-ms", &mut s.rise),
            ("rise-most-ms", &mut s.rise_most),
            ("hold-able-ms", &mut s.hold_able),
            ("hold-unable-ms", &mut s.hold_unable),
            ("hang-probed-ms", &mut s.hang_probed),
            ("hang-ms", &mut s.hang),
            ("discovery-after-ms", &mut s.discovery_after),
        ] {
            self.ms(node, name, into);
        }
    }
}

impl Health {
    /// Every address where balancers call, and the element that names it.
    pub fn doors(&self) -> impl Iterator<Item = (&'static str, &Door)> {
        let http = self.http.as_ref().map(|http| ("http", &http.door));
        let agent = self.agent.as_ref().map(|agent| ("agent", &agent.door));
        let grpc = self.grpc.as_ref().map(|grpc| ("grpc", &grpc.door));
        http.into_iter().chain(agent).chain(grpc)
    }
}

impl Options {
    /// Descriptors that are to be kept for what is switched on here: callers and listeners.
    pub fn descriptors(&self) -> usize {
        self.doors().map(|(_, door)| door.callers + 1).sum()
    }

    fn doors(&self) -> impl Iterator<Item = (&'static str, &Door)> {
        self.health.iter().flat_map(Health::doors)
    }

    /// More descriptors than may be spared of so many.
    pub fn too_many(&self, sockets: usize) -> Option<Fault> {
        let (wanted, most) = (self.descriptors(), sockets / 2);
        let (element, door) = self.doors().max_by_key(|(_, door)| door.callers).filter(|_| wanted > most)?;
        let message = format!("callers: {wanted} descriptors for checks are more than half of {sockets}");
        Some(Fault { line: door.line, element: element.into(), message })
    }

    /// Addresses here that something else in the process uses already.
    pub fn taken(&self, others: &[(&str, SocketAddr)]) -> Vec<Fault> {
        let clash = |(element, door): (&str, &Door)| {
            let (name, _) = others.iter().find(|(_, at)| meet(*at, door.listen))?;
            let message = format!("listen: {} is used as {name} already", door.listen);
            Some(Fault { line: door.line, element: element.into(), message })
        };
        let mut faults: Vec<Fault> = self.doors().filter_map(clash).collect();
        if let Some((line, at)) = self.knowledge.as_ref().and_then(|k| Some((k.line, k.listen?)))
            && let Some((name, _)) = others.iter().find(|(_, other)| meet(*other, at))
        {
            let message = format!("listen: {at} is used as {name} already");
            faults.push(Fault { line, element: "knowledge".into(), message });
        }
        faults
    }
}

/// Two sockets cannot listen on both.
fn meet(a: SocketAddr, b: SocketAddr) -> bool {
    let any = a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() != 0 && a.port() == b.port() && (a.ip() == b.ip() || any)
}

//! Access to the XML tree: elements and attributes, and errors with their lines.

use crate::{OptionsError, OptionsErrorKind};
use birchreach_health::Micros;
use std::str::FromStr;
use std::time::Duration;
use uppsala::{Document, NodeId};

const MICROS_PER_MILLISECOND: Micros = 1_000;

/// Reads values from a document that its schema has checked, and collects errors.
pub(crate) struct Reader<'a> {
    pub(crate) doc: &'a Document<'a>,
    pub(crate) errors: Vec<OptionsError>,
}

impl Reader<'_> {
    /// The name of an element.
    pub(crate) fn name(&self, node: NodeId) -> String {
        self.doc.element(node).map_or_else(|| "file".into(), |element| element.name.local_name.to_string())
    }

    /// The element that begins at this position, or the last one before it.
    pub(crate) fn element_at(&self, line: usize, column: usize) -> NodeId {
        let Some(root) = self.doc.document_element() else { return self.doc.root() };
        let position = |node: &NodeId| (self.doc.node_line(*node), self.doc.node_column(*node));
        let nodes = std::iter::once(root).chain(self.doc.descendants(root));
        let elements = nodes.filter(|node| self.doc.element(*node).is_some());
        let before = elements.filter(|node| position(node) <= (line, column.max(1)));
        before.max_by_key(position).unwrap_or(root)
    }

    /// The name of the attribute that a message of the schema is about, found by the value that the message quotes.
    pub(crate) fn attribute(&self, node: NodeId, message: &str) -> Option<String> {
        let value = message.split('\'').nth(1)?;
        let attributes = &self.doc.element(node)?.attributes;
        let found = attributes.iter().find(|attribute| attribute.value == value)?;
        Some(found.name.local_name.to_string())
    }

    /// Whether a violation of the schema is recorded for an attribute on this line.
    pub(crate) fn has_violation(&self, line: usize, name: &str) -> bool {
        let is_same = |error: &OptionsError| match &error.kind {
            OptionsErrorKind::SchemaViolation { attribute: Some(attribute), .. } => attribute == name,
            _ => false,
        };
        self.errors.iter().any(|error| error.line == line && is_same(error))
    }

    /// Adds an error at an element.
    pub(crate) fn add_error(&mut self, node: NodeId, kind: OptionsErrorKind) {
        self.errors.push(OptionsError::new(self.doc.node_line(node), self.name(node), kind));
    }

    /// The child element with this name.
    pub(crate) fn child(&self, node: NodeId, name: &str) -> Option<NodeId> {
        let is_named =
            |child: &NodeId| self.doc.element(*child).is_some_and(|element| element.name.local_name == name);
        self.doc.children_iter(node).find(is_named)
    }

    /// An attribute's value. One that the schema accepts and that cannot be read is an error too.
    pub(crate) fn value<T: FromStr>(&mut self, node: NodeId, name: &'static str) -> Option<T> {
        let text = self.doc.get_attribute(node, name)?.trim().to_string();
        let value = text.parse().ok();
        if value.is_none() {
            self.add_error(node, OptionsErrorKind::UnreadableValue { attribute: name, text });
        }
        value
    }

    /// Reads a time in milliseconds, if the attribute is present.
    pub(crate) fn read_milliseconds(&mut self, node: NodeId, name: &'static str, into: &mut Micros) {
        if let Some(milliseconds) = self.value::<Micros>(node, name) {
            *into = milliseconds * MICROS_PER_MILLISECOND;
        }
    }

    /// Reads a time in milliseconds, if the attribute is present.
    pub(crate) fn read_duration(&mut self, node: NodeId, name: &'static str, into: &mut Duration) {
        if let Some(milliseconds) = self.value(node, name) {
            *into = Duration::from_millis(milliseconds);
        }
    }

    /// Reads a number, if the attribute is present.
    pub(crate) fn read_number<T: FromStr>(&mut self, node: NodeId, name: &'static str, into: &mut T) {
        if let Some(value) = self.value(node, name) {
            *into = value;
        }
    }

    /// Reads one of two choices, if the attribute is present; the schema accepts no other.
    pub(crate) fn read_choice<T>(&self, node: NodeId, name: &str, choices: [(&str, T); 2], into: &mut T) {
        let chosen = self.doc.get_attribute(node, name);
        if let Some((_, value)) = choices.into_iter().find(|(choice, _)| chosen == Some(choice)) {
            *into = value;
        }
    }
}

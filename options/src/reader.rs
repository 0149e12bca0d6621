//! Access to the elements and attributes of the XML tree, and collection of errors with their lines.

use crate::{OptionsError, OptionsErrorKind};
use birchreach_health::Micros;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;
use uppsala::{Document, NodeId};

const MICROS_PER_MILLISECOND: Micros = 1_000;

/// Reads values from a document that the schema accepts, and collects the errors that the schema cannot express.
pub(crate) struct Reader<'a> {
    pub(crate) document: &'a Document<'a>,
    pub(crate) errors: Vec<OptionsError>,
}

impl Reader<'_> {
    /// Returns the name of an element, or `file` for a node that is not an element.
    pub(crate) fn name(&self, node: NodeId) -> String {
        self.document
            .element(node)
            .map_or_else(|| "file".into(), |element| element.name.local_name.to_string())
    }

    /// Returns the element that begins at this position, or else the last element that begins before it.
    pub(crate) fn element_at(&self, line: usize, column: usize) -> NodeId {
        let Some(root) = self.document.document_element() else { return self.document.root() };
        let position = |node: &NodeId| (self.document.node_line(*node), self.document.node_column(*node));
        let nodes = std::iter::once(root).chain(self.document.descendants(root));
        let elements = nodes.filter(|node| self.document.element(*node).is_some());
        let before = elements.filter(|node| position(node) <= (line, column.max(1)));
        before.max_by_key(position).unwrap_or(root)
    }

    /// Returns the name of the attribute whose value a message of the schema validator quotes. Returns `None` if the
    /// message quotes no value, or one that no attribute has.
    pub(crate) fn attribute(&self, node: NodeId, message: &str) -> Option<String> {
        let value = message.split('\'').nth(1)?;
        let attributes = &self.document.element(node)?.attributes;
        let found = attributes.iter().find(|attribute| attribute.value == value)?;
        Some(found.name.local_name.to_string())
    }

    /// Returns whether a violation of the schema by this attribute on this line has already been added.
    pub(crate) fn has_violation(&self, line: usize, name: &str) -> bool {
        let is_same = |error: &OptionsError| match &error.kind {
            OptionsErrorKind::SchemaViolation { attribute: Some(attribute), .. } => attribute == name,
            _ => false,
        };
        self.errors.iter().any(|error| error.line == line && is_same(error))
    }

    /// Adds an error at an element.
    pub(crate) fn add_error(&mut self, node: NodeId, kind: OptionsErrorKind) {
        self.errors.push(OptionsError::new(self.document.node_line(node), self.name(node), kind));
    }

    /// Returns the first child element with this name.
    pub(crate) fn child(&self, node: NodeId, name: &str) -> Option<NodeId> {
        let is_named = |child: &NodeId| {
            self.document.element(*child).is_some_and(|element| element.name.local_name == name)
        };
        self.document.children_iter(node).find(is_named)
    }

    /// Returns the number in an attribute, or `None` if the attribute is missing. A value that the schema accepts but
    /// `T` does not adds an error and gives `None`.
    pub(crate) fn number<T: FromStr>(&mut self, node: NodeId, attribute: &'static str) -> Option<T> {
        let text = self.document.get_attribute(node, attribute)?.trim().to_string();
        let number = text.parse().ok();
        if number.is_none() {
            self.add_error(node, OptionsErrorKind::InvalidNumber { attribute, found: text });
        }
        number
    }

    /// Returns the address in an attribute, or `None` if the attribute is missing. The schema accepts addresses whose
    /// numbers are out of range, such as 999.0.0.1:1; these add an error and give `None`.
    pub(crate) fn address(&mut self, node: NodeId, attribute: &'static str) -> Option<SocketAddr> {
        let text = self.document.get_attribute(node, attribute)?.trim().to_string();
        self.parse_address(node, attribute, &text)
    }

    /// Parses an address from an attribute. An invalid address adds an error and gives `None`.
    pub(crate) fn parse_address(
        &mut self,
        node: NodeId,
        attribute: &'static str,
        text: &str,
    ) -> Option<SocketAddr> {
        let address = text.parse().ok();
        if address.is_none() {
            self.add_error(node, OptionsErrorKind::InvalidAddress { attribute, found: text.into() });
        }
        address
    }

    /// Overwrites a time with the value of an attribute in milliseconds, if the attribute is present.
    pub(crate) fn read_milliseconds(&mut self, node: NodeId, name: &'static str, target: &mut Micros) {
        if let Some(milliseconds) = self.number::<Micros>(node, name) {
            *target = milliseconds * MICROS_PER_MILLISECOND;
        }
    }

    /// Overwrites a duration with the value of an attribute in milliseconds, if the attribute is present.
    pub(crate) fn read_duration(&mut self, node: NodeId, name: &'static str, target: &mut Duration) {
        if let Some(milliseconds) = self.number(node, name) {
            *target = Duration::from_millis(milliseconds);
        }
    }

    /// Overwrites a number with the value of an attribute, if the attribute is present.
    pub(crate) fn read_number<T: FromStr>(&mut self, node: NodeId, name: &'static str, target: &mut T) {
        if let Some(number) = self.number(node, name) {
            *target = number;
        }
    }

    /// Overwrites a value with the choice that an attribute names, if the attribute is present. The schema accepts only these
    /// two names.
    pub(crate) fn read_choice<T>(&self, node: NodeId, name: &str, choices: [(&str, T); 2], target: &mut T) {
        let chosen = self.document.get_attribute(node, name);
        if let Some((_, value)) = choices.into_iter().find(|(choice, _)| chosen == Some(choice)) {
            *target = value;
        }
    }
}

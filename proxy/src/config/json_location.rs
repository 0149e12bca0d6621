//! The line of a fault in JSON, found by the path of keys that its message begins with.

use super::error::ConfigFault;
use std::path::Path;

/// Finds the line and the element of a message that begins with the path of keys.
pub(super) fn locate(file: &Path, text: &str, message: &str) -> ConfigFault {
    let mut element = Vec::new();
    let mut rest = message;
    while let Some((key, more)) = rest.split_once(": ").filter(|(key, _)| !key.contains(' ')) {
        element.push(key);
        rest = more;
    }
    let line_of =
        |at: usize| 1 + text.as_bytes()[..at.min(text.len())].iter().filter(|b| **b == b'\n').count();
    let line = match serde_json::from_str::<serde::de::IgnoredAny>(text) {
        Err(e) => e.line(),
        Ok(_) => value_offset(text, &element.join(".")).map_or(1, line_of),
    };
    let element = if element.is_empty() { "file".into() } else { element.join(": ") };
    ConfigFault { file: file.into(), line, element, message: rest.into() }
}

/// Where the value of `a.b[2].c` begins, or the last part of the path that is there.
fn value_offset(text: &str, path: &str) -> Option<usize> {
    use jsonc_parser::ast::Value as Node;
    use jsonc_parser::common::Ranged;
    let ast = jsonc_parser::parse_to_ast(text, &Default::default(), &Default::default()).ok()?;
    let root = ast.value?;
    let mut node = &root;
    for key in path.split(['.', '[']).filter(|key| !key.is_empty()) {
        let next = match (node, key.strip_suffix(']').and_then(|n| n.parse::<usize>().ok())) {
            (Node::Array(list), Some(n)) => list.elements.get(n),
            (Node::Object(object), _) => object.get(key).map(|property| &property.value),
            _ => None,
        };
        match next {
            Some(next) => node = next,
            None => break,
        }
    }
    Some(node.range().start)
}

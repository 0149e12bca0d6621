//! Finds the lines of keys in a JSON text.

/// Returns the line of the value at a path such as `a.b[2].c`, or of the last part of the path that exists. For a text
/// that is not valid JSON, it is the line of the error.
pub(super) fn line_of(text: &str, path: &str) -> usize {
    let line_at =
        |offset: usize| 1 + text.as_bytes()[..offset.min(text.len())].iter().filter(|b| **b == b'\n').count();
    match serde_json::from_str::<serde::de::IgnoredAny>(text) {
        Err(error) => error.line(),
        Ok(_) => value_offset(text, path).map_or(1, line_at),
    }
}

/// Returns the offset at which the value at a path begins, or that of the last part of the path that exists.
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

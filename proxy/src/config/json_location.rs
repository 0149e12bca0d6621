//! The line of a key in JSON.

/// The line of the value at a path such as `a.b[2].c`, or of the last part of the path that is there. Of a text that is not JSON it is
/// the line where reading ended.
pub(super) fn line_of(text: &str, path: &str) -> usize {
    let line_at =
        |offset: usize| 1 + text.as_bytes()[..offset.min(text.len())].iter().filter(|b| **b == b'\n').count();
    match serde_json::from_str::<serde::de::IgnoredAny>(text) {
        Err(error) => error.line(),
        Ok(_) => value_offset(text, path).map_or(1, line_at),
    }
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

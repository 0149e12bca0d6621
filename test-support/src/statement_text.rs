//! Reading of statements as text, as far as test databases need it.

/// The value after `name` (with its `=`) in the statement's comment.
pub(crate) fn comment_field<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let comment = query.split("/* ").nth(1)?;
    comment.split([',', ' ']).find_map(|field| field.strip_prefix(name))
}

/// The statement's quoted strings, in their order.
pub(crate) fn quoted_strings(query: &str) -> Vec<&str> {
    query.split('\'').skip(1).step_by(2).collect()
}

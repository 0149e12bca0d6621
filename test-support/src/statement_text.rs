//! Extracts fields from the text of statements, as far as test databases need it.

/// The value after `name` (which includes the `=`) in the statement's comment; `None` if the name is missing.
pub(crate) fn comment_field<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let comment = query.split("/* ").nth(1)?;
    comment.split([',', ' ']).find_map(|field| field.strip_prefix(name))
}

/// The contents of the statement's single-quoted strings, in order.
pub(crate) fn quoted_strings(query: &str) -> Vec<&str> {
    query.split('\'').skip(1).step_by(2).collect()
}

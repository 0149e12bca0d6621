//! Parser for the byte notation of the exchanges, which `exchanges/README` describes.

use std::collections::HashMap;

/// Bytes to send or to match. `None` matches any byte.
pub(super) type Bytes = Vec<Option<u8>>;

/// Bytes by the name with which `$NAME` refers to them.
pub(super) type NamedBytes = HashMap<String, Bytes>;

/// The size of the length field of messages and values.
const LENGTH_BYTES: usize = 4;

/// Returns the bytes of a text, without parsing the notation.
pub(super) fn literal(text: &str) -> Bytes {
    text.bytes().map(Some).collect()
}

/// Parses the notation.
pub(super) fn parse(text: &str, names: &NamedBytes) -> Bytes {
    let mut parser = Parser { names, output: Bytes::new(), open_brackets: Vec::new() };
    let mut rest = text.trim();
    while !rest.is_empty() {
        rest = parser.parse_next(rest).trim_start();
    }
    assert!(parser.open_brackets.is_empty(), "a bracket is not closed: {text}");
    parser.output
}

/// An open bracket. `start` is the offset of its length field, or of the body for [`OpenBracket::Http`].
#[derive(Clone, Copy)]
enum OpenBracket {
    /// `http[`: the `Content-Length` header before the body has the length.
    Http { start: usize },
    /// `X[` or `[`: the length includes the length field.
    Message { start: usize },
    /// `(`: the length does not include the length field.
    Value { start: usize },
}

struct Parser<'a> {
    names: &'a NamedBytes,
    output: Bytes,
    open_brackets: Vec<OpenBracket>,
}

impl Parser<'_> {
    /// Parses the quoted text or the word at the start, and returns the rest.
    fn parse_next<'t>(&mut self, text: &'t str) -> &'t str {
        if let Some(quote) = text.chars().next().filter(|first| "\"'".contains(*first)) {
            let quoted = &text[1..];
            let end = quoted.find(quote).expect("a quote is not closed");
            self.output.extend(literal(&quoted[..end].replace("\\r", "\r").replace("\\n", "\n")));
            return &quoted[end + 1..];
        }
        let word = text.split(' ').next().unwrap();
        self.parse_word(word);
        &text[word.len()..]
    }

    fn parse_word(&mut self, word: &str) {
        if let Some(name) = word.strip_prefix('$') {
            self.output.extend(&self.names[name]);
        } else if word == "http[" {
            self.open_brackets.push(OpenBracket::Http { start: self.output.len() });
        } else if let Some(tag) = word.strip_suffix('[') {
            self.output.extend(literal(tag));
            self.open_brackets.push(OpenBracket::Message { start: self.output.len() });
            self.output.extend([Some(0); LENGTH_BYTES]);
        } else if word == "(" {
            self.open_brackets.push(OpenBracket::Value { start: self.output.len() });
            self.output.extend([Some(0); LENGTH_BYTES]);
        } else if word == "]" || word == ")" {
            self.close_bracket(word);
        } else if let Some((count, repeated)) = word.split_once('*') {
            let repeated = parse(repeated, self.names);
            self.output.extend(repeated.repeat(count.parse().unwrap()));
        } else if word.starts_with('?') {
            self.output.extend(vec![None; word.len()]);
        } else {
            let byte_at = |offset| u8::from_str_radix(&word[offset..offset + 2], 16).unwrap();
            self.output.extend((0..word.len()).step_by(2).map(byte_at).map(Some));
        }
    }

    /// Closes the innermost bracket and writes its length.
    fn close_bracket(&mut self, word: &str) {
        let end = self.output.len();
        match (self.open_brackets.pop().unwrap(), word) {
            (OpenBracket::Http { start }, "]") => {
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", end - start);
                self.output.splice(start..start, literal(&head));
            }
            (OpenBracket::Message { start }, "]") => self.write_length(start, end - start),
            (OpenBracket::Value { start }, ")") => self.write_length(start, end - start - LENGTH_BYTES),
            _ => panic!("{word} does not match the innermost open bracket"),
        }
    }

    fn write_length(&mut self, start: usize, length: usize) {
        let field = (length as u32).to_be_bytes().map(Some);
        self.output.splice(start..start + LENGTH_BYTES, field);
    }
}

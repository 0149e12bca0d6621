//! Bytes as the exchanges write them.

use super::Player;

/// A byte to be sent, or matched; `None` matches any.
pub type Bytes = Vec<Option<u8>>;

pub fn plain(text: &str) -> Bytes {
    text.bytes().map(Some).collect()
}

impl Player {
    pub(super) fn bytes(&self, text: &str) -> Bytes {
        let mut rest = text.trim();
        let mut open: Vec<(usize, bool)> = Vec::new();
        let mut out = Bytes::new();
        while !rest.is_empty() {
            let word = rest.split(' ').next().unwrap();
            let mut used = word.len();
            if let Some(quote) = rest.chars().next().filter(|c| "\"'".contains(*c)) {
                let quoted = &rest[1..];
                let end = quoted.find(quote).expect("an open quote");
                out.extend(plain(&quoted[..end].replace("\\r", "\r").replace("\\n", "\n")));
                used = end + 2;
            } else if let Some(name) = word.strip_prefix('$') {
                out.extend(&self.names[name]);
            } else if word == "http[" {
                open.push((out.len(), true));
            } else if let Some(tag) = word.strip_suffix('[') {
                out.extend(plain(tag));
                open.push((out.len(), false));
                out.extend([Some(0); 4]);
            } else if word == "(" {
                open.push((out.len(), false));
                out.extend([Some(0); 4]);
            } else if word == "]" || word == ")" {
                let (start, http) = open.pop().unwrap();
                let length = out.len() - start - if word == ")" { 4 } else { 0 };
                if http {
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
                    out.splice(start..start, plain(&head));
                } else {
                    out.splice(start..start + 4, (length as u32).to_be_bytes().map(Some));
                }
            } else if let Some((times, what)) = word.split_once('*') {
                let what = self.bytes(what);
                out.extend(what.repeat(times.parse().unwrap()));
            } else if word.starts_with('?') {
                out.extend(vec![None; used]);
            } else {
                let hex = |at| u8::from_str_radix(&word[at..at + 2], 16).unwrap();
                out.extend((0..word.len()).step_by(2).map(hex).map(Some));
            }
            rest = rest[used..].trim_start();
        }
        assert!(open.is_empty(), "an open bracket");
        out
    }
}

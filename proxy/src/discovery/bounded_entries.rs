//! Deserialization of list entries, with a limit on their number.

use super::list::ListedEndpoint;
use serde::de::{Deserializer, Error, SeqAccess, Visitor};
use std::fmt;

/// The limit on the entries of a list: five times the number of servers in the largest fleet.
pub(super) const MAX_ENTRIES: usize = 16_384;

/// Deserializes the entries. Stops with an error at the first entry beyond [`MAX_ENTRIES`].
pub(super) fn deserialize<'de, D>(deserializer: D) -> Result<Vec<ListedEndpoint>, D::Error>
where
    D: Deserializer<'de>,
{
    deserializer.deserialize_seq(EntriesVisitor)
}

struct EntriesVisitor;

impl<'de> Visitor<'de> for EntriesVisitor {
    type Value = Vec<ListedEndpoint>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a sequence")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut sequence: A) -> Result<Self::Value, A::Error> {
        let mut entries = Vec::new();
        while let Some(entry) = sequence.next_element()? {
            if entries.len() == MAX_ENTRIES {
                return Err(A::Error::custom(format_args!("more than {MAX_ENTRIES} entries")));
            }
            entries.push(entry);
        }
        Ok(entries)
    }
}

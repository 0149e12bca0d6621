//! Tokens name sources one to one.

use super::*;
use std::collections::HashSet;

/// More keys than there are slabs, so that an overlap between two slabs would show.
const KEYS: usize = 100;

#[test]
fn every_source_has_a_unique_token() {
    // Given all sources, those of slabs with many keys
    let keyed = (0..KEYS).flat_map(|key| KEYED_SOURCES.map(|source| source(key)));
    let all: Vec<Source> = FIXED_SOURCES.into_iter().chain(keyed).collect();

    // When each is named by a token
    let tokens: HashSet<Token> = all.iter().map(|source| source.token()).collect();

    // Then no two have the same, and each is read back
    assert_eq!(tokens.len(), all.len());
    assert!(all.iter().all(|source| Source::from_token(source.token()) == *source));
}

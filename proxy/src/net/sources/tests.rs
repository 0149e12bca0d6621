//! Tokens name sources one to one.

use super::*;
use std::collections::HashSet;

/// More keys than there are slabs, so that an overlap between two slabs would show.
const KEYS: usize = 100;

#[test]
fn every_source_has_a_token_of_its_own() {
    // Given all sources, those of slabs with many keys
    let slabs = (0..KEYS).flat_map(|key| SLABS.map(|slab| slab(key)));
    let all: Vec<Source> = SINGLE.into_iter().chain(slabs).collect();

    // When each is named by a token
    let tokens: HashSet<Token> = all.iter().map(|source| source.token()).collect();

    // Then no two have the same, and each is read back
    assert_eq!(tokens.len(), all.len());
    assert!(all.iter().all(|source| Source::from_token(source.token()) == *source));
}

//! Each token identifies exactly one source.

use super::*;
use std::collections::HashSet;

/// The number of keys is larger than the number of slabs, so that overlapping tokens of two slabs are detected.
const KEYS: usize = 100;

#[test]
fn every_source_has_a_unique_token_that_maps_back_to_it() {
    // Given all sources, with many keys for each slab
    let keyed = (0..KEYS).flat_map(|key| KEYED_SOURCES.map(|source| source(key)));
    let all: Vec<Source> = FIXED_SOURCES.into_iter().chain(keyed).collect();

    // When each source is converted to a token
    let tokens: HashSet<Token> = all.iter().map(|source| source.token()).collect();

    // Then no two sources have the same token, and each token converts back to its source
    assert_eq!(tokens.len(), all.len());
    assert!(all.iter().all(|source| Source::from_token(source.token()) == *source));
}

//! Which reads are compared.

mod common;
use birchreach_shard_split::SplitDefinition;
use common::{Disturbances, SECOND, World, key};

#[test]
fn covered_ranges_are_queried_less() {
    let mut world = World::new(4, 2, 600, Disturbances::default());
    world.pass(2 * SECOND, 200.0);
    let before = world.queries;
    world.pass(58 * SECOND, 200.0);
    let covered = world.queries;

    world.pass(2 * SECOND, 200.0);

    let after = world.queries - covered;
    assert!(after * 4 < before, "{before} queries in two seconds, {after} once all is covered");
}

#[test]
fn equal_keys_are_in_one_range() {
    assert_eq!(
        SplitDefinition::range(SplitDefinition::hash(&key(0))),
        SplitDefinition::range(SplitDefinition::hash(b"key-0"))
    );
}

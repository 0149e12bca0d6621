//! Selection of the reads that are compared.

mod common;
use birchreach_shard_split::SplitDefinition;
use common::{Disturbances, SECOND, Simulation, key};

#[test]
fn covered_ranges_are_compared_less_often() {
    let mut simulation = Simulation::new(4, 2, 600, Disturbances::default());
    simulation.advance(2 * SECOND, 200.0);
    let before = simulation.queries;
    simulation.advance(58 * SECOND, 200.0);
    let until_covered = simulation.queries;

    simulation.advance(2 * SECOND, 200.0);

    let after = simulation.queries - until_covered;
    assert!(after * 4 < before, "{before} queries in two seconds at first, {after} with full coverage");
}

#[test]
fn equal_keys_belong_to_the_same_range() {
    assert_eq!(
        SplitDefinition::range(SplitDefinition::hash(&key(0))),
        SplitDefinition::range(SplitDefinition::hash(b"key-0"))
    );
}

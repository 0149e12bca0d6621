//! Which reads are compared.

mod common;
use birchreach_shard_split::SplitDefinition;
use common::{Disturbances, SECOND, Simulation, key};

#[test]
fn covered_ranges_are_queried_less() {
    let mut simulation = Simulation::new(4, 2, 600, Disturbances::default());
    simulation.advance(2 * SECOND, 200.0);
    let before = simulation.queries;
    simulation.advance(58 * SECOND, 200.0);
    let covered = simulation.queries;

    simulation.advance(2 * SECOND, 200.0);

    let after = simulation.queries - covered;
    assert!(after * 4 < before, "{before} queries in two seconds, {after} once all is covered");
}

#[test]
fn equal_keys_are_in_one_range() {
    assert_eq!(
        SplitDefinition::range(SplitDefinition::hash(&key(0))),
        SplitDefinition::range(SplitDefinition::hash(b"key-0"))
    );
}

//! What is flagged, what is covered, and what is said of it; and each check finds its fault.

mod common;
use birchreach_shard_split::faults::{Fault as InjectedFault, with};
use birchreach_shard_split::{Definition, IncompleteReason, RANGES, Report, SplitVerifier, Verdict};
use common::{Fault, S, Trouble, World, definition, key, settings};

type Held = Result<(), String>;

macro_rules! hold {
    ($what:expr, $($say:tt)+) => {
        let holds: bool = $what;
        if !holds {
            return Err(format!($($say)+));
        }
    };
}

const ROUGH: Trouble = Trouble { writes: 15.0, lag: 2 * S, failovers: 0.1, restarts: 0.05, lost: 0.05 };

fn only_faults() -> Held {
    for seed in 0..40 {
        let mut world = World::new(seed, 3, 60, ROUGH);
        world.pass(60 * S, 60.0);
        let (_, wrong) = world.found();
        hold!(wrong.is_empty(), "seed {seed}: {wrong:?}");
        let agreed: u64 = world.all.iter().map(|s| s.counts.agreed).sum();
        hold!(agreed > 300, "seed {seed}: hardly anything was compared: {agreed}");
    }
    Ok(())
}

fn faults_are_found() -> Held {
    for seed in 0..15 {
        let mut world = World::new(seed, 3, 60, Trouble { failovers: 0.02, restarts: 0.01, ..ROUGH });
        // Among the keys that are written all the time, too.
        for (n, fault) in [
            (3, Fault::Other),
            (17, Fault::Missing),
            (30, Fault::Extra),
            (45, Fault::Missing),
            (52, Fault::Other),
        ] {
            world.faults.insert(n, fault);
        }
        world.pass(150 * S, 60.0);
        let (found, wrong) = world.found();
        hold!(wrong.is_empty(), "seed {seed}: {wrong:?}");
        hold!(found.len() == 5, "seed {seed}: of five only {found:?}");
        let heard = world.all.len();
        let dirty = world.all.iter().all(|s| matches!(s.verdict(heard), Verdict::Dirty(_)));
        hold!(dirty, "seed {seed}: {:?}", world.all[0].verdict(heard));
    }
    Ok(())
}

fn counts_once() -> Held {
    let of = |n: u32| {
        let report = Report {
            definition_digest: definition().digest(),
            compared: vec![n; RANGES],
            differences: vec![],
        };
        report.encode()
    };
    // By origin, number: each order, some twice.
    let told = [(2u64, 1u64, 5u32), (2, 2, 7), (3, 1, 1), (2, 2, 7), (3, 1, 1), (2, 1, 5)];
    let orders: [[usize; 6]; 3] = [[0, 1, 2, 3, 4, 5], [5, 4, 3, 2, 1, 0], [1, 0, 2, 5, 3, 4]];
    for order in orders {
        let mut split = SplitVerifier::new(settings(3), 1, 0);
        for (origin, number, n) in order.map(|i| told[i]) {
            let _ = split.receive_report(S, origin, number, 0, &of(n));
        }
        hold!(split.coverage(0) == (8, 2), "{order:?}: {:?}", split.coverage(0));
    }
    Ok(())
}

fn definitions_do_not_mix() -> Held {
    let other = Definition { split_at: 1 << 30, ..definition() };
    let report =
        Report { definition_digest: other.digest(), compared: vec![9; RANGES], differences: vec![(0, 3, 1)] };
    let mut split = SplitVerifier::new(settings(2), 1, 0);
    hold!(split.receive_report(S, 2, 1, 0, &report.encode()).is_err(), "it is taken");
    hold!(split.coverage(0) == (0, 0) && !matches!(split.verdict(2), Verdict::Dirty(_)), "it counts");
    Ok(())
}

fn clean_is_of_all() -> Held {
    let of = |compared: Vec<u32>| {
        Report { definition_digest: definition().digest(), compared, differences: vec![] }.encode()
    };
    let new = |compared: &dyn Fn(usize) -> u32| {
        let mut split =
            SplitVerifier::new(birchreach_shard_split::Settings { min_processes: 2, ..settings(3) }, 1, 0);
        for origin in 2..=4 {
            let _ = split.receive_report(S, origin, 1, 0, &of((0..RANGES).map(compared).collect()));
        }
        split
    };
    hold!(
        new(&|_| 1).verdict(3) == Verdict::Clean,
        "three times one is enough: {:?}",
        new(&|_| 1).verdict(3)
    );
    let one_lacks = new(&|range| u32::from(range != 7)).verdict(3);
    hold!(
        one_lacks
            == Verdict::Incomplete(IncompleteReason {
                ranges_below_comparisons: 1,
                ranges_below_processes: 1,
                silent_members: 0
            }),
        "{one_lacks:?}"
    );
    let cut_off = new(&|_| 9).verdict(2);
    hold!(
        cut_off
            == Verdict::Incomplete(IncompleteReason {
                ranges_below_comparisons: 0,
                ranges_below_processes: 0,
                silent_members: 1
            }),
        "{cut_off:?}"
    );
    // What was compared long ago does not count.
    let mut split = SplitVerifier::new(settings(1), 1, 0);
    let mut world = World::new(1, 1, 600, Trouble::default());
    world.pass(60 * S, 200.0);
    hold!(world.all[0].verdict(1) == Verdict::Clean, "{:?}", world.all[0].verdict(1));
    world.pass(700 * S, 0.0);
    hold!(
        matches!(world.all[0].verdict(1), Verdict::Incomplete(l) if l.ranges_below_comparisons == RANGES),
        "{:?}",
        world.all[0].verdict(1)
    );
    hold!(
        split.report_if_due(2 * S).is_some() && matches!(split.verdict(1), Verdict::Incomplete(_)),
        "nothing was compared"
    );
    Ok(())
}

fn bounded() -> Held {
    let mut world = World::new(2, 1, 3_000, Trouble { lost: 0.0, ..Trouble::default() });
    world.faults.extend((0..3_000).map(|n| (n, Fault::Other)));
    world.pass(120 * S, 400.0);
    let split = &world.all[0];
    let flags = split.differences().count();
    hold!(flags > 100, "it shows nothing: {flags}");
    hold!(
        split.comparison_count() <= 64 && flags <= 4 * RANGES,
        "{} under way, {flags} flags",
        split.comparison_count()
    );
    let mut liar = SplitVerifier::new(settings(2), 1, 0);
    let report =
        Report { definition_digest: definition().digest(), compared: vec![1; RANGES], differences: vec![] }
            .encode();
    (2..10_000).for_each(|origin| {
        let _ = liar.receive_report(S, origin, 1, 0, &report);
    });
    hold!(liar.origin_count() <= 4_096, "{} origins", liar.origin_count());
    Ok(())
}

/// The same difference twice is none where a process was another the second time: a restart or a failover lies between.
fn processes_stay() -> Held {
    use birchreach_shard_split::judge::ParentSample;
    use birchreach_shard_split::{ComparisonQuery, PositionSample, QueryResult};
    let mut split = SplitVerifier::new(settings(1), 1, 0);
    let (low, high, seen) = (10 * S, 11 * S, 12 * S);
    split.record_read(0, 0, &key(1), Some(1));
    let flag = |split: &mut SplitVerifier, now, child, parent| {
        let mut flag = None;
        while let Some((number, ask, ..)) = split.due_queries(now, 1).pop() {
            let told = match ask {
                ComparisonQuery::SingleRead(_) => {
                    QueryResult::SingleRead { row: Some(2), position: Some(low) }
                }
                ComparisonQuery::Sample(_) => QueryResult::Sample {
                    look: PositionSample { row: Some(2), position_before: low, position_after: high },
                    process: child,
                },
                ComparisonQuery::SampleParent => QueryResult::ParentSample {
                    parent: ParentSample { row: Some(1), committed_at: S, position: seen },
                    process: parent,
                },
            };
            flag = split.record_result(now, number, told);
        }
        flag
    };
    hold!(flag(&mut split, 20 * S, 1, 1).is_none(), "at once");
    hold!(flag(&mut split, 24 * S, 1, 2).is_none(), "the parent failed over in between");
    hold!(flag(&mut split, 28 * S, 2, 2).is_none(), "the child was restarted in between");
    hold!(flag(&mut split, 32 * S, 2, 2).is_some(), "it lasts, and is not found");
    Ok(())
}

#[test]
fn processes_must_be_the_same() {
    processes_stay().unwrap();
}

#[test]
fn only_faults_are_flagged() {
    only_faults().unwrap();
}

#[test]
fn faults_are_flagged() {
    faults_are_found().unwrap();
}

#[test]
fn reports_count_once_in_any_order() {
    counts_once().unwrap();
}

#[test]
fn definitions_do_not_mix_here() {
    definitions_do_not_mix().unwrap();
}

#[test]
fn clean_is_said_of_all() {
    clean_is_of_all().unwrap();
}

#[test]
fn tables_are_bounded() {
    bounded().unwrap();
}

#[test]
fn each_fault_is_caught() {
    let all: [(InjectedFault, fn() -> Held); 8] = [
        (InjectedFault::IgnoresCommitTime, only_faults),
        (InjectedFault::SkipsConfirmation, only_faults),
        (InjectedFault::IgnoresRestarts, processes_stay),
        (InjectedFault::NeverConfirms, faults_are_found),
        (InjectedFault::CountsTwice, counts_once),
        (InjectedFault::MixesDefinitions, definitions_do_not_mix),
        (InjectedFault::CleanWhileMembersMissing, clean_is_of_all),
        (InjectedFault::KeepsEverything, bounded),
    ];
    for (fault, check) in all {
        assert!(with(fault, check).is_err(), "{fault:?} was not caught");
    }
}

//! What is flagged, what is covered, and what is said of it; and each check finds its fault.

mod common;
use birchreach_shard_split::mutant::{Mutant, with};
use birchreach_shard_split::{Definition, Lacks, RANGES, Report, Split, Verdict};
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
        let report = Report { definition: definition().digest(), compared: vec![n; RANGES], flags: vec![] };
        report.encode()
    };
    // By origin, number: each order, some twice.
    let told = [(2u64, 1u64, 5u32), (2, 2, 7), (3, 1, 1), (2, 2, 7), (3, 1, 1), (2, 1, 5)];
    let orders: [[usize; 6]; 3] = [[0, 1, 2, 3, 4, 5], [5, 4, 3, 2, 1, 0], [1, 0, 2, 5, 3, 4]];
    for order in orders {
        let mut split = Split::new(settings(3), 1, 0);
        for (origin, number, n) in order.map(|i| told[i]) {
            let _ = split.hear(S, origin, number, 0, &of(n));
        }
        hold!(split.covered(0) == (8, 2), "{order:?}: {:?}", split.covered(0));
    }
    Ok(())
}

fn definitions_do_not_mix() -> Held {
    let other = Definition { at: 1 << 30, ..definition() };
    let report = Report { definition: other.digest(), compared: vec![9; RANGES], flags: vec![(0, 3, 1)] };
    let mut split = Split::new(settings(2), 1, 0);
    hold!(split.hear(S, 2, 1, 0, &report.encode()).is_err(), "it is taken");
    hold!(split.covered(0) == (0, 0) && !matches!(split.verdict(2), Verdict::Dirty(_)), "it counts");
    Ok(())
}

fn clean_is_of_all() -> Held {
    let of =
        |compared: Vec<u32>| Report { definition: definition().digest(), compared, flags: vec![] }.encode();
    let new = |compared: &dyn Fn(usize) -> u32| {
        let mut split = Split::new(birchreach_shard_split::Settings { processes: 2, ..settings(3) }, 1, 0);
        for origin in 2..=4 {
            let _ = split.hear(S, origin, 1, 0, &of((0..RANGES).map(compared).collect()));
        }
        split
    };
    hold!(
        new(&|_| 1).verdict(3) == Verdict::Clean,
        "three times one is enough: {:?}",
        new(&|_| 1).verdict(3)
    );
    let one_lacks = new(&|range| u32::from(range != 7)).verdict(3);
    hold!(one_lacks == Verdict::NotYet(Lacks { compared: 1, seen_by: 1, unheard: 0 }), "{one_lacks:?}");
    let cut_off = new(&|_| 9).verdict(2);
    hold!(cut_off == Verdict::NotYet(Lacks { compared: 0, seen_by: 0, unheard: 1 }), "{cut_off:?}");
    // What was compared long ago does not count.
    let mut split = Split::new(settings(1), 1, 0);
    let mut world = World::new(1, 1, 600, Trouble::default());
    world.pass(60 * S, 200.0);
    hold!(world.all[0].verdict(1) == Verdict::Clean, "{:?}", world.all[0].verdict(1));
    world.pass(700 * S, 0.0);
    hold!(
        matches!(world.all[0].verdict(1), Verdict::NotYet(l) if l.compared == RANGES),
        "{:?}",
        world.all[0].verdict(1)
    );
    hold!(
        split.say(2 * S).is_some() && matches!(split.verdict(1), Verdict::NotYet(_)),
        "nothing was compared"
    );
    Ok(())
}

fn bounded() -> Held {
    let mut world = World::new(2, 1, 3_000, Trouble { lost: 0.0, ..Trouble::default() });
    world.faults.extend((0..3_000).map(|n| (n, Fault::Other)));
    world.pass(120 * S, 400.0);
    let split = &world.all[0];
    let flags = split.flags().count();
    hold!(flags > 100, "it shows nothing: {flags}");
    hold!(split.under_way() <= 64 && flags <= 4 * RANGES, "{} under way, {flags} flags", split.under_way());
    let mut liar = Split::new(settings(2), 1, 0);
    let report =
        Report { definition: definition().digest(), compared: vec![1; RANGES], flags: vec![] }.encode();
    (2..10_000).for_each(|origin| {
        let _ = liar.hear(S, origin, 1, 0, &report);
    });
    hold!(liar.origins() <= 4_096, "{} origins", liar.origins());
    Ok(())
}

/// The same difference twice is none where a process was another the second time: a restart or a failover lies between.
fn processes_stay() -> Held {
    use birchreach_shard_split::judge::Parent;
    use birchreach_shard_split::{Ask, Look, Told};
    let mut split = Split::new(settings(1), 1, 0);
    let (low, high, seen) = (10 * S, 11 * S, 12 * S);
    split.served(0, 0, &key(1), Some(1));
    let flag = |split: &mut Split, now, child, parent| {
        let mut flag = None;
        while let Some((number, ask, ..)) = split.ask(now, 1).pop() {
            let told = match ask {
                Ask::Glance(_) => Told::Glance { row: Some(2), position: Some(low) },
                Ask::Look(_) => Told::Look { look: Look { row: Some(2), low, high }, process: child },
                Ask::Parent => {
                    Told::Parent { parent: Parent { row: Some(1), since: S, seen }, process: parent }
                }
            };
            flag = split.told(now, number, told);
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
    let all: [(Mutant, fn() -> Held); 8] = [
        (Mutant::IgnoresChanges, only_faults),
        (Mutant::FlagsAtOnce, only_faults),
        (Mutant::ForgetsProcesses, processes_stay),
        (Mutant::NeverFlags, faults_are_found),
        (Mutant::CountsTwice, counts_once),
        (Mutant::MixesDefinitions, definitions_do_not_mix),
        (Mutant::CleanWhileCutOff, clean_is_of_all),
        (Mutant::KeepsAll, bounded),
    ];
    for (mutant, check) in all {
        assert!(with(mutant, check).is_err(), "{mutant:?} was not caught");
    }
}

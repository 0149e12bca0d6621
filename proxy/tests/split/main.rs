//! Reads that are compared while a group splits, on several real processes: faults alone are confirmed, all of them, and the verdict
//! speaks for all processes.

use birchreach_test_support::fleet::{admin_call, check_settled};
use birchreach_test_support::groups::history_checks::{check_none_while_warming_up, check_rate_limit};
use birchreach_test_support::groups::traffic::{ReadRate, Traffic, TrafficProfile};
use birchreach_test_support::groups::{
    CapacityModel, Change, ClusterRig, Group, ParentLog, PlantedDifference, StatementKind, now_ms,
};
use birchreach_test_support::process::{MAX_WAIT, Process};
use birchreach_test_support::relay::NetworkFaults;
use sha2::{Digest, Sha256};
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

const SPLIT_OPTIONS: &str = "<split from='0' below='1' above='2' at='2147483648' least='1' within-ms='60000' confirm-ms='2500' \
                     reads-per-s='60' all-per-s='200' window-ms='1000'/>";

fn hash(key: &str) -> u32 {
    let hash = Sha256::digest(key.as_bytes());
    u32::from_be_bytes([hash[0], hash[1], hash[2], hash[3]])
}

/// Whether the key goes to the lower child.
fn below(key: &str) -> bool {
    hash(key) < 1 << 31
}

/// Whether the key goes to the upper child.
fn above(key: &str) -> bool {
    !below(key)
}

/// A key in each of the 64 ranges.
fn keys() -> Vec<String> {
    let mut by_range: Vec<Option<String>> = vec![None; 64];
    for n in 0..10_000 {
        let key = format!("key-{n}");
        let range = hash(&key) as usize / (1 << 26);
        by_range[range].get_or_insert(key);
    }
    by_range.into_iter().flatten().collect()
}

/// Proxies in front of a parent and two children, and clients that read all keys.
struct Rig {
    site: ClusterRig,
    all: Vec<Process>,
    traffic: Option<Traffic>,
    keys: Vec<String>,
}

impl Rig {
    fn new(n: u8, count: usize) -> Rig {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("split-{n}"));
        let program = Path::new(env!("CARGO_BIN_EXE_birchreach-proxy"));
        let own = [127, 86, n, 1];
        let at = SocketAddr::new(IpAddr::from(own), 0);
        let (work, cold) = (Duration::from_millis(1), Duration::from_secs(2));
        let load = CapacityModel {
            max_concurrent: 4,
            statement_time: work,
            slow_start_initial_fraction: 0.3,
            slow_start_window: cold,
        };
        let parent = Group::start(at, 3, 20, load.clone(), None).unwrap();
        let child = |owns_key: fn(&str) -> bool| {
            let parent_log = ParentLog { group: parent.clone(), owns_key };
            Group::start(at, 2, 30, load.clone(), Some(parent_log)).unwrap()
        };
        let groups = vec![parent.clone(), child(below), child(above)];
        let keys = keys();
        for (n, key) in keys.iter().enumerate() {
            let change = Change::Row { key: key.clone(), value: format!("{n:04x}") };
            parent.with_state(|s| s.commit(0, now_ms() - 10_000, "", change));
        }
        let site =
            ClusterRig::new(groups, count, own, program, &folder, u64::from(n), SPLIT_OPTIONS).unwrap();
        let all: Vec<Process> = (0..count).map(|n| site.start(n).unwrap()).collect();
        let mut rig = Rig { site, all, traffic: None, keys };
        rig.wait_until("join", |rig| check_settled(count, &rig.all.iter().collect::<Vec<_>>()).is_ok());
        let proxies = Arc::new(Mutex::new(rig.all.iter().map(Process::client_address).collect()));
        // Each client writes a key of its own, and reads all.
        let reads = |n: usize| {
            let read = |key: &String| ReadRate { key: key.clone(), reads_per_second: 1.0 };
            let mut reads: Vec<ReadRate> = rig.keys.iter().map(read).collect();
            reads.swap(0, n * 5);
            reads
        };
        let habit = |n| TrafficProfile {
            proxy: n,
            group: 0,
            read_rates: reads(n),
            session_fraction: 0.0,
            write_rate: 3.0,
        };
        let habits: Vec<TrafficProfile> = (0..count).map(habit).collect();
        rig.traffic = Some(Traffic::start(&proxies, &rig.site.groups, &habits, 7));
        rig
    }

    fn wait_until(&self, what: &str, mut holds: impl FnMut(&Rig) -> bool) {
        let start = Instant::now();
        while !holds(self) {
            let said: Vec<String> = self.all.iter().map(|p| admin_call(p, "split")).collect();
            assert!(start.elapsed() < 3 * MAX_WAIT, "{what}: {said:#?}");
            sleep(Duration::from_millis(100));
        }
    }

    fn all_have_verdict(&self, word: &str) -> bool {
        self.all.iter().all(|p| admin_call(p, "split").starts_with(&format!("split verdict={word} ")))
    }

    /// Confirmed differences in the logs of all processes, by kind and hash.
    fn confirmed_differences(&self) -> Vec<String> {
        let lines = self.all.iter().flat_map(|p| p.log());
        let mut all: Vec<String> = lines
            .filter(|l| l.contains("event=split-flag"))
            .filter_map(|l| {
                let word =
                    |key: &str| l.split([' ', '"']).find_map(|w| w.strip_prefix(key).map(String::from));
                Some(format!("{} {}", word("sort=")?, word("hash=")?))
            })
            .collect();
        all.sort();
        all.dedup();
        all
    }

    /// Checks that clients were served by the parent alone, and that children were read within the budget.
    fn judge(&mut self) {
        let told = self.traffic.take().unwrap().stop();
        assert!(
            told.served_fraction() > 0.5 && told.served > 200,
            "{} served, {} refused",
            told.served,
            told.rejected
        );
        for child in &self.site.groups[1..] {
            child.with_state(|s| {
                let clients = s
                    .records
                    .iter()
                    .filter(|r| matches!(r.statement, StatementKind::Read { background: false }))
                    .count();
                assert_eq!(clients, 0, "a client's read went to a child");
                let shadow = |what: &StatementKind| {
                    matches!(what, StatementKind::Read { background: true } | StatementKind::PositionRead)
                };
                // A sample reads twice; and what was in flight before a suspension.
                let most = check_rate_limit(&s.records, 1_000, 2 * 60 + 8, shadow).unwrap();
                check_none_while_warming_up(&s.records, shadow).unwrap();
                assert!(most > 0);
            });
        }
    }
}

#[test]
fn only_faults_are_confirmed_and_the_verdict_needs_all_processes() {
    let mut rig = Rig::new(1, 4);
    rig.wait_until("clean", |rig| rig.all_have_verdict("clean"));
    let [parent, first, second] = [0, 1, 2].map(|n| rig.site.groups[n].clone());
    // When the parent loses its last writes in a failover, which its children have for another second.
    parent.with_state(|s| s.fail_over(1, now_ms(), true));
    rig.site.update_discovery();
    sleep(Duration::from_secs(2));
    // When one child lags, and a replica of the other restarts from an old state.
    first.with_state(|s| s.members.iter_mut().for_each(|m| m.lag_ms = 2_500));
    let replica = (second.with_state(|s| s.primary) + 1) % 2;
    rig.site.restart(2, replica, 8_000);
    sleep(Duration::from_secs(3));
    first.with_state(|s| s.members.iter_mut().for_each(|m| m.lag_ms = 30));
    second.with_state(|s| s.fail_over(1 - s.primary, now_ms(), true));
    rig.site.update_discovery();
    // When one process is partitioned, which then has no verdict for all, and one is suspended in the middle of its samples.
    rig.site.fleet.relays.set_faults(NetworkFaults::partition(1, 4));
    rig.all[2].signal("STOP");
    rig.wait_until("cut off", |rig| admin_call(&rig.all[0], "split").contains("verdict=not-yet"));
    rig.all[2].signal("CONT");
    rig.site.fleet.relays.set_faults(NetworkFaults::default());
    rig.wait_until("clean again", |rig| rig.all_have_verdict("clean"));
    assert_eq!(rig.confirmed_differences(), Vec::<String>::new());
    rig.judge();
}

#[test]
fn planted_faults_are_confirmed_while_a_third_is_partitioned() {
    let mut rig = Rig::new(2, 3);
    let mut planted = Vec::new();
    for (n, key) in rig.keys.iter().enumerate().skip(20).step_by(7) {
        let (owner, other) = if below(key) { (1, 2) } else { (2, 1) };
        let (group, fault, sort) = match n % 3 {
            0 => (owner, PlantedDifference::Missing, "missing"),
            1 => (other, PlantedDifference::Extra, "extra"),
            _ => (owner, PlantedDifference::OtherValue("ffff".into()), "differs"),
        };
        rig.site.groups[group].with_state(|s| s.planted_differences.insert(key.clone(), fault));
        planted.push(format!("{sort} {:08x}", hash(key)));
    }
    planted.sort();
    // One of three hears from nobody while they are confirmed, and still reports what it knows.
    rig.site.fleet.relays.set_faults(NetworkFaults::partition(1, 3));
    rig.wait_until("found", |rig| rig.confirmed_differences() == planted);
    rig.site.fleet.relays.set_faults(NetworkFaults::default());
    rig.wait_until("dirty", |rig| rig.all_have_verdict("dirty"));
    assert_eq!(rig.confirmed_differences(), planted);
    rig.judge();
}

/// Two definitions in one fleet never mix, and SIGHUP ends a comparison under load.
#[test]
fn definitions_do_not_mix_and_a_reload_ends_a_comparison() {
    let mut rig = Rig::new(3, 3);
    rig.wait_until("clean", |rig| rig.all_have_verdict("clean"));
    let reload = |rig: &Rig, n: usize, split: &str| {
        let options = rig.site.fleet.options_xml(n).replace(SPLIT_OPTIONS, split);
        rig.all[n].reload(&rig.site.fleet.rig.config(n as u64 + 1), &options).unwrap();
    };
    reload(&rig, 0, &SPLIT_OPTIONS.replace("2147483648", "1073741824"));
    rig.wait_until("apart", |rig| {
        rig.all.iter().all(|p| {
            admin_call(p, "split").contains("verdict=not-yet")
                || admin_call(p, "split").contains("verdict=dirty")
        })
    });
    let metrics = admin_call(&rig.all[1], "metrics");
    assert!(metrics.contains("kind=\"split\",end=\"other-definition\""), "{metrics}");
    // By its own definition the children have other keys than they should, which it alone finds.
    rig.wait_until("by its definition", |rig| admin_call(&rig.all[0], "split").contains("verdict=dirty"));
    assert!(rig.all[1..].iter().all(|p| !admin_call(p, "split").contains("verdict=dirty")));
    reload(&rig, 0, "");
    rig.wait_until("off", |rig| admin_call(&rig.all[0], "split").starts_with("NO "));
    reload(&rig, 0, SPLIT_OPTIONS);
    rig.wait_until("clean again", |rig| rig.all_have_verdict("clean"));
    rig.judge();
}

//! Hot keys on several real processes in front of groups of databases, with faults injected: found by all processes, served from copies,
//! never stale, never over the budget.

use birchreach_test_support::fleet::{admin_call, check_settled};
use birchreach_test_support::groups::history_checks::{
    ServedRead, check_copies, check_freshness, check_none_while_warming_up, check_rate_limit,
    check_single_execution,
};
use birchreach_test_support::groups::traffic::{ReadRate, Traffic, TrafficProfile, TrafficResult};
use birchreach_test_support::groups::{CapacityModel, ClusterRig, Group, StatementKind};
use birchreach_test_support::process::{MAX_WAIT, Process};
use birchreach_test_support::relay::NetworkFaults;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

const HOT_OPTIONS: &str =
    "<hot bears='30' copies-per-s='10' reads-per-s='10' all-per-s='60' window-ms='2000'/>";
/// Ten a second over all processes in any two seconds, and what a process that was suspended may have had in flight.
const MAX_COPIES_IN_A_WINDOW: usize = 20 + 5;

/// Proxies in front of four groups of databases, one of which has the key that gets hot.
struct Rig {
    site: ClusterRig,
    all: Vec<Option<Process>>,
    proxies: Arc<Mutex<Vec<Option<SocketAddr>>>>,
}

impl Rig {
    fn new(n: u8, count: usize, more: &str) -> Rig {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("hot-{n}"));
        let program = Path::new(env!("CARGO_BIN_EXE_birchreach-proxy"));
        let own = [127, 87, n, 1];
        let (work, cold) = (Duration::from_millis(3), Duration::from_secs(3));
        let load = CapacityModel {
            max_concurrent: 2,
            statement_time: work,
            slow_start_initial_fraction: 0.3,
            slow_start_window: cold,
        };
        let groups = ClusterRig::groups(4, 3, own, 20, &load).unwrap();
        let site = ClusterRig::new(groups, count, own, program, &folder, u64::from(n), more).unwrap();
        let all: Vec<Option<Process>> = (0..count).map(|n| Some(site.start(n).unwrap())).collect();
        let proxies = Arc::new(Mutex::new(all.iter().map(|p| p.as_ref()?.client_address()).collect()));
        let rig = Rig { site, all, proxies };
        rig.wait_until("join", || check_settled(count, &rig.running()).is_ok());
        rig
    }

    fn running(&self) -> Vec<&Process> {
        self.all.iter().flatten().collect()
    }

    fn wait_until(&self, what: &str, mut holds: impl FnMut() -> bool) {
        let start = Instant::now();
        while !holds() {
            let said: Vec<String> =
                self.running().iter().map(|p| admin_call(p, "hot") + &admin_call(p, "fleet")).collect();
            assert!(start.elapsed() < 2 * MAX_WAIT, "{what}: {said:#?}");
            sleep(Duration::from_millis(50));
        }
    }

    /// Whether all processes have so many hot keys.
    fn all_have_hot_keys(&self, keys: usize) -> bool {
        let word = format!("hot keys={keys} ");
        self.running().iter().all(|p| admin_call(p, "hot").starts_with(&word))
    }

    /// Reads that copies served, over all processes.
    fn served(&self) -> u64 {
        let of = |p: &&Process| {
            let text = admin_call(p, "hot");
            text.split_whitespace().find_map(|w| w.strip_prefix("served=")?.parse::<u64>().ok()).unwrap_or(0)
        };
        self.running().iter().map(of).sum()
    }

    /// Clients that read the hot key at this rate each, and another one seldom; two of them write.
    fn traffic(&self, rate: f64) -> Traffic {
        let read = |key: &str, reads_per_second| ReadRate { key: key.into(), reads_per_second };
        let reads = vec![read("hot", rate), read("cool", 1.0)];
        let habit = |n| TrafficProfile {
            proxy: n,
            group: 0,
            read_rates: reads.clone(),
            session_fraction: 0.3,
            write_rate: if n < 2 { 2.0 } else { 0.0 },
        };
        let habits: Vec<TrafficProfile> = (0..self.all.len()).map(habit).collect();
        Traffic::start(&self.proxies, &self.site.groups, &habits, 1)
    }

    fn restart(&mut self, n: usize) {
        self.all[n] = None;
        self.all[n] = Some(self.site.start(n).unwrap());
        self.proxies.lock().unwrap()[n] = self.all[n].as_ref().and_then(Process::client_address);
    }

    /// Checks what databases and clients recorded: no stale read, no false claim of a position, no window over the budget, no load on cold
    /// databases, no write twice.
    fn judge(&self, told: &TrafficResult) {
        let (mut checked, mut highest, mut copies) = (0, 0, 0);
        let home = self.site.groups[0].with_state(|s| (s.log.clone(), s.lost_commits.clone()));
        for (n, group) in self.site.groups.iter().enumerate() {
            let of =
                told.reads.iter().filter(|served| served.group == n as u32).map(|served| served.read.clone());
            let reads: Vec<ServedRead> = of.collect();
            group.with_state(|s| {
                checked += check_freshness(&reads, &s.log, &s.lost_commits).unwrap();
                copies += check_copies(&s.log, 0, &home.0, &home.1).unwrap();
                highest = highest.max(
                    check_rate_limit(&s.records, 2_000, MAX_COPIES_IN_A_WINDOW, |what| {
                        *what == StatementKind::CopyWrite
                    })
                    .unwrap(),
                );
                let home = |what: &StatementKind| *what == StatementKind::Read { background: true };
                // Each copy reads its row twice.
                check_rate_limit(&s.records, 2_000, 2 * MAX_COPIES_IN_A_WINDOW, home).unwrap();
                check_none_while_warming_up(&s.records, |what| {
                    matches!(what, StatementKind::CopyWrite | StatementKind::Read { background: true })
                })
                .unwrap();
            });
        }
        let states: Vec<_> = self
            .site
            .groups
            .iter()
            .map(|g| g.with_state(|s| (s.records.clone(), s.log.clone(), s.lost_commits.clone())))
            .collect();
        let records: Vec<_> = states.iter().map(|s| s.0.as_slice()).collect();
        let logs: Vec<_> = states.iter().flat_map(|s| [s.1.as_slice(), s.2.as_slice()]).collect();
        check_single_execution(&records, &logs).unwrap();
        assert!(
            checked > 200 && highest > 0 && copies > 0,
            "{checked} reads, at most {highest} copies: it shows nothing"
        );
    }
}

fn primary(group: &Group) -> usize {
    group.with_state(|s| s.primary)
}

#[test]
fn a_hot_key_is_served_from_copies_of_proven_position() {
    let mut rig = Rig::new(1, 5, HOT_OPTIONS);
    let traffic = rig.traffic(20.0);
    rig.wait_until("hot", || rig.all_have_hot_keys(1) && rig.served() > 100);
    // When the replicas of the holders' groups lag: their copies are older than expected.
    let lags = |lag: i64| {
        for group in &rig.site.groups[1..] {
            group.with_state(|s| s.members.iter_mut().for_each(|m| m.lag_ms = lag));
        }
    };
    lags(4_000);
    sleep(Duration::from_secs(3));
    lags(20);
    // When the key's primary fails over and loses its last writes, and in a holder's group the deposed primary does not know it at once.
    let home = rig.site.groups[0].clone();
    let now = birchreach_test_support::groups::now_ms;
    home.with_state(|s| s.fail_over((s.primary + 1) % 3, now(), true));
    let holders = rig.site.groups[1].clone();
    let old = primary(&holders);
    holders.with_state(|s| s.fail_over((old + 1) % 3, now(), false));
    sleep(Duration::from_secs(1));
    holders.with_state(|s| s.notify_deposed(old));
    rig.site.update_discovery();
    // When the fleet is partitioned, and one process suspended and resumed.
    rig.site.fleet.relays.set_faults(NetworkFaults {
        duplicate_fraction: 0.1,
        max_delay: Duration::from_millis(40),
        ..NetworkFaults::partition(2, 5)
    });
    rig.all[4].as_ref().unwrap().signal("STOP");
    sleep(Duration::from_secs(3));
    rig.all[4].as_ref().unwrap().signal("CONT");
    rig.site.fleet.relays.set_faults(NetworkFaults::default());
    // When a process is killed, and databases restart cold and without their copies.
    rig.restart(1);
    for group in 1..4 {
        let member = (primary(&rig.site.groups[group]) + 1) % 3;
        rig.site.restart(group, member, 500);
    }
    rig.wait_until("settled", || check_settled(5, &rig.running()).is_ok());
    let before = rig.served();
    rig.wait_until("hot again", || rig.all_have_hot_keys(1) && rig.served() > before + 100);
    let told = traffic.stop();
    rig.judge(&told);
    assert!(
        told.served_fraction() > 0.5,
        "{} of {}",
        told.served,
        told.served + told.rejected + told.failed + told.disconnected
    );
    rig.wait_until("cold", || rig.all_have_hot_keys(0));
}

/// What is in flight when SIGHUP switches hot keys off ends as it would.
#[test]
fn a_reload_switches_hot_keys_off_and_on_under_load() {
    let rig = Rig::new(2, 3, HOT_OPTIONS);
    let traffic = rig.traffic(30.0);
    rig.wait_until("hot", || rig.all_have_hot_keys(1) && rig.served() > 20);
    let options = |n: usize, more: &str| rig.site.fleet.options_xml(n).replace(HOT_OPTIONS, more);
    let config = |n: usize| rig.site.fleet.rig.config(n as u64 + 1);
    for (n, p) in rig.running().iter().enumerate() {
        p.reload(&config(n), &options(n, "")).unwrap();
    }
    rig.wait_until("off", || rig.running().iter().all(|p| admin_call(p, "hot").starts_with("NO ")));
    traffic.take_result();
    sleep(Duration::from_secs(1));
    let off = traffic.take_result();
    assert!(off.served_fraction() > 0.5 && off.served > 0, "{off:?}");
    for (n, p) in rig.running().iter().enumerate() {
        p.reload(&config(n), &options(n, HOT_OPTIONS)).unwrap();
    }
    rig.wait_until("hot again", || rig.all_have_hot_keys(1) && rig.served() > 20);
    rig.judge(&traffic.stop());
}

/// The new incarnations find copies of the old ones, each of which has the needed position or is a miss, and start nothing until the window
/// is over in which the old ones may have used the budget.
#[test]
fn copies_outlive_a_restart_of_all_proxies() {
    let mut rig = Rig::new(3, 3, HOT_OPTIONS);
    let traffic = rig.traffic(30.0);
    rig.wait_until("hot", || rig.all_have_hot_keys(1) && rig.served() > 50);
    rig.all.iter_mut().for_each(|p| *p = None);
    (0..3).for_each(|n| rig.restart(n));
    rig.wait_until("join", || check_settled(3, &rig.running()).is_ok());
    rig.wait_until("hot again", || rig.all_have_hot_keys(1) && rig.served() > 50);
    rig.judge(&traffic.stop());
}

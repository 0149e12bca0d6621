//! The members of a group as servers on sockets. Each executes a limited number of statements at once and answers from
//! the group's state.

use super::history::GroupHistory;
use super::state::{GroupState, MemberState};
use crate::database_server::{DatabaseBehavior, POLL_INTERVAL, start_accepting};
use crate::lock;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

/// Lowest speed as a fraction of full speed. It bounds the time that a statement takes.
const MIN_SPEED: f64 = 0.01;

/// How many statements a member executes at once and how long each of them takes.
#[derive(Clone, Debug)]
pub struct CapacityModel {
    /// Number of statements that it executes at once, at least 1. Further statements wait.
    pub max_concurrent: usize,
    /// Execution time of a statement at full speed.
    pub statement_time: Duration,
    /// Its speed immediately after a start, as a fraction of full speed. Speeds below 0.01 act as 0.01.
    pub slow_start_initial_fraction: f64,
    /// Time from the start until it reaches full speed. The speed increases linearly.
    pub slow_start_window: Duration,
}

impl CapacityModel {
    /// The speed of a member this long after its start, as a fraction of full speed.
    pub(super) fn speed(&self, age_ms: i64) -> f64 {
        let window_ms = self.slow_start_window.as_millis().max(1) as f64;
        let progress = (age_ms as f64 / window_ms).clamp(0.0, 1.0);
        let initial = self.slow_start_initial_fraction;
        (initial + (1.0 - initial) * progress).max(MIN_SPEED)
    }
}

/// The size and behavior of a group. All members have the same values.
#[derive(Clone, Debug)]
pub struct GroupProfile {
    /// Number of members, at least 1. The first member starts as the primary, the others as replicas.
    pub member_count: usize,
    /// Initial replication lag of each member, in milliseconds. Tests may change it while the group runs.
    pub lag_ms: i64,
    /// The capacity of each member.
    pub capacity: CapacityModel,
}

/// The parent log of a child of a shard split, from which the child reads its rows.
pub struct ParentLog {
    /// The parent. Commits that it lost in a failover stay visible to the child for a short time.
    pub group: Group,
    /// Whether the child owns a key after the split.
    pub owns_key: fn(&str) -> bool,
}

pub(super) struct Inner {
    pub(super) addresses: Vec<SocketAddr>,
    pub(super) state: Mutex<GroupState>,
    /// Number of statements that each member is executing.
    pub(super) in_flight: Mutex<Vec<usize>>,
    pub(super) changed: Condvar,
    pub(super) capacity: CapacityModel,
    pub(super) parent_log: Option<ParentLog>,
    /// Set when the members' threads must end.
    stopped: AtomicBool,
}

/// A handle to a running group. The group runs until [`Group::stop`] or the end of the process.
#[derive(Clone)]
pub struct Group(pub(super) Arc<Inner>);

impl Group {
    /// Starts a group whose first member is the primary. Port 0 selects a free port for each member.
    pub fn start(
        address: SocketAddr,
        profile: &GroupProfile,
        parent_log: Option<ParentLog>,
    ) -> io::Result<Group> {
        let GroupProfile { member_count, lag_ms, capacity } = profile.clone();
        let listeners =
            (0..member_count).map(|_| TcpListener::bind(address)).collect::<io::Result<Vec<_>>>()?;
        let addresses = listeners.iter().map(TcpListener::local_addr).collect::<io::Result<Vec<_>>>()?;
        let group = Group(Arc::new(Inner {
            addresses,
            state: Mutex::new(GroupState::new(member_count, lag_ms)),
            in_flight: Mutex::new(vec![0; member_count]),
            changed: Condvar::new(),
            capacity,
            parent_log,
            stopped: AtomicBool::new(false),
        }));
        for (member, listener) in listeners.into_iter().enumerate() {
            start_accepting(MemberServer { group: group.clone(), member }, listener);
        }
        Ok(group)
    }

    /// The address on which a member listens. It stays the same when the member restarts.
    pub fn address(&self, member: usize) -> SocketAddr {
        self.0.addresses[member]
    }

    /// Number of members, including those that do not run.
    pub fn member_count(&self) -> usize {
        self.0.addresses.len()
    }

    /// Runs an operation that reads or changes the group's state, with the state locked, and returns its result.
    pub fn with_state<T>(&self, operation: impl FnOnce(&mut GroupState) -> T) -> T {
        let result = operation(&mut lock(&self.0.state));
        self.0.changed.notify_all();
        result
    }

    /// A snapshot of the commits and statements that the group has recorded since its start.
    pub fn history(&self) -> GroupHistory {
        self.with_state(|state| GroupHistory {
            records: state.records.clone(),
            log: state.log.clone(),
            lost_commits: state.lost_commits.clone(),
        })
    }

    /// Stops the members' threads and thereby breaks their connections.
    pub fn stop(&self) {
        self.0.stopped.store(true, Ordering::Relaxed);
    }

    fn is_stopped(&self) -> bool {
        self.0.stopped.load(Ordering::Relaxed)
    }

    /// When a member's process started, in milliseconds of Unix time; 0 if that was before the test.
    pub(super) fn started_at_ms(&self, member: usize) -> i64 {
        lock(&self.0.state).members[member].started_at_ms
    }
}

/// A handle through which the connections of one member reach the group's state.
#[derive(Clone)]
struct MemberServer {
    group: Group,
    member: usize,
}

impl DatabaseBehavior for MemberServer {
    fn address(&self) -> SocketAddr {
        self.group.address(self.member)
    }

    fn is_stopped(&self) -> bool {
        self.group.is_stopped()
    }

    fn is_available(&self) -> bool {
        !self.is_stopped() && lock(&self.group.0.state).members[self.member].running
    }

    fn wait_while_hung(&self) -> bool {
        loop {
            let state = lock(&self.group.0.state);
            let MemberState { running, hung, .. } = state.members[self.member];
            if !running || !hung || self.is_stopped() {
                return running;
            }
            drop(state);
            thread::sleep(POLL_INTERVAL);
        }
    }

    fn incarnation(&self) -> i64 {
        self.group.started_at_ms(self.member)
    }

    fn answer_statement(&self, query: &str) -> Option<Vec<u8>> {
        if !self.wait_while_hung() {
            return None;
        }
        let answer = self.group.answer_statement(self.member, query);
        // The member may hang or stop while it executes the statement.
        self.wait_while_hung().then_some(answer)
    }
}

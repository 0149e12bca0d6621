//! Databases on virtual time: so many statements at once, a queue, a log position, copies with theirs.

use std::collections::VecDeque;

pub const GROUPS: u32 = 6;
pub const MEMBERS: u32 = 3;
/// Statements at once, and what a read and a write take, in microseconds.
const AT_ONCE: usize = 2;
const READ: i64 = 10_000;
const WRITE: i64 = 8_000;
/// Replicas apply the log so late.
pub const LAG: i64 = 20_000;
/// More that wait are turned away.
const QUEUE: usize = 150;

/// Reads a second that one database bears.
pub const BEARS: f64 = AT_ONCE as f64 * 1e6 / READ as f64;

/// Whose statement it is: a proxy's attempt, or its background query; and what it does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Job {
    Read,
    Write,
    /// Needs this position.
    CopyRead(i64),
    CopyWrite(i64),
}

#[derive(Clone, Copy, Debug)]
pub struct Call {
    pub proxy: usize,
    /// An attempt (request, number), or the number of a background query.
    pub what: Result<(u64, u16), u64>,
    pub job: Job,
}

#[derive(Default)]
pub struct Server {
    pub group: u32,
    pub primary: bool,
    busy: usize,
    waiting: VecDeque<Call>,
    /// Positions of the hot key's copies: since when each is there.
    copies: Vec<(i64, i64)>,
}

#[derive(Default)]
pub struct Servers(pub Vec<Server>);

impl Servers {
    pub fn new() -> Servers {
        let one =
            |n: u32| Server { group: n / MEMBERS, primary: n.is_multiple_of(MEMBERS), ..Server::default() };
        Servers((0..GROUPS * MEMBERS).map(one).collect())
    }

    /// A statement arrives: when it is done, if it starts now; or none. Err: turned away.
    pub fn arrive(&mut self, now: i64, server: u32, call: Call) -> Result<Option<i64>, ()> {
        let s = &mut self.0[server as usize];
        if s.busy < AT_ONCE {
            s.busy += 1;
            Ok(Some(now + s.takes(now, call.job)))
        } else if s.waiting.len() < QUEUE {
            s.waiting.push_back(call);
            Ok(None)
        } else {
            Err(())
        }
    }

    /// One is done; the next that starts, and when that will be done.
    pub fn done(&mut self, now: i64, server: u32) -> Option<(Call, i64)> {
        let s = &mut self.0[server as usize];
        let Some(next) = s.waiting.pop_front() else {
            s.busy -= 1;
            return None;
        };
        Some((next, now + s.takes(now, next.job)))
    }

    /// A copy came to a group's primary: its members have it as they apply the log.
    pub fn copied(&mut self, now: i64, group: u32, position: i64) {
        for s in self.0.iter_mut().filter(|s| s.group == group) {
            let at = if s.primary { now } else { now + LAG };
            s.copies.retain(|c| now - c.1 < 10_000_000);
            s.copies.push((position, at));
        }
    }

    /// The newest position that a server's copy has.
    pub fn copy(&self, now: i64, server: u32) -> Option<i64> {
        let there = self.0[server as usize].copies.iter().filter(|(_, at)| *at <= now);
        there.map(|(position, _)| *position).max()
    }
}

impl Server {
    fn takes(&self, now: i64, job: Job) -> i64 {
        match job {
            Job::Read => READ,
            Job::Write | Job::CopyWrite(_) => WRITE,
            // A miss is a look at an index.
            Job::CopyRead(needed) => {
                let has = self.copies.iter().any(|(position, at)| *at <= now && *position >= needed);
                if has { READ } else { READ / 10 }
            }
        }
    }
}

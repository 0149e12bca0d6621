//! What was heard of one server, and for how long it has owed a sign of life. Owns the clock of its silence; never
//! says what follows for a group.

use crate::settings::HealthSettings;
use crate::{GroupId, Micros, Role};

/// Connections broken in a row, without a sign of life between, that tell of an end.
const RESETS: u32 = 3;
/// Writes in a row whose time ran out, without one answered between.
const WRITES: u32 = 3;
/// After so long without anything out there, silence speaks no more against a server's reads.
const FORGIVEN: Micros = 5_000_000;
/// Writes are to be tried again so long after the last one that was not answered.
const TRIED_AGAIN: Micros = 10_000_000;

/// Why nothing is to be expected of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Against {
    Silent,
    Gone,
    WritesUnanswered,
}

#[derive(Clone, Debug)]
pub(crate) struct Evidence {
    pub group: GroupId,
    pub up: bool,
    /// The list says that it is the primary, or is not.
    pub listed: Option<bool>,
    /// What it last said it is, and when.
    pub role: Option<(Role, Micros)>,
    pub heard: Option<Micros>,
    /// It was asked something since it was last heard.
    pub owes: bool,
    /// How many attempts and probes are out.
    out: u32,
    /// Silence before `since`, and since when it goes on: while something is out.
    silent: Micros,
    since: Option<Micros>,
    /// When something was last out.
    last_out: Micros,
    gone: Option<Micros>,
    resets: u32,
    writes: u32,
    writes_at: Micros,
}

impl Evidence {
    pub fn new(now: Micros, group: GroupId) -> Evidence {
        Evidence {
            group,
            up: true,
            listed: None,
            role: None,
            heard: None,
            owes: false,
            out: 0,
            silent: 0,
            since: None,
            last_out: now,
            gone: None,
            resets: 0,
            writes: 0,
            writes_at: now,
        }
    }

    /// An attempt or a probe goes out.
    pub fn sent(&mut self, now: Micros) {
        if self.out == 0 && now - self.last_out >= FORGIVEN {
            // Parts of a silence that lie far apart make no long one. A claim that fell for it stays down.
            self.silent = 0;
        }
        self.out = self.out.saturating_add(1);
        self.since.get_or_insert(now);
        self.owes = true;
        self.last_out = now;
    }

    /// A sign of life.
    pub fn alive(&mut self, now: Micros) {
        self.heard = Some(now);
        (self.silent, self.gone, self.resets) = (0, None, 0);
        self.owes = self.out > 0;
        self.since = (self.out > 0).then_some(now);
    }

    pub fn says(&mut self, now: Micros, role: Role) {
        self.role = Some((role, now));
    }

    fn back(&mut self, now: Micros) {
        self.last_out = now;
        self.out = self.out.saturating_sub(1);
        if self.out == 0
            && let Some(since) = self.since.take()
        {
            self.silent += now - since;
        }
    }

    /// It came back with an answer of any kind.
    pub fn answered(&mut self, now: Micros, write: bool) {
        self.back(now);
        self.alive(now);
        if write {
            self.writes = 0;
        }
    }

    /// Its time ran out.
    pub fn unanswered(&mut self, now: Micros, write: bool) {
        self.back(now);
        if write {
            (self.writes, self.writes_at) = (self.writes.saturating_add(1), now);
        }
    }

    /// It was called off, or never went out: that tells nothing, but the silence until then stands.
    pub fn called_off(&mut self, now: Micros) {
        self.back(now);
    }

    /// No process took it.
    pub fn refused(&mut self, now: Micros) {
        self.back(now);
        self.gone.get_or_insert(now);
    }

    /// The connection broke under it.
    pub fn reset(&mut self, now: Micros) {
        self.back(now);
        self.resets = self.resets.saturating_add(1);
        if self.resets >= RESETS {
            self.gone.get_or_insert(now);
        }
    }

    /// For how long it has owed a sign of life.
    pub fn silence(&self, now: Micros) -> Micros {
        self.silent + self.since.map_or(0, |since| now - since)
    }

    /// What speaks against its taking writes.
    pub fn against(&self, now: Micros, s: &HealthSettings) -> Option<Against> {
        if self.gone.is_some() {
            Some(Against::Gone)
        } else if self.silence(now) >= s.silence_limit() {
            Some(Against::Silent)
        } else if self.writes >= WRITES && now - self.writes_at < TRIED_AGAIN {
            Some(Against::WritesUnanswered)
        } else {
            None
        }
    }

    /// Nothing is to be expected of it, for reads either.
    pub fn dead(&self, now: Micros, s: &HealthSettings) -> bool {
        let fresh = self.out > 0 || now - self.last_out < FORGIVEN;
        fresh && matches!(self.against(now, s), Some(Against::Gone | Against::Silent))
    }

    /// When time alone will change what is said above.
    pub fn next(&self, now: Micros, s: &HealthSettings) -> Option<Micros> {
        let silent = self.since.filter(|_| self.silence(now) < s.silence_limit());
        let silent = silent.map(|since| since + s.silence_limit() - self.silent);
        let forgiven = (self.out == 0 && self.dead(now, s)).then_some(self.last_out + FORGIVEN);
        let again = (self.writes >= WRITES).then_some(self.writes_at + TRIED_AGAIN).filter(|at| *at > now);
        [silent, forgiven, again].into_iter().flatten().min()
    }

    /// When it will have been silent for so long, if it goes on.
    pub fn silent_at(&self, now: Micros, long: Micros) -> Option<Micros> {
        let since = self.since?;
        (self.silence(now) < long).then_some(since + long - self.silent)
    }

    pub fn is_gone(&self) -> bool {
        self.gone.is_some()
    }
}

//! One comparison on its way: the client's answer, the children's first answers, then, if they differ, close looks; and the same again
//! after a while, before it is a fault.

use crate::judge::{Look, Outcome, Parent, Row, outcome};
use crate::{Micros, Sort};

/// Close looks at one key before it is dropped as unsure.
pub const MOST_ROUNDS: u8 = 6;

/// Which child.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Child {
    /// To whom the key's range falls.
    Owner,
    /// The other one, which is not to have it.
    Other,
}

/// What is to be asked for a comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Ask {
    /// A child, once.
    Glance(Child),
    /// A child, twice on one connection.
    Look(Child),
    /// A replica of the parent, twice on one connection, the second time with the time of the row's commit.
    Parent,
}

/// What came back. `process`: a number for the database's process, the same as long as it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    Glance {
        row: Row,
        position: Option<Micros>,
    },
    Look {
        look: Look,
        process: u64,
    },
    Parent {
        parent: Parent,
        process: u64,
    },
    /// No answer, or one that tells too little.
    Nothing,
}

/// Where it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// First answers: of the owner, then of the other.
    Owner,
    Other,
    /// A close look at a child that differed, and then at the parent.
    Close(Child),
    Parent(Child, Look, u64),
    /// A difference was found: again at this time, with the same processes.
    Waits(Found),
}

/// A difference, by a child's and the parent's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Found {
    pub child: Child,
    pub parent: Parent,
    pub look: Look,
    pub processes: (u64, u64),
    /// When it was found first.
    pub at: Micros,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Comparison {
    pub class: u16,
    pub hash: u32,
    pub text: Vec<u8>,
    /// A's answer.
    pub row: Row,
    pub stage: Stage,
    /// What is asked is out; else it is to be asked from this time on.
    pub out: bool,
    pub next: Micros,
    pub rounds: u8,
    /// The first time that it differed, if it did.
    pub first: Option<Found>,
    pub begun: Micros,
}

/// What became of a comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    Agrees,
    Late,
    Unsure,
    /// A child or the parent gave no answer that tells enough.
    Silent,
    Flag(Found, Sort),
}

/// Pauses between looks that were late or unsure.
const AGAIN: Micros = 300_000;

impl Comparison {
    pub fn ask(&self) -> Ask {
        match self.stage {
            Stage::Owner => Ask::Glance(Child::Owner),
            Stage::Other => Ask::Glance(Child::Other),
            Stage::Close(child) => Ask::Look(child),
            Stage::Parent(..) => Ask::Parent,
            Stage::Waits(found) => Ask::Look(found.child),
        }
    }

    /// Takes an answer. `confirm`: after how long a difference is looked at again.
    pub fn told(&mut self, now: Micros, told: Told, confirm: Micros) -> Option<End> {
        self.out = false;
        self.next = now;
        match (self.stage.clone(), told) {
            (_, Told::Nothing) => self.again(now, End::Silent),
            (Stage::Owner, Told::Glance { row, position }) => {
                if row == self.row {
                    self.stage = Stage::Other;
                    return None;
                }
                if position.is_none() {
                    return Some(End::Silent);
                }
                self.stage = Stage::Close(Child::Owner);
                None
            }
            (Stage::Other, Told::Glance { row, .. }) => {
                if row.is_none() {
                    return Some(End::Agrees);
                }
                self.stage = Stage::Close(Child::Other);
                None
            }
            (Stage::Close(child), Told::Look { look, process }) => {
                self.stage = Stage::Parent(child, look, process);
                None
            }
            (Stage::Waits(found), Told::Look { look, process }) => {
                self.stage = Stage::Parent(found.child, look, process);
                None
            }
            (Stage::Parent(child, look, process), Told::Parent { parent, process: of_parent }) => {
                self.weigh(now, child, look, parent, (process, of_parent), confirm)
            }
            // An answer to something else than was asked.
            _ => Some(End::Silent),
        }
    }

    fn weigh(
        &mut self,
        now: Micros,
        child: Child,
        look: Look,
        parent: Parent,
        processes: (u64, u64),
        confirm: Micros,
    ) -> Option<End> {
        let found = Found { child, parent, look, processes, at: now };
        // Whoever is not to have the row agrees if it has none, whatever the parent has.
        let how = match child {
            Child::Owner => outcome(parent, look),
            Child::Other if look.row.is_none() => Outcome::Agrees,
            // It is not to have it at any time, whatever happens to the parent's.
            Child::Other => Outcome::Differs,
        };
        match how {
            Outcome::Agrees => Some(End::Agrees),
            Outcome::Late => self.again(now, End::Late),
            Outcome::Unsure => self.again(now, End::Unsure),
            Outcome::Differs if crate::faulty!(NeverFlags) => Some(End::Unsure),
            Outcome::Differs => {
                let sort = match child {
                    Child::Other => Sort::Extra,
                    Child::Owner if look.row.is_none() => Sort::Missing,
                    Child::Owner => Sort::Differs,
                };
                match self.first {
                    _ if crate::faulty!(FlagsAtOnce) => Some(End::Flag(found, sort)),
                    // Again, and nothing was another in between: it lasts.
                    Some(first)
                        if (first.processes == processes || crate::faulty!(ForgetsProcesses))
                            && first.child == child
                            && now - first.at >= confirm =>
                    {
                        Some(End::Flag(found, sort))
                    }
                    // Another process than the first time: a restart or a failover, and it begins anew.
                    Some(first) if first.processes != processes || first.child != child => {
                        self.first = Some(found);
                        self.wait(found, now + confirm)
                    }
                    Some(first) => self.wait(first, first.at + confirm),
                    None => {
                        self.first = Some(found);
                        self.wait(found, now + confirm)
                    }
                }
            }
        }
    }

    fn wait(&mut self, found: Found, at: Micros) -> Option<End> {
        self.rounds += 1;
        (self.stage, self.next) = (Stage::Waits(found), at);
        (self.rounds > MOST_ROUNDS).then_some(End::Unsure)
    }

    /// The same question again, after a pause; some times.
    fn again(&mut self, now: Micros, end: End) -> Option<End> {
        self.rounds += 1;
        self.next = now + AGAIN * Micros::from(self.rounds);
        self.stage = match self.stage.clone() {
            Stage::Parent(child, ..) => Stage::Close(child),
            Stage::Waits(found) => Stage::Close(found.child),
            other => other,
        };
        (self.rounds > MOST_ROUNDS).then_some(end)
    }
}

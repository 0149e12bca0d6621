//! Copies of rows at servers of other groups: who is asked for candidates, and what is asked of the decisions for work that no client
//! waits for.

use super::{Ask, Attempt, Core, Work};
use crate::observe::{Adviser, Asked};
use birchreach::*;
use std::cell::RefCell;
use std::rc::Rc;

impl<W: Work> Core<W> {
    /// Servers that may have a copy of what is asked for; none without advisers.
    pub(super) fn advice(&self, now: Micros, ask: &Ask, work: &W) -> Vec<CopyCandidate> {
        let mut guests = Vec::new();
        for adviser in &self.advisers {
            let need = self.classes.need(ask.class);
            let asked = Asked { group: ask.group, need, key: work.key() };
            guests.extend(adviser.borrow_mut().guests(now, &asked));
        }
        guests
    }

    /// Somebody knows of copies from now on; or no more.
    pub fn advise(&mut self, adviser: Rc<RefCell<dyn Adviser>>) {
        self.advisers.push(adviser);
    }

    pub fn unadvise(&mut self, adviser: &Rc<RefCell<dyn Adviser>>) {
        self.advisers.retain(|known| !Rc::ptr_eq(known, adviser));
    }

    /// The position that a copy must have to answer this attempt's read, as of now; the least there is, where any will do.
    pub fn proof(&self, now: Micros, attempt: Attempt) -> Micros {
        self.router.required_copy_position(now, attempt.0).unwrap_or(0).max(0)
    }

    /// Where work that no client waits for may go now, by the decisions.
    pub fn spare(&self, group: GroupId, write: bool, yields: bool) -> Option<ServerId> {
        self.router.background_candidate(group, write, yields)
    }

    /// What reads of each class need, by the classes' numbers.
    pub fn needs(&self) -> Vec<Consistency> {
        self.classes.needs()
    }
}

//! Copies of rows at servers of other groups: who is asked for candidates, and what is asked of the decisions for work that no client
//! waits for.

use super::{AttemptId, Core, RequestPayload, RoutingRequest};
use crate::observe::{CopyLocator, ReadDescription};
use birchreach::*;
use std::cell::RefCell;
use std::rc::Rc;

impl<W: RequestPayload> Core<W> {
    /// Servers that may have a copy of what is asked for; none without advisers.
    pub(super) fn locate_copies(&self, now: Micros, ask: &RoutingRequest, work: &W) -> Vec<CopyCandidate> {
        let mut guests = Vec::new();
        for adviser in &self.copy_locators {
            let need = self.classes.need(ask.class);
            let asked = ReadDescription { group: ask.group, consistency: need, key: work.key() };
            guests.extend(adviser.borrow_mut().locate_copies(now, &asked));
        }
        guests
    }

    /// Somebody knows of copies from now on; or no more.
    pub fn add_copy_locator(&mut self, adviser: Rc<RefCell<dyn CopyLocator>>) {
        self.copy_locators.push(adviser);
    }

    pub fn remove_copy_locator(&mut self, adviser: &Rc<RefCell<dyn CopyLocator>>) {
        self.copy_locators.retain(|known| !Rc::ptr_eq(known, adviser));
    }

    /// The position that a copy must have to answer this attempt's read, as of now; the least there is, where any will do.
    pub fn required_copy_position(&self, now: Micros, attempt: AttemptId) -> Micros {
        self.router.required_copy_position(now, attempt.request).unwrap_or(0).max(0)
    }

    /// Where work that no client waits for may go now, by the decisions.
    pub fn background_candidate(&self, group: GroupId, write: bool, yields: bool) -> Option<ServerId> {
        self.router.background_candidate(group, write, yields)
    }

    /// What reads of each class need, by the classes' numbers.
    pub fn consistencies(&self) -> Vec<Consistency> {
        self.classes.needs()
    }
}

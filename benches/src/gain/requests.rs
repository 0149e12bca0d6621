//! Requests as they come, and what a proxy's decisions do with them.

use super::proxies::{HOT, READS, WRITES};
use super::servers::{Call, GROUPS, Job, MEMBERS};
use super::world::{Happens, Open, READS_PER_S, WAY, WRITES_PER_S, World};
use birchreach::{Action, ClassId, Event, GroupId, Request, RequestId, TenantId};
use std::collections::HashMap;

impl World {
    pub(super) fn ask(&mut self, n: usize) {
        let draw = self.rng.f64() * ((READS_PER_S + WRITES_PER_S) * f64::from(GROUPS) + self.hot);
        let (class, group, key) = if draw < self.hot {
            (READS, HOT.group, Some(HOT))
        } else {
            let write = self.rng.f64() < WRITES_PER_S / (READS_PER_S + WRITES_PER_S);
            (if write { WRITES } else { READS }, self.rng.u32(..GROUPS), None)
        };
        let copy_candidates = self.proxies[n].copy_candidates(self.mode, self.now, key);
        self.number += 1;
        let id = self.number;
        let deadline = if class == WRITES { 3_000_000 } else { 1_200_000 };
        if group == HOT.group {
            self.worth.1 += if class == WRITES { 6.0 } else { 3.0 };
        }
        self.open.insert(
            (n, id),
            Open {
                class,
                group,
                sent: self.now,
                attempts: HashMap::new(),
                copy: !copy_candidates.is_empty(),
            },
        );
        let request = Request {
            id: RequestId(id),
            class: ClassId(class),
            group: GroupId(group),
            tenant: TenantId(0),
            timeout: deadline,
            session: None,
            last_write_position: None,
            copy_candidates,
        };
        self.feed(n, Event::Request(request));
    }

    pub(super) fn feed(&mut self, n: usize, event: Event) {
        let proxy = &mut self.proxies[n];
        proxy.router.handle(self.now, event, &mut proxy.actions);
        for action in std::mem::take(&mut proxy.actions) {
            match action {
                Action::Send { request, server, timeout: patience } => {
                    let Some(open) = self.open.get_mut(&(n, request.0)) else { continue };
                    let attempt = open.attempts.len() as u16;
                    open.attempts.insert(attempt, (server.0, self.now));
                    let elsewhere = server.0 / MEMBERS != open.group;
                    let job = if open.class == WRITES {
                        Job::Write
                    } else if elsewhere && open.copy {
                        Job::CopyRead(
                            self.proxies[n].router.required_copy_position(self.now, request).unwrap_or(0),
                        )
                    } else {
                        Job::Read
                    };
                    let call = Call { proxy: n, what: Ok((request.0, attempt)), job };
                    self.at(self.now + WAY, Happens::Arrives(server.0, call));
                    self.at(self.now + patience, Happens::Late(n, request.0, attempt));
                }
                Action::Reject { request, .. } | Action::Fail { request } => {
                    drop(self.open.remove(&(n, request.0)))
                }
                Action::HealthCheck { server } => self.at(self.now + 2 * WAY, Happens::Probed(n, server.0)),
                Action::Timer { delay: after, .. } => self.at(self.now + after.max(1), Happens::Timer(n)),
                Action::Cancel { .. } | Action::WatchEndpoints | Action::Log(_) => {}
            }
        }
    }
}

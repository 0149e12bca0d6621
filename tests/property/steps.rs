//! What happens to the router, from numbers.

use super::*;

impl Checker {
    pub fn list(&mut self, complete: bool, x: u32, y: u32) {
        let mut members = Vec::new();
        for id in 1..=6_u32 {
            let bits = x.rotate_right(id * 5);
            if bits & 3 == 3 {
                continue; // left out
            }
            let state = match bits >> 2 & 7 {
                0 => EndpointState::Draining,
                1 => EndpointState::Removed,
                _ => EndpointState::Ready,
            };
            let started = (y.rotate_right(id * 3) & 7 == 0).then_some(self.now - 100 * MS);
            let weight = [1.0, 0.5, f64::NAN, -1.0][(y.rotate_right(id) & 3) as usize];
            let (server, group, zone) = (ServerId(id), GroupId(id % 2), ZoneId(0));
            let primary = id <= 2;
            members.push(Endpoint { server, group, zone, state, started_at: started, weight, primary });
        }
        if y & 1 == 0 && !members.is_empty() {
            members.push(members[0].clone()); // the same server twice
        }
        let named: Vec<u32> = members.iter().map(|m| m.server.0).collect();
        let (now, soft) = (self.now, self.set.removal_is_advisory);
        for (id, t) in &mut self.told {
            if complete && !named.contains(id) && !(soft && t.was_ready) {
                t.closed = t.closed.or(Some(now));
            }
        }
        for m in &members {
            let t = self.told.entry(m.server.0).or_default();
            t.group = m.group.0;
            t.primary |= m.primary && t.position.is_none();
            match m.state {
                EndpointState::Ready => (t.closed, t.was_ready) = (None, true),
                EndpointState::Draining => (t.closed, t.was_ready) = (t.closed.or(Some(now)), false),
                EndpointState::Removed if soft && t.was_ready => {}
                EndpointState::Removed => t.closed = t.closed.or(Some(now)),
            }
        }
        self.feed(Event::EndpointsChanged(EndpointList { complete, endpoints: members }));
    }

    pub fn ask(&mut self, x: u32, y: u32) {
        let id = self.asked.len() as u64 + 1;
        let class = (x % 6) as usize; // one more than there are
        let session = SessionId(u64::from(y % 3));
        let written = (y & 8 != 0).then_some(self.now - Micros::from(y % 400) * MS);
        let patience = Micros::from(x % 2_000) * MS;
        let is_session = self.set.classes.get(class).is_some_and(|c| c.consistency == Consistency::Session);
        let token = match self.set.session_positions {
            SessionPositionSource::FromRequest => written,
            SessionPositionSource::FromObservedWrites => self.written.get(&session).copied(),
        };
        let token = token.filter(|_| is_session);
        let (group, deadline) = (y >> 4 & 1, self.now + patience);
        // Some of these are of the group itself, or unknown: the module is to take nothing on trust.
        let guests: Vec<(u32, Micros)> = if x & 64 == 0 {
            vec![]
        } else {
            (0..3).map(|n| (1 + (y >> (8 + n)) % 7, self.now - Micros::from(y >> n & 511) * MS)).collect()
        };
        let (session_of, attempts) = (Some(session), vec![]);
        let asked = Asked {
            class,
            group,
            session: session_of,
            token,
            deadline,
            attempts,
            guests: guests.clone(),
            over: false,
        };
        self.asked.insert(id, asked);
        self.feed(Event::Request(Request {
            id: RequestId(id),
            class: ClassId(class as u16),
            group: GroupId(group),
            tenant: TenantId(0),
            timeout: patience,
            session: Some(session),
            last_write_position: written,
            copy_candidates: guests.into_iter().map(|(id, at)| copy_candidate(id, at)).collect(),
        }));
    }

    /// The attempts without an outcome.
    pub fn out(&self) -> Vec<(u64, usize)> {
        let open = |(id, a): (&u64, &Asked)| {
            let n = a.attempts.iter().enumerate().filter(|(_, t)| t.ended.is_none());
            n.map(|(n, _)| (*id, n)).collect::<Vec<_>>()
        };
        self.asked.iter().flat_map(open).collect()
    }

    pub fn end(&mut self, id: u64, n: usize, ending: AttemptOutcome, y: u32) {
        let now = self.now;
        let a = self.asked.get_mut(&id).unwrap();
        a.attempts[n].ended = Some(ending);
        let server = a.attempts[n].server;
        let spent = now - a.attempts[n].sent;
        let write = self.set.classes[a.class].consistency == Consistency::Write;
        let speaks = matches!(
            ending,
            AttemptOutcome::Ok
                | AttemptOutcome::Ineligible
                | AttemptOutcome::Overloaded
                | AttemptOutcome::Error
        );
        let primary = y & 1 == 0;
        let position = (y & 2 == 0).then_some(now - Micros::from(y >> 3 & 1023) * MS);
        let role = if primary { Role::Primary } else { Role::Replica };
        let note = (speaks && y & 4 == 0).then_some(ServerStatus { role, position });
        if ending == AttemptOutcome::Ok && !a.over {
            assert!(now <= a.deadline);
            a.over = true;
        }
        let finished = a.over;
        let session = a.session;
        if let Some(note) = note {
            let t = self.told.get_mut(&server).unwrap();
            t.primary = note.role == Role::Primary;
            t.position = t.position.max(note.position);
        }
        let (request, attempt, server) = (RequestId(id), AttemptNo(n as u16), ServerId(server));
        let report = None;
        self.feed(Event::AttemptCompleted(AttemptResult {
            request,
            attempt,
            server,
            outcome: ending,
            elapsed: spent,
            request_finished: finished,
            status: note,
            load_report: report,
        }));
        if let (true, Some(at), Some(s)) =
            (write && ending == AttemptOutcome::Ok, note.and_then(|n| n.position), session)
        {
            let newest = self.written.entry(s).or_insert(at);
            *newest = at.max(*newest);
        }
    }

    /// Lets time pass: timers ring, and attempts time out when their patience ends.
    pub fn pass(&mut self, span: Micros) {
        let end = self.now + span;
        loop {
            let timer = self.timers.iter().copied().min().unwrap_or(Micros::MAX);
            let until = |&(id, n): &(u64, usize)| self.asked[&id].attempts[n].until;
            let late = self.out().into_iter().min_by_key(until);
            let due = late.map_or(Micros::MAX, |l| until(&l));
            if timer.min(due) > end {
                break;
            }
            self.now = self.now.max(timer.min(due));
            if due <= timer {
                let (id, n) = late.unwrap();
                self.end(id, n, AttemptOutcome::Timeout, 7);
            } else {
                self.timers.retain(|t| *t != timer);
                self.feed(Event::Timer { id: 0 });
            }
        }
        self.now = end;
    }

    pub fn step(&mut self, (kind, x, y): Step) {
        let out = self.out();
        let open: Vec<u64> = self.asked.iter().filter(|(_, a)| !a.over).map(|(id, _)| *id).collect();
        match kind % 12 {
            0..=3 => self.ask(x, y),
            4..=6 if !out.is_empty() => {
                let (id, n) = out[x as usize % out.len()];
                self.end(id, n, ENDINGS[(y >> 16) as usize % 9], y);
            }
            7 => self.pass(Micros::from(x % 900) * MS),
            8 => self.list(y & 4 != 0, x, y),
            9 => {
                let report = LoadReport {
                    position: Some(self.now - Micros::from(y % 900) * MS),
                    role: Some(if y & 1 == 0 { Role::Primary } else { Role::Replica }),
                };
                let ending = ENDINGS[x as usize % 9];
                let server = 1 + x % 7;
                if ending == AttemptOutcome::Ok
                    && let Some(t) = self.told.get_mut(&server)
                {
                    t.position = t.position.max(report.position);
                    // Excused: it says that it was primary, up to its position.
                    t.primary |= report.role == Some(Role::Primary);
                }
                self.feed(Event::HealthCheckCompleted {
                    server: ServerId(server),
                    outcome: ending,
                    load_report: Some(report),
                });
            }
            10 if !open.is_empty() => {
                let id = open[x as usize % open.len()];
                self.asked.get_mut(&id).unwrap().over = true;
                self.feed(Event::ClientDisconnected { request: RequestId(id) });
            }
            11 if matches!(
                self.last,
                Some(Event::AttemptCompleted(_) | Event::ClientDisconnected { .. } | Event::Timer { .. })
            ) =>
            {
                self.feed(self.last.clone().unwrap()); // doubled
            }
            _ => self.feed(Event::EndpointPollFailed),
        }
    }
}

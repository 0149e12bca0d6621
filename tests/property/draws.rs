//! Derives endpoints, copy candidates and server statuses from random numbers.

use super::*;

/// Highest id of a server in an endpoint list.
const MAX_SERVER: u32 = 6;

impl Checker {
    /// Derives endpoint list entries for some of the servers. The first entry may occur twice.
    pub(crate) fn draw_endpoints(&self, first: u32, second: u32) -> Vec<Endpoint> {
        let drawn = (1..=MAX_SERVER).filter_map(|id| self.draw_endpoint(id, first, second));
        let mut endpoints: Vec<Endpoint> = drawn.collect();
        let lists_first_twice = second & 1 == 0;
        if lists_first_twice && !endpoints.is_empty() {
            endpoints.push(endpoints[0].clone());
        }
        endpoints
    }

    /// Derives the entry of a server; `None` if the server is missing from the list.
    fn draw_endpoint(&self, id: u32, first: u32, second: u32) -> Option<Endpoint> {
        let bits = first.rotate_right(id * 5);
        let is_missing = bits & 3 == 3;
        if is_missing {
            return None;
        }
        let state = match bits >> 2 & 7 {
            0 => EndpointState::Draining,
            1 => EndpointState::Removed,
            _ => EndpointState::Ready,
        };
        let has_started = second.rotate_right(id * 3) & 7 == 0;
        Some(Endpoint {
            server: ServerId(id),
            group: GroupId(id % 2),
            zone: ZoneId(0),
            state,
            started_at: has_started.then_some(self.now - 100 * MILLISECOND),
            weight: [1.0, 0.5, f64::NAN, -1.0][(second.rotate_right(id) & 3) as usize],
            primary: id <= 2,
        })
    }

    /// Derives copy candidates. Some of them are unknown servers or members of the request's own group, which
    /// the router must not treat as copies.
    pub(crate) fn draw_copy_candidates(&self, first: u32, second: u32) -> Vec<CopyCandidate> {
        if first & 64 == 0 {
            return vec![];
        }
        let candidate = |index: u32| {
            let server = 1 + (second >> (8 + index)) % 7;
            let age = Micros::from(second >> index & 511) * MILLISECOND;
            copy_candidate(server, self.now - age)
        };
        (0..3).map(candidate).collect()
    }
}

/// Derives the status in a response; `None` if the outcome is not a response or the response contains no
/// status.
pub(crate) fn draw_status(outcome: AttemptOutcome, now: Micros, number: u32) -> Option<ServerStatus> {
    let is_response = matches!(
        outcome,
        AttemptOutcome::Ok | AttemptOutcome::Ineligible | AttemptOutcome::Overloaded | AttemptOutcome::Error
    );
    let role = if number & 1 == 0 { Role::Primary } else { Role::Replica };
    let position = (number & 2 == 0).then_some(now - Micros::from(number >> 3 & 1023) * MILLISECOND);
    (is_response && number & 4 == 0).then_some(ServerStatus { role, position })
}

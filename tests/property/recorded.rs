//! Regression test of the routing decisions: the same events with the same seed give the recorded actions.
//!
//! `recorded.txt` has one line for each generated event sequence: the bits its settings are drawn from, the
//! number of actions returned, and a digest of these actions with their times. The text of log actions is not
//! part of the digest.

use super::*;
use std::fmt::Write;

const SEQUENCES: u64 = 256;
const STEPS_PER_SEQUENCE: usize = 200;

/// SplitMix64: the same numbers on every machine and with every version of a library.
struct Numbers(u64);

impl Numbers {
    /// The next number.
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// The next step.
    fn next_step(&mut self) -> Step {
        let (kind, numbers) = (self.next(), self.next());
        Step { kind: kind as u8, first: (numbers >> 32) as u32, second: numbers as u32 }
    }
}

/// FNV-1a over 64-bit words.
struct Digest(u64);

impl Digest {
    /// A digest of nothing.
    fn new() -> Self {
        Digest(0xcbf2_9ce4_8422_2325)
    }

    /// Adds a word, byte by byte.
    fn word(&mut self, word: i64) {
        for byte in word.to_le_bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }

    /// Adds an action and its time.
    fn action(&mut self, timed: &TimedAction) {
        self.word(timed.at);
        let words = match &timed.action {
            Action::Send { request, server, timeout } => [1, request.0 as i64, i64::from(server.0), *timeout],
            Action::Reject { request, retry_after } => [2, request.0 as i64, retry_after.unwrap_or(-1), 0],
            Action::Fail { request } => [3, request.0 as i64, 0, 0],
            Action::Cancel { request, attempt } => [4, request.0 as i64, i64::from(attempt.0), 0],
            Action::HealthCheck { server } => [5, i64::from(server.0), 0, 0],
            Action::Timer { id, delay } => [6, i64::from(*id), *delay, 0],
            Action::WatchEndpoints => [7, 0, 0, 0],
            Action::Log(_) => [9, 0, 0, 0],
        };
        words.into_iter().for_each(|word| self.word(word));
    }
}

/// A line for each sequence, as in the recorded file.
fn digests() -> String {
    let mut lines = String::new();
    for number in 0..SEQUENCES {
        let mut numbers = Numbers(number);
        let (bits, seed) = (numbers.next() as u32, numbers.next());
        let steps: Vec<Step> = (0..STEPS_PER_SEQUENCE).map(|_| numbers.next_step()).collect();
        let actions = run_sequence(bits, seed, &steps);
        let mut digest = Digest::new();
        actions.iter().for_each(|timed| digest.action(timed));
        writeln!(lines, "{bits:08x} {} {:016x}", actions.len(), digest.0).unwrap();
    }
    lines
}

#[test]
fn the_same_events_give_the_recorded_actions() {
    // Given what was recorded
    let recorded = include_str!("recorded.txt");
    // When the same events are passed to routers with the same seeds
    let computed = digests();
    // Then each sequence gives the recorded number of actions and their digest
    for (number, (recorded, computed)) in recorded.lines().zip(computed.lines()).enumerate() {
        assert_eq!(recorded, computed, "sequence {number}");
    }
    assert_eq!(recorded.lines().count(), computed.lines().count());
}

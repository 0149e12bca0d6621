//! Regression test of the routing decisions: the same events with the same seed produce the recorded actions.
//!
//! `recorded.txt` has one line for each generated event sequence. A line consists of the bits from which the
//! settings are derived, the number of returned actions, and a digest of these actions with their times. The
//! digest does not cover the text of log actions.

use super::*;
use std::fmt::Write;

const SEQUENCES: u64 = 256;
const STEPS_PER_SEQUENCE: usize = 200;

/// The SplitMix64 generator. It is implemented here so that the numbers do not depend on the machine or on
/// the version of a library.
struct SplitMix64(u64);

impl SplitMix64 {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    fn next_step(&mut self) -> Step {
        let (kind, numbers) = (self.next(), self.next());
        Step { kind: kind as u8, first: (numbers >> 32) as u32, second: numbers as u32 }
    }
}

/// 64-bit FNV-1a hash of a sequence of 64-bit words.
struct Digest(u64);

impl Digest {
    fn new() -> Self {
        Digest(0xcbf2_9ce4_8422_2325)
    }

    /// Adds the bytes of a word in little-endian order.
    fn add_word(&mut self, word: i64) {
        for byte in word.to_le_bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }

    /// Adds the time, kind and fields of an action, but not the text of a log line.
    fn add_action(&mut self, timed: &TimedAction) {
        self.add_word(timed.at);
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
        words.into_iter().for_each(|word| self.add_word(word));
    }
}

/// Runs all sequences. Returns their lines in the format of `recorded.txt`.
fn digests() -> String {
    let mut lines = String::new();
    for number in 0..SEQUENCES {
        let mut numbers = SplitMix64(number);
        let (bits, seed) = (numbers.next() as u32, numbers.next());
        let steps: Vec<Step> = (0..STEPS_PER_SEQUENCE).map(|_| numbers.next_step()).collect();
        let actions = run_sequence(bits, seed, &steps);
        let mut digest = Digest::new();
        actions.iter().for_each(|timed| digest.add_action(timed));
        writeln!(lines, "{bits:08x} {} {:016x}", actions.len(), digest.0).unwrap();
    }
    lines
}

#[test]
fn the_same_events_produce_the_recorded_actions() {
    // Given the recorded digests
    let recorded = include_str!("recorded.txt");
    // When the same events are passed to routers with the same seeds
    let computed = digests();
    // Then the number of actions and the digest of each sequence match the recorded ones
    for (number, (recorded, computed)) in recorded.lines().zip(computed.lines()).enumerate() {
        assert_eq!(recorded, computed, "sequence {number}");
    }
    assert_eq!(recorded.lines().count(), computed.lines().count());
}

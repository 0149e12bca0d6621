//! A running proxy answers requests within its send budget, and answers none under high load.

mod common;

use birchreach_peer_state::Micros;
use birchreach_peer_state::provider::{Admission, ProviderSettings, StateProvider};
use common::{MILLISECOND, SECOND};

const NEW_PROXIES: usize = 100;
const STATE_BYTES: usize = 200_000;
const FRAME_BYTES: usize = 64 << 10;

/// Of a hundred proxies that start at the same time, a limited number is served at once, within the budget.
/// Retries serve all of them in the end.
#[test]
fn a_hundred_new_proxies_do_not_exceed_the_budget_of_a_provider() {
    let settings = ProviderSettings::default();
    let mut provider = StateProvider::new(settings.clone(), 0);
    let mut retries_at: Vec<Micros> = vec![0; NEW_PROXIES];
    let mut unsent: Vec<usize> = Vec::new();
    let (mut now, mut sent, mut max_concurrent, mut rejected) = (0, 0u64, 0, 0);

    while !(retries_at.is_empty() && unsent.is_empty()) {
        assert!(now < 120 * SECOND, "some proxies were not served within 120 s");

        let (due, later): (Vec<_>, Vec<_>) = retries_at.into_iter().partition(|at| *at <= now);
        retries_at = later;
        for _ in due {
            match provider.admit(now) {
                Admission::Serve => unsent.push(STATE_BYTES),
                Admission::Busy(retry_after) => {
                    rejected += 1;
                    retries_at.push(now + retry_after);
                }
            }
        }

        max_concurrent = max_concurrent.max(unsent.len());
        for remaining in &mut unsent {
            let part = (*remaining).min(FRAME_BYTES);
            if provider.take_send_budget(now, part).is_ok() {
                *remaining -= part;
                sent += part as u64;
            }
        }

        let in_progress = unsent.len();
        unsent.retain(|remaining| *remaining > 0);
        (unsent.len()..in_progress).for_each(|_| provider.finish(true));

        let budget = 65_536.0 + settings.bytes_per_second as f64 * now as f64 / 1e6;
        assert!(sent as f64 <= budget + 65_536.0);
        now += MILLISECOND;
    }

    assert!(
        max_concurrent <= settings.max_concurrent_requests
            && provider.completed_transfers == NEW_PROXIES as u64
    );
    assert!(rejected < 3_000, "{rejected} requests rejected");
}

#[test]
fn nothing_is_sent_under_high_load() {
    let mut provider = StateProvider::new(ProviderSettings::default(), 0);

    provider.set_load(0.9);

    assert!(matches!(provider.admit(0), Admission::Busy(_)));
    assert!(provider.take_send_budget(0, 1).is_err());

    provider.set_load(0.2);

    assert_eq!(provider.admit(0), Admission::Serve);
}

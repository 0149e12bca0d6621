use super::*;
use crate::interface::{Consistency, Idempotency};

fn class(latency_objective: Micros) -> RequestClass {
    RequestClass {
        consistency: Consistency::Any,
        idempotency: Idempotency::Idempotent,
        latency_objective,
        client_timeout: 2 * latency_objective,
        priority_weight: 1.0,
        late_weight_fraction: 0.0,
    }
}

#[test]
fn estimates_follow_samples_and_are_reset_for_a_changed_class() {
    let before = [class(800_000), class(400_000)];
    let mut estimates = LatencyEstimates::new(&before);
    assert_eq!((estimates.mean(ClassId(0)), estimates.upper_bound(ClassId(0), 2.0)), (100_000, 300_000));

    (0..200).for_each(|_| estimates.record(ClassId(0), 20_000));
    assert!(
        (20_000..20_100).contains(&estimates.mean(ClassId(0)))
            && estimates.upper_bound(ClassId(0), 4.0) < 22_000
    );

    let after = [class(800_000), class(1_600_000), class(8_000)];
    estimates.apply_classes(&before, &after);
    assert!(estimates.mean(ClassId(0)) < 20_100, "the estimate of an unchanged class is kept");
    assert_eq!((estimates.mean(ClassId(1)), estimates.mean(ClassId(2))), (200_000, 1_000));

    (0..200).for_each(|_| estimates.record(ClassId(2), 0));
    assert_eq!(
        estimates.upper_bound(ClassId(2), 4.0),
        MIN_WAKEUP_DELAY,
        "an upper bound is never below the minimum delay"
    );
}

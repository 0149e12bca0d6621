//! A check returns an error exactly where its condition does not hold.

use birchreach_fault_injection::{ensure, ensure_eq};

/// A check with a message of its own.
fn check_is_even(number: u32) -> Result<(), String> {
    ensure!(number.is_multiple_of(2), "{number} is odd");
    Ok(())
}

/// A check whose message is its condition.
fn check_is_positive(number: i32) -> Result<(), String> {
    ensure!(number > 0);
    Ok(())
}

/// Two checks of equality, without and with a description of the value.
fn check_sum(left: u32, right: u32) -> Result<(), String> {
    ensure_eq!(left + right, 5);
    ensure_eq!(left, 2, "of {right}");
    Ok(())
}

#[test]
fn a_condition_that_holds_passes() {
    // When each condition holds, then each check passes
    assert_eq!(check_is_even(2), Ok(()));
    assert_eq!(check_is_positive(1), Ok(()));
    assert_eq!(check_sum(2, 3), Ok(()));
}

#[test]
fn a_condition_that_does_not_hold_is_an_error_with_its_message() {
    // When a condition does not hold, then the error has the message of its check
    assert_eq!(check_is_even(3), Err("3 is odd".into()));
    assert_eq!(check_is_positive(0), Err("number > 0".into()));
    assert_eq!(check_sum(2, 2), Err("left + right: 4, not 5".into()));
    assert_eq!(check_sum(1, 4), Err("of 4: 1, not 2".into()));
}

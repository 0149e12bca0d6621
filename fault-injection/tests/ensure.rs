//! `ensure!` and `ensure_eq!` return an error exactly when their condition does not hold.

use birchreach_fault_injection::{ensure, ensure_eq};

/// A check with its own message.
fn check_is_even(number: u32) -> Result<(), String> {
    ensure!(number.is_multiple_of(2), "{number} is odd");
    Ok(())
}

/// A check whose message is the text of its condition.
fn check_is_positive(number: i32) -> Result<(), String> {
    ensure!(number > 0);
    Ok(())
}

/// Two equality checks: the first without a description of the value, the second with one.
fn check_sum(left: u32, right: u32) -> Result<(), String> {
    ensure_eq!(left + right, 5);
    ensure_eq!(left, 2, "of {right}");
    Ok(())
}

#[test]
fn a_condition_that_holds_returns_no_error() {
    // When the conditions hold, then the checks pass
    assert_eq!(check_is_even(2), Ok(()));
    assert_eq!(check_is_positive(1), Ok(()));
    assert_eq!(check_sum(2, 3), Ok(()));
}

#[test]
fn a_condition_that_does_not_hold_returns_an_error_with_the_message_of_the_check() {
    // When a condition does not hold, then the error has the message of its check
    assert_eq!(check_is_even(3), Err("3 is odd".into()));
    assert_eq!(check_is_positive(0), Err("number > 0".into()));
    assert_eq!(check_sum(2, 2), Err("left + right: 4, not 5".into()));
    assert_eq!(check_sum(1, 4), Err("of 4: 1, not 2".into()));
}

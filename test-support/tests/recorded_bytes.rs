//! Recorded bytes are found by name and decoded to the bytes that were recorded.

use birchreach_test_support::recorded_bytes::{find_recorded, from_hex, to_hex};

#[test]
fn hexadecimal_digits_are_decoded_to_the_encoded_bytes() {
    let bytes = [0, 1, 0x7f, 0xab, 0xff];

    assert_eq!(to_hex(&bytes), "00017fabff");
    assert_eq!(from_hex("00017fabff"), bytes);
    assert_eq!(from_hex(""), []);
}

#[test]
fn recorded_bytes_are_found_by_name() {
    let recording = "hello 00ff\nhello-2 01\n";

    assert_eq!(find_recorded(recording, "hello"), [0, 0xff]);
    assert_eq!(find_recorded(recording, "hello-2"), [1]);
}

#[test]
#[should_panic(expected = "hello-3 is not recorded")]
fn a_name_that_is_not_recorded_panics() {
    find_recorded("hello 00ff\n", "hello-3");
}

#[test]
#[should_panic(expected = "byte 1 of 00zz")]
fn digits_that_are_not_hexadecimal_panic() {
    from_hex("00zz");
}

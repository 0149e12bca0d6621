//! Bytes that an earlier release wrote, recorded in hexadecimal. Tests compare the current output with them and check
//! that they can still be read.

/// Encodes bytes as lower-case hexadecimal digits.
pub fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Decodes bytes from hexadecimal digits.
///
/// # Panics
///
/// Panics if the text contains anything other than pairs of hexadecimal digits.
pub fn from_hex(text: &str) -> Vec<u8> {
    let byte_at = |at: usize| match u8::from_str_radix(&text[at..at + 2], 16) {
        Ok(byte) => byte,
        Err(error) => panic!("byte {} of {text}: {error}", at / 2),
    };
    (0..text.len()).step_by(2).map(byte_at).collect()
}

/// Returns the bytes recorded under a name. Each line of a recording consists of a name, a space and the bytes in
/// hexadecimal.
///
/// # Panics
///
/// Panics if the recording does not contain the name.
pub fn find_recorded(recording: &str, name: &str) -> Vec<u8> {
    let mut entries = recording.lines().filter_map(|line| line.split_once(' '));
    match entries.find(|(recorded_name, _)| *recorded_name == name) {
        Some((_, digits)) => from_hex(digits),
        None => panic!("{name} is not recorded"),
    }
}

//! Bytes that an earlier release wrote, recorded in hexadecimal: tests compare what is written now with them, and read them.

/// The bytes in hexadecimal.
pub fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The bytes that are written in hexadecimal.
///
/// # Panics
///
/// If the text is anything but pairs of hexadecimal digits.
pub fn from_hex(text: &str) -> Vec<u8> {
    let byte_at = |at: usize| match u8::from_str_radix(&text[at..at + 2], 16) {
        Ok(byte) => byte,
        Err(error) => panic!("byte {} of {text}: {error}", at / 2),
    };
    (0..text.len()).step_by(2).map(byte_at).collect()
}

/// The bytes that a recording has under a name. Each of its lines is a name and the bytes in hexadecimal.
///
/// # Panics
///
/// If the recording does not have the name.
pub fn find_recorded(recording: &str, name: &str) -> Vec<u8> {
    let mut entries = recording.lines().filter_map(|line| line.split_once(' '));
    match entries.find(|(recorded_name, _)| *recorded_name == name) {
        Some((_, digits)) => from_hex(digits),
        None => panic!("{name} is not recorded"),
    }
}

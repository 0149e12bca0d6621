//! The end of a reply, as seen in bytes that have not been removed from the socket.

use super::{ServerMessage, read_u32};

/// The tag and the length field of a message.
const HEADER_BYTES: usize = 5;
/// The length field counts itself, but not the tag.
const TAG_BYTES: usize = 1;

/// Returns whether `bytes`, which follow a row, hold the complete end of a successful reply: CommandComplete and ReadyForQuery, with
/// nothing between them but messages that do not change the result.
pub(crate) fn has_complete_reply_end(bytes: &[u8]) -> bool {
    let Some((ServerMessage::CommandComplete, mut rest)) = split_message(bytes) else { return false };
    loop {
        match split_message(rest) {
            Some((ServerMessage::ReadyForQuery, _)) => return true,
            Some((ServerMessage::ParameterStatus { .. } | ServerMessage::Skipped, after)) => rest = after,
            _ => return false,
        }
    }
}

/// Splits a valid message off the front. `None`: the message is incomplete or invalid.
fn split_message(bytes: &[u8]) -> Option<(ServerMessage, &[u8])> {
    let (tag, after_tag) = bytes.split_first()?;
    let length = usize::try_from(read_u32(after_tag)?).ok()?;
    let (message, rest) = bytes.split_at_checked(length.checked_add(TAG_BYTES)?)?;
    let message = ServerMessage::decode(*tag, message.get(HEADER_BYTES..)?).ok()?;
    Some((message, rest))
}

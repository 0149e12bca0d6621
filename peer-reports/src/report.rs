//! The trait that the reports of all subsystems implement, with their encoding and decoding.

use crate::ReportError;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// A report of one subsystem. Postcard encodes it, so that the order of its fields is part of the wire
/// format.
pub trait PeerReport: Serialize + DeserializeOwned {
    /// The subject of the reports, for error messages.
    const SUBJECT: &'static str;

    /// Returns whether the content satisfies the rules of the subsystem. A report that does not is rejected.
    fn is_valid(&self) -> bool;

    /// Encodes the report for other processes.
    fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a report that another process sent.
    ///
    /// # Errors
    ///
    /// [`ReportError::Malformed`] if the bytes cannot be decoded or the content is not valid.
    fn decode(bytes: &[u8]) -> Result<Self, ReportError> {
        let decoded: Option<Self> = postcard::from_bytes(bytes).ok();
        decoded.filter(Self::is_valid).ok_or(ReportError::Malformed { subject: Self::SUBJECT })
    }
}

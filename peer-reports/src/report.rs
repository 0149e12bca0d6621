//! What the reports of all subsystems have in common: how they are encoded, and which bytes of another process are a report.

use crate::ReportError;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// A report of one subsystem. It is encoded by postcard: the order of its fields is the format on the wire.
pub trait PeerReport: Serialize + DeserializeOwned {
    /// What the processes report on, as errors name it.
    const SUBJECT: &'static str;

    /// Whether the content is one that a process may report.
    fn is_valid(&self) -> bool;

    /// The bytes that are sent to other processes.
    fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads a report from bytes that another process sent.
    ///
    /// # Errors
    ///
    /// [`ReportError::Malformed`] if they are no report, or one that is not valid.
    fn decode(bytes: &[u8]) -> Result<Self, ReportError> {
        let decoded: Option<Self> = postcard::from_bytes(bytes).ok();
        decoded.filter(Self::is_valid).ok_or(ReportError::Malformed { subject: Self::SUBJECT })
    }
}

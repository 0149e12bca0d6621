//! Errors in the options file.

use crate::MAX_FILE_BYTES;
use birchreach_health::SettingsError;
use std::fmt;
use std::net::SocketAddr;

/// Something wrong in the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OptionsError {
    /// Its line, from 1.
    pub line: usize,
    /// The element, or `file`.
    pub element: String,
    /// What is wrong with it.
    pub kind: OptionsErrorKind,
}

/// What is wrong with an element or with the file as a whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OptionsErrorKind {
    /// The file is too long.
    TooLong,
    /// The file has a document type declaration, which could define entities.
    DocumentType,
    /// The file is not XML, by the message of the parser.
    InvalidXml(String),
    /// The schema itself cannot be used, by the message of the validator.
    UnusableSchema(String),
    /// The schema is violated.
    SchemaViolation {
        /// The attribute at fault, if the message is about one.
        attribute: Option<String>,
        /// The message of the validator.
        message: String,
    },
    /// The schema accepts a value that cannot be read.
    UnreadableValue {
        /// The attribute.
        attribute: &'static str,
        /// Its value.
        text: String,
    },
    /// An element of a list is not an address and a port.
    InvalidAddress {
        /// The attribute.
        attribute: &'static str,
        /// The element of its list.
        text: String,
    },
    /// The health options have no listener.
    NoHealthListener,
    /// Settings of the health options contradict one another.
    HealthSettings(SettingsError),
    /// State transfer has neither an address of its own nor those of other proxies.
    NoStateTransfer,
    /// Other members of the fleet cannot reach an address.
    UnreachableAddress(SocketAddr),
    /// Hot keys need the fleet, which is switched off.
    HotKeysWithoutFleet,
    /// A split needs the fleet, which is switched off.
    SplitWithoutFleet,
    /// The parent and the children of a split are not three groups.
    GroupsNotDistinct,
    /// Another element of the options uses an address.
    SharedAddress {
        /// The address.
        address: SocketAddr,
        /// The other element.
        element: &'static str,
    },
    /// The process uses an address for something else.
    AddressInUse {
        /// The address.
        address: SocketAddr,
        /// What it is used as.
        user: String,
    },
    /// Health checks would need more than half of the descriptors.
    TooManyDescriptors {
        /// Descriptors for health checks.
        wanted: usize,
        /// Descriptors that the process may hold.
        max_descriptors: usize,
    },
}

impl OptionsError {
    pub(crate) fn new(line: usize, element: impl Into<String>, kind: OptionsErrorKind) -> OptionsError {
        OptionsError { line, element: element.into(), kind }
    }

    /// An error of the file as a whole.
    pub(crate) fn in_file(line: usize, kind: OptionsErrorKind) -> OptionsError {
        OptionsError::new(line, "file", kind)
    }
}

impl fmt::Display for OptionsError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "line {}: {}: {}", self.line, self.element, self.kind)
    }
}

/// Begins with the name of the attribute, if one is at fault.
impl fmt::Display for OptionsErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            OptionsErrorKind::TooLong => write!(f, "longer than {MAX_FILE_BYTES} bytes"),
            OptionsErrorKind::DocumentType => f.write_str("a document type is not taken"),
            OptionsErrorKind::InvalidXml(message) => write!(f, "not XML: {message}"),
            OptionsErrorKind::UnusableSchema(message) => write!(f, "the schema: {message}"),
            OptionsErrorKind::SchemaViolation { attribute: Some(attribute), message } => {
                write!(f, "{attribute}: {message}")
            }
            OptionsErrorKind::SchemaViolation { attribute: None, message } => f.write_str(message),
            OptionsErrorKind::UnreadableValue { attribute, text } => {
                write!(f, "{attribute}: '{text}' cannot be read")
            }
            OptionsErrorKind::InvalidAddress { attribute, text } => {
                write!(f, "{attribute}: '{text}' is no address and port")
            }
            OptionsErrorKind::NoHealthListener => {
                f.write_str("neither http, agent nor grpc: nobody could ask")
            }
            OptionsErrorKind::HealthSettings(error) => error.fmt(f),
            OptionsErrorKind::NoStateTransfer => {
                f.write_str("neither listen nor donors: nobody is asked, nobody can ask")
            }
            OptionsErrorKind::UnreachableAddress(address) => {
                write!(f, "listen: others cannot reach {address}: name the address in advertise")
            }
            OptionsErrorKind::HotKeysWithoutFleet => {
                f.write_str("there is no element fleet: nobody tells what others are asked for")
            }
            OptionsErrorKind::SplitWithoutFleet => {
                f.write_str("there is no element fleet: nobody tells what others have compared")
            }
            OptionsErrorKind::GroupsNotDistinct => {
                f.write_str("from, below and above: expected three groups")
            }
            OptionsErrorKind::SharedAddress { address, element } => {
                write!(f, "listen: {address} is used by {element} too")
            }
            OptionsErrorKind::AddressInUse { address, user } => {
                write!(f, "listen: {address} is used as {user} already")
            }
            OptionsErrorKind::TooManyDescriptors { wanted, max_descriptors } => {
                write!(f, "callers: {wanted} descriptors for checks are more than half of {max_descriptors}")
            }
        }
    }
}

impl std::error::Error for OptionsError {}

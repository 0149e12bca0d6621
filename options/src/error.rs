//! Errors in the options file.

use crate::MAX_FILE_BYTES;
use birchreach_health::SettingsError;
use std::fmt;
use std::net::SocketAddr;

const DOCUMENT_TYPE_TEXT: &str = "\
    a document type declaration is not supported; remove <!DOCTYPE ...> and write the text of its entities where they \
    are used";
const NO_HEALTH_LISTENER_TEXT: &str =
    "no listener for health checks; add at least one of the elements http, agent and grpc";
const NO_STATE_TRANSFER_TEXT: &str = "\
    no address for state transfer; set listen to send state to other proxies, or donors to request it from them";
const HOT_KEYS_WITHOUT_FLEET_TEXT: &str =
    "requires the element fleet, because processes exchange their read rates through the fleet";
const SPLIT_WITHOUT_FLEET_TEXT: &str =
    "requires the element fleet, because processes exchange their comparisons through the fleet";

/// An error at one place of the options file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OptionsError {
    /// Line of the element or of the XML error, counted from 1. It is 1 if the error has no known place in the file.
    pub line: usize,
    /// Name of the element, or `file` if the error concerns the entire file.
    pub element: String,
    /// The cause, with the values that the message shows.
    pub kind: OptionsErrorKind,
}

/// The cause of an error that concerns one element or the entire file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OptionsErrorKind {
    /// The file is longer than [`MAX_FILE_BYTES`].
    TooLong {
        /// Length of the file in bytes.
        bytes: usize,
    },
    /// The file has a document type declaration, which could define entities.
    DocumentTypeDeclaration,
    /// The file is not well-formed XML. Contains the message of the parser.
    InvalidXml(String),
    /// The schema itself is invalid. Contains the message of the validator.
    UnusableSchema(String),
    /// The file violates the schema.
    SchemaViolation {
        /// The attribute with the invalid value; `None` if the message does not quote the value of an attribute.
        attribute: Option<String>,
        /// Message of the schema validator, which is shown unchanged.
        message: String,
    },
    /// A value that the schema accepts is not a number of the expected type.
    InvalidNumber {
        /// Name of the attribute that has to be a number.
        attribute: &'static str,
        /// The text that the attribute has instead.
        found: String,
    },
    /// A value that the schema accepts, or an element of a list, is not an IP address with a port.
    InvalidAddress {
        /// Name of the attribute that has to be an address or a list of addresses.
        attribute: &'static str,
        /// Value of the attribute, or the element of its list.
        found: String,
    },
    /// The health options have no listener.
    NoHealthListener,
    /// Two or more of the health options contradict each other.
    HealthSettings(SettingsError),
    /// State transfer is configured with neither a listener nor the addresses of other proxies.
    NoStateTransfer,
    /// Other members of the fleet cannot send to this address: its IP address is unspecified or its port is 0.
    UnreachableAddress(SocketAddr),
    /// Copies of hot keys are configured without a fleet.
    HotKeysWithoutFleet,
    /// A shard split is configured without a fleet.
    SplitWithoutFleet,
    /// The parent and the children of a shard split are not three different groups.
    GroupsNotDistinct {
        /// The parent, the lower child and the upper child.
        groups: [u32; 3],
    },
    /// Two elements of the options use the same address.
    SharedAddress {
        /// The address of the element with the error.
        address: SocketAddr,
        /// Name of the other element.
        element: &'static str,
    },
    /// An element of the options uses an address of the platform's configuration.
    AddressInUse {
        /// The address of the element with the error.
        address: SocketAddr,
        /// Key of the address in the platform's configuration.
        key: String,
    },
    /// Health checks need more than half of the file descriptors of the process.
    TooManyDescriptors {
        /// File descriptors that health checks need.
        needed: usize,
        /// File descriptors that the process may have open.
        max_descriptors: usize,
    },
}

impl OptionsError {
    pub(crate) fn new(line: usize, element: impl Into<String>, kind: OptionsErrorKind) -> OptionsError {
        OptionsError { line, element: element.into(), kind }
    }

    /// Returns an error that concerns the entire file.
    pub(crate) fn in_file(line: usize, kind: OptionsErrorKind) -> OptionsError {
        OptionsError::new(line, "file", kind)
    }
}

impl fmt::Display for OptionsError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "line {}: {}: {}", self.line, self.element, self.kind)
    }
}

/// The message. It begins with the name of the attribute if the error concerns one attribute.
impl fmt::Display for OptionsErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            OptionsErrorKind::TooLong { bytes } => {
                write!(f, "the file has {bytes} bytes, expected at most {MAX_FILE_BYTES}")
            }
            OptionsErrorKind::DocumentTypeDeclaration => f.write_str(DOCUMENT_TYPE_TEXT),
            OptionsErrorKind::InvalidXml(message) => write!(f, "invalid XML: {message}"),
            OptionsErrorKind::UnusableSchema(message) => {
                write!(f, "the schema in the program is invalid: {message}")
            }
            OptionsErrorKind::SchemaViolation { attribute: Some(attribute), message } => {
                write!(f, "{attribute}: {message}")
            }
            OptionsErrorKind::SchemaViolation { attribute: None, message } => f.write_str(message),
            OptionsErrorKind::InvalidNumber { attribute, found } => {
                write!(f, "{attribute}: expected a number, found '{found}'")
            }
            OptionsErrorKind::InvalidAddress { attribute, found } => {
                write!(f, "{attribute}: expected an IP address and a port, found '{found}'")
            }
            OptionsErrorKind::NoHealthListener => f.write_str(NO_HEALTH_LISTENER_TEXT),
            OptionsErrorKind::HealthSettings(error) => error.fmt(f),
            OptionsErrorKind::NoStateTransfer => f.write_str(NO_STATE_TRANSFER_TEXT),
            OptionsErrorKind::UnreachableAddress(address) => write!(
                f,
                "listen: other proxies cannot send to {address}; set advertise to an IP address and a port that they \
                 can reach"
            ),
            OptionsErrorKind::HotKeysWithoutFleet => f.write_str(HOT_KEYS_WITHOUT_FLEET_TEXT),
            OptionsErrorKind::SplitWithoutFleet => f.write_str(SPLIT_WITHOUT_FLEET_TEXT),
            OptionsErrorKind::GroupsNotDistinct { groups: [parent, lower, upper] } => write!(
                f,
                "from, below and above: expected three different groups, found {parent}, {lower} and {upper}"
            ),
            OptionsErrorKind::SharedAddress { address, element } => {
                write!(f, "listen: {address} is already used by the element {element}")
            }
            OptionsErrorKind::AddressInUse { address, key } => {
                write!(f, "listen: {address} is already used as {key} in the platform's configuration")
            }
            OptionsErrorKind::TooManyDescriptors { needed, max_descriptors } => write!(
                f,
                "callers: health checks need {needed} file descriptors, expected at most half of the \
                 {max_descriptors} of the process"
            ),
        }
    }
}

impl std::error::Error for OptionsError {}

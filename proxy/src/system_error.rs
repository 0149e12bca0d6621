//! Which errors of the system pass by themselves, which need a free descriptor, and which are final. The start, the listeners,
//! connections and the reload all use this table.

use std::io;

/// What an error of the system means for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SystemErrorClass {
    /// The call was disturbed and can be repeated at once.
    Interrupted,
    /// No descriptor is free. Closing another one helps.
    NoDescriptor,
    /// The system lacks something at the moment, or the network is not there. The call can be repeated after a pause.
    Passing,
    /// The call fails again each time, because its arguments are wrong or the process lacks a permission.
    Final,
}

impl SystemErrorClass {
    /// Returns the class of an error. Errors that do not come from the system are final.
    pub(crate) fn of(error: &io::Error) -> SystemErrorClass {
        match error.raw_os_error() {
            Some(libc::EINTR | libc::ECONNABORTED) => SystemErrorClass::Interrupted,
            Some(libc::EMFILE | libc::ENFILE) => SystemErrorClass::NoDescriptor,
            // The system lacks memory, buffers, watches, disk space, or an entry in a table.
            Some(libc::ENOMEM | libc::ENOBUFS | libc::ENOSPC | libc::EAGAIN | libc::EBUSY) => {
                SystemErrorClass::Passing
            }
            // A file on a device that fails or is written at present.
            Some(libc::EIO | libc::ETXTBSY | libc::ESTALE) => SystemErrorClass::Passing,
            // The address is still held by a process that ends, or not set up yet; no local port is free.
            Some(libc::EADDRINUSE | libc::EADDRNOTAVAIL) => SystemErrorClass::Passing,
            // The network, which accept reports for the connection that it would have returned.
            Some(
                libc::ENETDOWN
                | libc::ENETUNREACH
                | libc::ENETRESET
                | libc::EHOSTDOWN
                | libc::EHOSTUNREACH
                | libc::ENONET
                | libc::EPROTO
                | libc::ENOPROTOOPT
                | libc::ETIMEDOUT
                | libc::ECONNRESET
                | libc::EPERM,
            ) => SystemErrorClass::Passing,
            _ => SystemErrorClass::Final,
        }
    }

    /// Returns whether the call may succeed when it is repeated.
    pub(crate) fn passes(self) -> bool {
        self != SystemErrorClass::Final
    }
}

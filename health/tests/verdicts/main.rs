//! The verdict in cases that matter to operators, in virtual time, and the replies that balancers then receive.

#[path = "../common/mod.rs"]
mod common;
mod http_checks;
mod own_faults;
mod primary_faults;
mod support;

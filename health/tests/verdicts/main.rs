//! The verdict in the cases that matter to operators, in virtual time, and what balancers then read.

#[path = "../common/mod.rs"]
mod common;
mod http_checks;
mod own_faults;
mod primary_faults;
mod support;

//! The verdict in the cases that matter to operators, in virtual time, and what balancers then read.

mod http_checks;
mod own_faults;
mod primary_faults;
mod support;

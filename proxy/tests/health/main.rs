//! Health reporting on real processes: scripted databases fail and change roles while test balancers check. Times are
//! bounded generously; how soon something is reported is measured by `benches/`, not asserted here.

mod crowds;
mod database_faults;
mod operations;
mod rotation;
mod support;

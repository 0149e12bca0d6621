//! Health reporting of proxy processes: scripted databases fail and change roles while test balancers run health checks. The time
//! limits here are generous; `benches/` measures how soon a change is reported.

mod crowds;
mod database_faults;
mod operations;
mod rotation;
mod support;

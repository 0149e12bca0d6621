//! Tests of the protocol's state machines and statements, with simulated time.

mod arrival_times;
mod commit_time_query;
mod copies;
mod statement;

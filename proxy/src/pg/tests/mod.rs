//! The protocol's state machines and queries, with times made by hand.

mod arrival_times;
mod commit_time_query;
mod copies;
mod statement;

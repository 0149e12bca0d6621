//! Crowds of clients under the least memory that the platform gives a proxy. The test kills the process at its limit, as the
//! platform does, while a client that behaves well sends requests beside the crowd.

mod configuration;
mod crowds;
mod rig;
mod unfinished_answers;

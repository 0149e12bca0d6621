//! Checks the complete text of each kind of error and warning about configurations, options and key files.

mod options;
mod platform_file;
mod support;

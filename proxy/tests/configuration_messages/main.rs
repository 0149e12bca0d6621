//! The texts about faulty configurations and options, as operators read them: one of each kind, word for word.

mod options;
mod platform_file;
mod support;

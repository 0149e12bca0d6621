//! The command `check`: every fault and every warning of a configuration and its options.

use super::error::{ConfigFault, FaultKind};
use super::json_location::line_of;
use super::key_file::read_key_file;
use super::options::{parse_options, read_options};
use super::parse::parse;
use super::platform_error::PlatformFileError;
use super::{CONFIG_VARIABLE, Config};
use birchreach_settings::SettingsWarning;
use std::path::{Path, PathBuf};

/// What is wrong, and what is probably not meant.
#[derive(Debug, Default)]
pub(crate) struct CheckReport {
    /// Faults of both files. With one, the configuration is not applied.
    pub faults: Vec<ConfigFault>,
    /// Warnings about the configuration.
    pub warnings: Vec<ConfigFault>,
}

/// Checks both files.
pub(crate) fn check(variable: impl Fn(&str) -> Option<String>, options: Option<&Path>) -> CheckReport {
    let mut report = CheckReport::default();
    let Some(file) = variable(CONFIG_VARIABLE).map(PathBuf::from) else {
        report.faults.push(ConfigFault::for_file(Path::new(CONFIG_VARIABLE), FaultKind::FileNotSpecified));
        return report;
    };
    let config = report.check_config(&file, variable);
    if let Some(options) = options {
        report.check_options(options, config.as_ref());
    }
    report
}

impl CheckReport {
    /// Checks the platform's file; returns the configuration if it has no faults.
    fn check_config(&mut self, file: &Path, variable: impl Fn(&str) -> Option<String>) -> Option<Config> {
        let text = match std::fs::read_to_string(file) {
            Ok(text) => text,
            Err(error) => {
                self.faults.push(ConfigFault::for_file(file, FaultKind::Unreadable(error)));
                return None;
            }
        };
        match parse(&text, variable) {
            Ok(config) => {
                let located = config.warnings.iter().map(|warning| locate_warning(file, &text, warning));
                self.warnings.extend(located);
                Some(config)
            }
            Err(faults) => {
                self.faults.extend(faults.into_iter().map(|error| locate_error(file, &text, error)));
                None
            }
        }
    }

    /// Without a configuration the options are checked by themselves.
    fn check_options(&mut self, file: &Path, config: Option<&Config>) {
        let options = match config {
            Some(config) => read_options(file, config),
            None => parse_options(file),
        };
        self.faults.extend(options.err().unwrap_or_default());
        let named = parse_options(file).unwrap_or_default();
        let key_files =
            [named.peer_state.map(|transfer| transfer.key_file), named.fleet.map(|fleet| fleet.key_file)];
        for key_file in key_files.into_iter().flatten() {
            self.faults.extend(read_key_file(&key_file).err());
        }
    }
}

/// An error of the platform's file, at the line of its key.
fn locate_error(file: &Path, text: &str, error: PlatformFileError) -> ConfigFault {
    let line = line_of(text, &error.key_path());
    ConfigFault { file: file.into(), line, kind: FaultKind::PlatformFile(error) }
}

/// A warning about a setting, at the line of its key.
fn locate_warning(file: &Path, text: &str, warning: &SettingsWarning) -> ConfigFault {
    // A key with a blank is an unknown one, and reported at the line of the settings.
    let path =
        if warning.key.contains(' ') { "settings".into() } else { format!("settings.{}", warning.key) };
    ConfigFault { file: file.into(), line: line_of(text, &path), kind: FaultKind::Warning(warning.clone()) }
}

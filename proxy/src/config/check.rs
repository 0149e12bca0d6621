//! The command `check`: finds all errors and warnings in a configuration, its options and its key files.

use super::error::{ConfigDiagnostic, DiagnosticKind};
use super::json_location::line_of;
use super::key_file::read_key_file;
use super::options::{parse_options, read_options};
use super::parse::parse;
use super::platform_error::PlatformFileError;
use super::{CONFIG_VARIABLE, Config};
use birchreach_settings::SettingsWarning;
use std::path::{Path, PathBuf};

/// The errors and warnings that a check has found.
#[derive(Debug, Default)]
pub(crate) struct CheckReport {
    /// Errors in all files. A configuration with an error is not applied.
    pub errors: Vec<ConfigDiagnostic>,
    /// Warnings about settings. A configuration with warnings is applied.
    pub warnings: Vec<ConfigDiagnostic>,
}

/// Checks the platform's file that an environment variable names, and the options file if there is one.
pub(crate) fn check(variable: impl Fn(&str) -> Option<String>, options: Option<&Path>) -> CheckReport {
    let mut report = CheckReport::default();
    let Some(file) = variable(CONFIG_VARIABLE).map(PathBuf::from) else {
        report
            .errors
            .push(ConfigDiagnostic::for_file(Path::new(CONFIG_VARIABLE), DiagnosticKind::FileNotSpecified));
        return report;
    };
    let config = report.check_config(&file, variable);
    if let Some(options) = options {
        report.check_options(options, config.as_ref());
    }
    report
}

impl CheckReport {
    /// Checks the platform's file. Returns the configuration if the file has no errors.
    fn check_config(&mut self, file: &Path, variable: impl Fn(&str) -> Option<String>) -> Option<Config> {
        let text = match std::fs::read_to_string(file) {
            Ok(text) => text,
            Err(error) => {
                self.errors.push(ConfigDiagnostic::for_file(file, DiagnosticKind::Unreadable(error)));
                return None;
            }
        };
        match parse(&text, variable) {
            Ok(config) => {
                let located = config.warnings.iter().map(|warning| locate_warning(file, &text, warning));
                self.warnings.extend(located);
                Some(config)
            }
            Err(errors) => {
                self.errors.extend(errors.into_iter().map(|error| locate_error(file, &text, error)));
                None
            }
        }
    }

    /// Checks the options and their key files. Conflicts with the configuration are found only if the configuration has
    /// no errors.
    fn check_options(&mut self, file: &Path, config: Option<&Config>) {
        let options = match config {
            Some(config) => read_options(file, config),
            None => parse_options(file),
        };
        self.errors.extend(options.err().unwrap_or_default());
        let parsed = parse_options(file).unwrap_or_default();
        let key_files = [
            parsed.peer_state.map(|peer_state| peer_state.key_file),
            parsed.fleet.map(|fleet| fleet.key_file),
        ];
        for key_file in key_files.into_iter().flatten() {
            self.errors.extend(read_key_file(&key_file).err());
        }
    }
}

/// Adds the line of the key to an error in the platform's file.
fn locate_error(file: &Path, text: &str, error: PlatformFileError) -> ConfigDiagnostic {
    let line = line_of(text, &error.key_path());
    ConfigDiagnostic { file: file.into(), line, kind: DiagnosticKind::PlatformFile(error) }
}

/// Adds the line of the key to a warning about a setting.
fn locate_warning(file: &Path, text: &str, warning: &SettingsWarning) -> ConfigDiagnostic {
    // A key that contains a space is unknown. Its warning is at the line of the settings.
    let path =
        if warning.key.contains(' ') { "settings".into() } else { format!("settings.{}", warning.key) };
    ConfigDiagnostic {
        file: file.into(),
        line: line_of(text, &path),
        kind: DiagnosticKind::Warning(warning.clone()),
    }
}

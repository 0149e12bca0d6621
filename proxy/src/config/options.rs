//! Reads the options file, with or without a check for conflicts with the configuration.

use super::Config;
use super::error::{ConfigDiagnostic, DiagnosticKind};
use birchreach_options::{Options, OptionsError};
use std::path::Path;

/// Reads the options and checks that they do not conflict with the configuration.
pub(super) fn read_options(file: &Path, config: &Config) -> Result<Options, Vec<ConfigDiagnostic>> {
    let options = parse_options(file)?;
    let mut addresses = vec![("listen", config.listen_address), ("discovery", config.discovery_address)];
    addresses.extend(config.admin_address.map(|address| ("operator", address)));
    let mut conflicts = options.address_conflicts(&addresses);
    conflicts.extend(options.excess_descriptors(config.max_descriptors));
    if conflicts.is_empty() { Ok(options) } else { Err(located_errors(file, conflicts)) }
}

/// Reads the options without a check for conflicts.
pub(super) fn parse_options(file: &Path) -> Result<Options, Vec<ConfigDiagnostic>> {
    let text = std::fs::read_to_string(file)
        .map_err(|error| vec![ConfigDiagnostic::for_file(file, DiagnosticKind::Unreadable(error))])?;
    birchreach_options::parse(&text).map_err(|errors| located_errors(file, errors))
}

/// Adds the path of the file to errors of the options.
fn located_errors(file: &Path, errors: Vec<OptionsError>) -> Vec<ConfigDiagnostic> {
    let located = |error: OptionsError| ConfigDiagnostic {
        file: file.into(),
        line: error.line,
        kind: DiagnosticKind::Options(Box::new(error)),
    };
    errors.into_iter().map(located).collect()
}

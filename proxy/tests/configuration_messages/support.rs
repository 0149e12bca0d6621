//! Runs the program with the files of a folder.

use std::fs::Permissions;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const PROGRAM: &str = env!("CARGO_BIN_EXE_birchreach-proxy");
const INVALID_CONFIGURATION: i32 = 2;
/// A configuration without errors and warnings.
pub(crate) const VALID: &str = include_str!("../../../example/config.json");

/// The folder that holds the files of one test.
pub(crate) struct Folder(pub PathBuf);

impl Folder {
    pub(crate) fn new(name: &str) -> Folder {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("configuration_messages").join(name);
        std::fs::create_dir_all(&folder).unwrap();
        Folder(folder)
    }

    /// Writes a file for which only the owner has permissions.
    pub(crate) fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).unwrap();
        std::fs::set_permissions(&path, Permissions::from_mode(0o600)).unwrap();
        path
    }

    pub(crate) fn write_options(&self, elements: &str) -> PathBuf {
        self.write("options.xml", &format!("<birchreach-options>\n{elements}\n</birchreach-options>"))
    }

    /// Runs the command `check` and returns the lines that it prints.
    pub(crate) fn check(&self, config: &Path, options: Option<&Path>) -> Vec<String> {
        let mut command = program();
        command.arg("check").arg("--config").arg(config);
        let output = run(command, options);
        self.without_folder(&output.stdout).lines().map(Into::into).collect()
    }

    /// Starts the program with an invalid configuration and returns the text on standard error.
    pub(crate) fn start_error(&self, config: &Path, options: Option<&Path>) -> String {
        let mut command = program();
        command.env("RELAY_CONFIG", config);
        let output = run(command, options);
        assert_eq!(output.status.code(), Some(INVALID_CONFIGURATION));
        self.without_folder(&output.stderr)
    }

    /// Removes the path of the folder from a text.
    fn without_folder(&self, text: &[u8]) -> String {
        let folder = format!("{}/", self.0.display());
        String::from_utf8_lossy(text).replace(&folder, "")
    }
}

fn run(mut command: Command, options: Option<&Path>) -> Output {
    if let Some(options) = options {
        command.arg("--options").arg(options);
    }
    command.output().unwrap()
}

/// Returns a command that runs the program without the environment variables of the platform.
pub(crate) fn program() -> Command {
    let mut command = Command::new(PROGRAM);
    for variable in ["CONFIG", "NAME", "LISTEN", "DISCOVERY", "OPERATOR"] {
        command.env_remove(format!("RELAY_{variable}"));
    }
    command
}

/// Returns the valid configuration after one replacement.
pub(crate) fn replaced(old: &str, new: &str) -> String {
    assert!(VALID.contains(old), "{old}");
    VALID.replacen(old, new, 1)
}

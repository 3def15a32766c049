//! One gateway's process, directory and links.

use super::config_files::{GatewayAddresses, CONFIG_FILE, OPERATOR_FILE};
use crate::link::Link;
use crate::stub;
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Environment variable with the comma-separated names of the guards that a debug build disables.
const DISABLED_GUARDS_VARIABLE: &str = "IRONSTAIR_DISABLED_GUARDS";

pub(super) struct GatewayProcess {
    pub(super) child: Option<Child>,
    /// Whether the process is suspended by SIGSTOP.
    pub(super) is_paused: bool,
    pub(super) dir: PathBuf,
    pub(super) addresses: GatewayAddresses,
    pub(super) disabled_guards: Vec<&'static str>,
    /// Links on which this gateway opens the connections, by the index of the voter at the other end.
    pub(super) links: BTreeMap<usize, Link>,
}

impl GatewayProcess {
    pub(super) fn start(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.log_path())
            .expect("the gateway's directory is writable");
        let stdout = log.try_clone().expect("a file handle can be duplicated");
        let mut serve = Command::new(stub::gateway_binary());
        serve
            .arg("serve")
            .arg(self.dir.join(CONFIG_FILE))
            .arg("--operator")
            .arg(self.dir.join(OPERATOR_FILE))
            .stdin(Stdio::null())
            .stdout(stdout)
            .stderr(log);
        if !self.disabled_guards.is_empty() {
            serve.env(DISABLED_GUARDS_VARIABLE, self.disabled_guards.join(","));
        }
        self.child = Some(serve.spawn().expect("the built gateway can be executed"));
    }

    pub(super) fn is_running(&self) -> bool {
        self.child.is_some() && !self.is_paused
    }

    /// Sends a signal to the process, given as an option of `kill` such as `-TERM`. Does nothing without a process.
    ///
    /// # Panics
    ///
    /// If the signal can't be sent.
    pub(super) fn signal(&self, signal: &str) {
        let Some(child) = &self.child else { return };
        let status = Command::new("kill")
            .args([signal, &child.id().to_string()])
            .status();
        let is_sent = status.is_ok_and(|status| status.success());
        assert!(
            is_sent,
            "cannot send {signal} to the gateway in {}",
            self.dir.display()
        );
    }

    /// The directory of the voter's replica.
    pub(super) fn state_dir(&self) -> PathBuf {
        self.dir.join("state")
    }

    pub(super) fn log(&self) -> String {
        fs::read_to_string(self.log_path()).unwrap_or_default()
    }

    fn log_path(&self) -> PathBuf {
        self.dir.join("log")
    }
}

/// Copies the files of a directory that has no subdirectories. A missing source directory counts as empty.
pub(super) fn copy_files(from: &Path, to: &Path) {
    // The directory may exist already. If it can't be created, the first copy fails.
    let _ = fs::create_dir_all(to);
    for entry in fs::read_dir(from).into_iter().flatten().flatten() {
        fs::copy(entry.path(), to.join(entry.file_name())).expect("a replica's file can be copied");
    }
}

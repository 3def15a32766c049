//! The command line's own client, run against a gateway of the cluster.

use super::{Cluster, CONDITION_TIMEOUT};
use crate::invariants::Observation;
use crate::stub::gateway_binary;
use std::net::SocketAddr;
use std::process::Command;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Exit code of a command whose request the gateway or the fleet refused.
const REFUSED_EXIT_CODE: i32 = 3;
/// Error texts of a change that was based on a policy which is no longer current.
const STALE_BASE_ERRORS: [&str; 2] = [
    "is not based on the running revision",
    "is not known here yet",
];
/// Pause before a command with a stale base is repeated.
const STALE_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Index of the engine in zone b.
const ENGINE_OF_ZONE_B: usize = 1;

/// A command that has ended.
#[derive(Debug)]
pub struct CommandOutput {
    /// The exit code, or -1 if a signal ended the command.
    pub exit_code: i32,
    /// Everything written to the standard output.
    pub stdout: String,
    /// Everything written to the standard error.
    pub stderr: String,
}

impl CommandOutput {
    /// Whether the command succeeded.
    pub fn is_success(&self) -> bool {
        self.exit_code == 0
    }

    /// Whether the command was refused, with that text on the standard error.
    pub fn is_refused_with(&self, text: &str) -> bool {
        self.exit_code == REFUSED_EXIT_CODE && self.stderr.contains(text)
    }

    /// # Panics
    ///
    /// If the command failed.
    #[track_caller]
    pub fn assert_success(&self) {
        assert!(self.is_success(), "{self:?}");
    }

    /// # Panics
    ///
    /// If the command wasn't refused with that text.
    #[track_caller]
    pub fn assert_refused_with(&self, text: &str) {
        assert!(self.is_refused_with(text), "expected {text:?}: {self:?}");
    }
}

impl Cluster {
    /// Runs a command of the command line at a gateway, to its end.
    pub fn cli(&self, gateway: usize, args: &[&str]) -> CommandOutput {
        run_command(self.management(gateway), args)
    }

    /// Starts the same in a thread. A change whose base is stale, because the gateway asked had not caught up yet, is
    /// repeated, as its operator would do.
    pub fn spawn_cli(&self, gateway: usize, args: &[&str]) -> JoinHandle<CommandOutput> {
        let management = self.management(gateway);
        let args: Vec<String> = args.iter().map(ToString::to_string).collect();
        thread::spawn(move || {
            let args: Vec<&str> = args.iter().map(String::as_str).collect();
            let deadline = Instant::now() + CONDITION_TIMEOUT;
            loop {
                let output = run_command(management, &args);
                let is_stale = STALE_BASE_ERRORS
                    .iter()
                    .any(|error| output.stderr.contains(error));
                if !is_stale || Instant::now() > deadline {
                    return output;
                }
                thread::sleep(STALE_RETRY_INTERVAL);
            }
        })
    }

    /// Changes a setting of the whole fleet, asked at a gateway, and waits for the end of the change. A change whose
    /// base is stale is repeated.
    ///
    /// # Panics
    ///
    /// If the command can't be run.
    pub fn set(&self, gateway: usize, args: &[&str]) -> CommandOutput {
        let args = [&["set"], args, &["--fleet"]].concat();
        self.spawn_cli(gateway, &args)
            .join()
            .expect("the built program can be executed")
    }

    /// Starts a change, asked at a gateway, after which no gateway may send the class to the engine of zone b. The
    /// request log holds the prohibition from the command's success on.
    ///
    /// # Panics
    ///
    /// In the returned thread, if the command can't be run.
    pub fn spawn_forbid_zone_b(
        &self,
        gateway: usize,
        class: &'static str,
    ) -> JoinHandle<CommandOutput> {
        let args = ["set", &zone_path(class), r#"["a"]"#, "--fleet"];
        let command = self.spawn_cli(gateway, &args);
        let request_log = self.request_log.clone();
        thread::spawn(move || {
            let output = command.join().expect("the built program can be executed");
            if output.is_success() {
                let engine = ENGINE_OF_ZONE_B;
                request_log.record(Observation::EngineForbidden { engine, class });
            }
            output
        })
    }

    /// Forbids zone b to the class, and waits for the end of the change.
    ///
    /// # Panics
    ///
    /// If the command can't be run.
    pub fn forbid_zone_b(&self, gateway: usize, class: &'static str) -> CommandOutput {
        self.spawn_forbid_zone_b(gateway, class)
            .join()
            .expect("the built program can be executed")
    }

    /// Starts a change, asked at a gateway, that allows zone b to the class again.
    pub fn spawn_allow_zone_b(
        &self,
        gateway: usize,
        class: &'static str,
    ) -> JoinHandle<CommandOutput> {
        // Recorded before the change is requested: any gateway may apply it before the last one has answered.
        let engine = ENGINE_OF_ZONE_B;
        self.request_log
            .record(Observation::EngineAllowed { engine, class });
        let args = ["set", &zone_path(class), "--delete", "--fleet"];
        self.spawn_cli(gateway, &args)
    }
}

fn zone_path(class: &str) -> String {
    format!("/settings/band[name={class}]/zone")
}

fn run_command(management: SocketAddr, args: &[&str]) -> CommandOutput {
    let output = Command::new(gateway_binary())
        .args(args)
        .arg("--at")
        .arg(management.to_string())
        .output()
        .expect("the built program can be executed");
    let to_text = |bytes: Vec<u8>| String::from_utf8_lossy(&bytes).into_owned();
    CommandOutput {
        exit_code: output.status.code().unwrap_or(-1),
        stdout: to_text(output.stdout),
        stderr: to_text(output.stderr),
    }
}

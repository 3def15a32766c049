//! Runs the gateway program's client commands against a gateway of the cluster.

use super::{Cluster, CONDITION_TIMEOUT};
use crate::invariants::Observation;
use crate::stub::gateway_binary;
use std::net::SocketAddr;
use std::process::Command;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Exit code of a command that the gateway or the fleet refused.
const REFUSED_EXIT_CODE: i32 = 3;
/// Errors for a change whose base is stale: it was prepared from a revision that is no longer the running one, or the
/// gateway had not learned the running revision yet.
const STALE_BASE_ERRORS: [&str; 2] = [
    "is not based on the running revision",
    "has not applied a policy of its fleet yet",
];
/// Delay before a change with a stale base is retried.
const STALE_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Index of each gateway's engine in zone b.
const ENGINE_OF_ZONE_B: usize = 1;

/// Exit code and output of a finished command.
#[derive(Debug)]
pub struct CommandOutput {
    /// The exit code, or -1 if a signal ended the command.
    pub exit_code: i32,
    /// Standard output.
    pub stdout: String,
    /// Standard error.
    pub stderr: String,
}

impl CommandOutput {
    /// Whether the command exited with code 0.
    pub fn is_success(&self) -> bool {
        self.exit_code == 0
    }

    /// Whether the command was refused with an error that contains `text`.
    pub fn is_refused_with(&self, text: &str) -> bool {
        self.exit_code == REFUSED_EXIT_CODE && self.stderr.contains(text)
    }

    /// Asserts that the command succeeded.
    ///
    /// # Panics
    ///
    /// If the command failed.
    #[track_caller]
    pub fn assert_success(&self) {
        assert!(self.is_success(), "{self:?}");
    }

    /// Asserts that the command was refused with an error that contains `text`.
    ///
    /// # Panics
    ///
    /// If the command wasn't refused with an error that contains `text`.
    #[track_caller]
    pub fn assert_refused_with(&self, text: &str) {
        assert!(
            self.is_refused_with(text),
            "expected a refusal with {text:?}, got {self:?}"
        );
    }
}

impl Cluster {
    /// Runs a client command against a gateway and waits until it exits.
    pub fn cli(&self, gateway: usize, args: &[&str]) -> CommandOutput {
        run_command(self.management(gateway), args)
    }

    /// Runs a client command against a gateway in a new thread. A change that is refused because its base is stale (the
    /// gateway had not caught up yet) is retried for up to 40 seconds, as an operator would do.
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

    /// Changes a setting of the whole fleet through a gateway and waits until the command exits. A change whose base is
    /// stale is retried.
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

    /// Starts a change through a gateway that excludes zone b from the zones of a class. Once the command has
    /// succeeded, no gateway may send requests of the class to its engine in zone b, and the request log records that.
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

    /// Excludes zone b from the zones of a class, and waits until the command exits.
    ///
    /// # Panics
    ///
    /// If the command can't be run.
    pub fn forbid_zone_b(&self, gateway: usize, class: &'static str) -> CommandOutput {
        self.spawn_forbid_zone_b(gateway, class)
            .join()
            .expect("the built program can be executed")
    }

    /// Starts a change through a gateway that allows a class in zone b again.
    pub fn spawn_allow_zone_b(
        &self,
        gateway: usize,
        class: &'static str,
    ) -> JoinHandle<CommandOutput> {
        // Recorded before the change is requested, because gateways may apply it before the command exits.
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

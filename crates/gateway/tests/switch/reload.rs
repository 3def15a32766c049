//! A second set of settings, the reload of a file with given settings, and a gateway whose log lines are recorded.

use ironstair_test_cluster::stub::{becomes_true, Gateway, NameServiceAnswer, RecordedLines};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader};
use std::process::{ChildStderr, Command, Stdio};
use std::thread;

/// The log line of a reload that was applied.
pub(crate) const RELOAD_LOG_LINE: &str = "configuration reloaded";

/// Settings with one more class, a class of the same name with other threads that is not idempotent, zones and machine
/// types in another order, and members that `settings` do not have.
pub(crate) fn other_settings(settings: &Value) -> Value {
    let mut other = settings.clone();
    let class = |name: &str, semantics: &str| {
        json!({"name": name, "slo_ns": 1.2e9, "give_up_ns": 4e9, "semantics": semantics, "worth": 2.0,
            "machine_types_allowed": [1], "late_worth": 0.6})
    };
    other["classes"] = json!([
        class("load", "side_effect"),
        class("report", "side_effect"),
        class("lookup", "pure")
    ]);
    other["classes"][0]["by_arrival"] = json!(true);
    other["dcs"] = json!(["b", "a"]);
    other["machine_types"] = json!(["new", "m"]);
    other["family_info"] = json!({"size_cores": [4, 16], "ram_of_kind_mb": [1024.0, 32768.0],
        "threads_by_class": [2, 2, 1], "class_load": [true, false, false], "when_short": "cut",
        "takes_grants": true, "lanes_count": false});
    other["guarantees"]["settle_after_doubt_ns"] = json!(300e6);
    other["report"]["fields"] = json!(["depth", "concurrent"]);
    other["policy_limits"]["max_attempts"] = json!(4);
    other["policy_limits"]["may_cancel"] = json!(false);
    other["callers"] = json!({"marks_retry": false});
    other
}

/// Writes the configuration with these settings to the gateway's file, and has the gateway reload it.
pub(crate) fn reload_settings(gateway: &Gateway, config: &Value, settings: &Value) {
    let mut config = config.clone();
    config["settings"] = settings.clone();
    std::fs::write(gateway.dir.join("told.json"), config.to_string()).unwrap();
    gateway.signal("-HUP");
}

/// A gateway whose log lines are recorded.
pub(crate) struct LoggedGateway {
    pub gateway: Gateway,
    log_lines: RecordedLines,
}

impl LoggedGateway {
    pub(crate) fn start(
        test: &str,
        config: &Value,
        name_answer: NameServiceAnswer,
        operator: Option<Value>,
    ) -> LoggedGateway {
        let dir = std::env::temp_dir().join(format!("ironstair-{test}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        let config_file = dir.join("told.json");
        std::fs::write(&config_file, config.to_string()).unwrap();
        let mut serve = Command::new(env!("CARGO_BIN_EXE_ironstair"));
        serve
            .arg("serve")
            .env("ROUTER_CONFIG", config_file)
            .stderr(Stdio::piped());
        if let Some(operator) = operator {
            let operator_file = dir.join("operator.json");
            std::fs::write(&operator_file, operator.to_string()).unwrap();
            serve.arg("--operator").arg(operator_file);
        }
        let mut process = serve.spawn().unwrap();
        let log_lines = record_lines(process.stderr.take().unwrap());
        let gateway = Gateway {
            process,
            address: config["listen"].as_str().unwrap().parse().unwrap(),
            name_answer,
            dir,
        };
        LoggedGateway { gateway, log_lines }
    }

    /// See [`reload_settings`].
    pub(crate) fn reload_settings(&self, config: &Value, settings: &Value) {
        reload_settings(&self.gateway, config, settings);
    }

    /// The number of log lines that contain `text`.
    pub(crate) fn log_count(&self, text: &str) -> usize {
        let log_lines = self.log_lines.lock().unwrap();
        log_lines.iter().filter(|line| line.contains(text)).count()
    }

    /// Waits until a log line contains `text`, at most five seconds. Returns whether one does.
    pub(crate) fn eventually_logs(&self, text: &str) -> bool {
        becomes_true(|| self.log_count(text) > 0)
    }

    /// Waits until this number of reloads has been applied, at most five seconds. Returns whether it has.
    pub(crate) fn eventually_reloads(&self, reload_count: usize) -> bool {
        becomes_true(|| self.log_count(RELOAD_LOG_LINE) == reload_count)
    }

    /// All log lines, for the message of a failed assertion.
    pub(crate) fn log_lines(&self) -> Vec<String> {
        self.log_lines.lock().unwrap().clone()
    }
}

fn record_lines(stderr: ChildStderr) -> RecordedLines {
    let log_lines = RecordedLines::default();
    let shared_lines = log_lines.clone();
    thread::spawn(move || {
        for line in BufReader::new(stderr).lines().map_while(Result::ok) {
            shared_lines.lock().unwrap().push(line);
        }
    });
    log_lines
}

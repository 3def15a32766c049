//! Requests whose first attempt an engine never answers: which of them are sent again.

use crate::reload::LoggedGateway;
use crate::support::{idempotent_class, ROW};
use ironstair_test_cluster::stub::{
    becomes_true, done_reply, gateway_config, request_id, start_engine, start_gateway_with_config,
    Client, RecordedLines, FAILED,
};
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

/// The statement of requests whose first attempt the engine never answers.
const UNANSWERED_STATEMENT: &str = "select held";
/// Time in which the policy learns the usual service time of the class. Before that, an answer counts as late only
/// after seconds.
const LEARNING_TIME: Duration = Duration::from_millis(300);
/// Time for which other requests overtake the unanswered one.
const OVERTAKING_TIME: Duration = Duration::from_millis(700);
/// A time before the hard limit of 4 s, at which the request is answered and withdrawn in any case.
const BEFORE_HARD_LIMIT: Duration = Duration::from_secs(3);

/// Starts an engine that never answers the first attempt of a request with the statement [`UNANSWERED_STATEMENT`].
fn engine_that_never_answers_first_attempt() -> (SocketAddr, RecordedLines) {
    let unanswered_ids = Mutex::new(BTreeSet::new());
    start_engine(move |line, body| {
        let is_unanswered = body.starts_with(UNANSWERED_STATEMENT)
            && unanswered_ids
                .lock()
                .unwrap()
                .insert(request_id(line).to_owned());
        match line.starts_with("fetch") && !is_unanswered {
            true => (done_reply(line, ROW), false),
            false => (Vec::new(), false),
        }
    })
}

fn line_count(recorded_lines: &RecordedLines, word: &str, call: u64) -> usize {
    let start = format!("{word} {call:016x}");
    let recorded_lines = recorded_lines.lock().unwrap();
    recorded_lines
        .iter()
        .filter(|line| line.starts_with(&start))
        .count()
}

fn attempt_count(recorded_lines: &RecordedLines, call: u64) -> usize {
    line_count(recorded_lines, "fetch", call)
}

/// Whether the request was sent again, or withdrawn before its hard limit.
fn was_sent_again_or_withdrawn(
    recorded_lines: &RecordedLines,
    call: u64,
    sent_at: Instant,
) -> bool {
    let is_withdrawn = line_count(recorded_lines, "abort", call) > 0;
    let is_before_limit = sent_at.elapsed() < BEFORE_HARD_LIMIT;
    attempt_count(recorded_lines, call) > 1 || is_withdrawn && is_before_limit
}

/// Sends a request that the engine leaves unanswered, and waits until the engine has received its first attempt.
fn send_unanswered_request(
    client: &mut Client,
    class: &str,
    call: u64,
    recorded_lines: &RecordedLines,
) {
    assert!(client.try_send_statement(class, call, UNANSWERED_STATEMENT));
    assert!(becomes_true(|| attempt_count(recorded_lines, call) == 1));
}

/// A client whose answered requests overtake the unanswered one.
struct OvertakingClient {
    client: Client,
    last_call: u64,
}

impl OvertakingClient {
    fn new(client: Client) -> OvertakingClient {
        OvertakingClient {
            client,
            last_call: 1000,
        }
    }

    /// Makes one call after the other until the time is up or `condition` holds. Returns whether it holds.
    fn overtake(&mut self, class: &str, duration: Duration, condition: impl Fn() -> bool) -> bool {
        let deadline = Instant::now() + duration;
        while Instant::now() < deadline && !condition() {
            self.last_call += 1;
            self.client.send_call_of_class(class, self.last_call);
            assert_eq!(self.client.receive()["id"], self.last_call);
        }
        condition()
    }

    fn let_policy_learn_service_time(&mut self, class: &str) {
        self.overtake(class, LEARNING_TIME, || false);
    }
}

/// The settings of a class whose objective is long after the time at which an answer counts as late here. Once the
/// objective has passed, an attempt counts as overdue, and the policy waits for it instead of sending another.
fn class_with_late_objective(name: &str, semantics: &str) -> Value {
    json!({"name": name, "slo_ns": 3e9, "give_up_ns": 5e9, "semantics": semantics, "worth": 1.0})
}

#[test]
fn unanswered_request_is_sent_again_only_if_it_was_accepted_as_idempotent() {
    // A non-idempotent request must not be sent again, even if a reload has made its class idempotent in the meantime.
    let (engine_address, recorded_lines) = engine_that_never_answers_first_attempt();
    let idempotent = json!([
        class_with_late_objective("lookup", "pure"),
        class_with_late_objective("report", "pure")
    ]);
    let (config, name_answer) = gateway_config(1, idempotent, &[("e1", engine_address)]);
    let mut non_idempotent = config["settings"].clone();
    non_idempotent["classes"][1] = class_with_late_objective("report", "side_effect");
    let logged_gateway = LoggedGateway::start("unanswered", &config, name_answer, None);
    let mut waiting_client = Client::connect(&logged_gateway.gateway);
    let mut overtaking_client = OvertakingClient::new(Client::connect(&logged_gateway.gateway));

    overtaking_client.let_policy_learn_service_time("report");
    send_unanswered_request(&mut waiting_client, "report", 1, &recorded_lines);
    let is_sent_again = || attempt_count(&recorded_lines, 1) > 1;
    assert!(overtaking_client.overtake("report", Duration::from_secs(5), is_sent_again));
    assert_eq!(waiting_client.receive_rows().0, 1);
    // A withdrawal is sent over another connection than the next attempt, and may be read after it.
    let attempts = attempt_count(&recorded_lines, 1);
    assert!(
        becomes_true(|| line_count(&recorded_lines, "abort", 1) + 1 >= attempts),
        "each attempt but the last was withdrawn"
    );

    logged_gateway.reload_settings(&config, &non_idempotent);
    assert!(logged_gateway.eventually_reloads(1));
    overtaking_client.let_policy_learn_service_time("report");
    let sent_at = Instant::now();
    send_unanswered_request(&mut waiting_client, "report", 2, &recorded_lines);
    let is_sent_again = || was_sent_again_or_withdrawn(&recorded_lines, 2, sent_at);
    assert!(
        !overtaking_client.overtake("report", OVERTAKING_TIME, is_sent_again),
        "the class is not idempotent"
    );
    logged_gateway.reload_settings(&config, &config["settings"]);
    assert!(logged_gateway.eventually_reloads(2));
    assert!(
        !overtaking_client.overtake("report", OVERTAKING_TIME, is_sent_again),
        "the class was not idempotent when the request was accepted"
    );
    assert_eq!(
        waiting_client.receive()["error"]["code"],
        FAILED,
        "whether the request ran is unknown"
    );
    assert_eq!(attempt_count(&recorded_lines, 2), 1);
}

#[test]
fn idempotent_request_is_not_sent_again_when_no_request_overtook_it() {
    // If an engine is slow with every request, further attempts would only add to its load.
    let (engine_address, recorded_lines) = engine_that_never_answers_first_attempt();
    let classes = json!([idempotent_class("lookup")]);
    let (config, name_answer) = gateway_config(1, classes, &[("e1", engine_address)]);
    let gateway = start_gateway_with_config("not-overtaken", config, name_answer, None);
    let mut waiting_client = Client::connect(&gateway);
    OvertakingClient::new(Client::connect(&gateway)).let_policy_learn_service_time("lookup");
    let sent_at = Instant::now();
    send_unanswered_request(&mut waiting_client, "lookup", 1, &recorded_lines);

    thread::sleep(Duration::from_millis(900));

    assert!(!was_sent_again_or_withdrawn(&recorded_lines, 1, sent_at));
}

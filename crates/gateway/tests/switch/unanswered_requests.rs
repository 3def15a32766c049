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
const HELD: &str = "select held";
/// Time in which the policy learns the class's usual service time: until then an answer is late only after seconds.
const LEARNING_TIME: Duration = Duration::from_millis(300);
/// Time for which other requests overtake the held one.
const OVERTAKING_TIME: Duration = Duration::from_millis(700);
/// Before the hard limit of 4 s, at which the request is answered and withdrawn in any case.
const BEFORE_HARD_LIMIT: Duration = Duration::from_secs(3);

/// An engine that never answers the first attempt of a request with the statement [`HELD`].
fn holding_engine() -> (SocketAddr, RecordedLines) {
    let held = Mutex::new(BTreeSet::new());
    start_engine(move |line, body| {
        let is_held =
            body.starts_with(HELD) && held.lock().unwrap().insert(request_id(line).to_owned());
        match line.starts_with("fetch") && !is_held {
            true => (done_reply(line, ROW), false),
            false => (Vec::new(), false),
        }
    })
}

fn line_count(seen: &RecordedLines, word: &str, call: u64) -> usize {
    let start = format!("{word} {call:016x}");
    let seen = seen.lock().unwrap();
    seen.iter().filter(|line| line.starts_with(&start)).count()
}

fn attempt_count(seen: &RecordedLines, call: u64) -> usize {
    line_count(seen, "fetch", call)
}

/// Whether the request was sent again, or withdrawn before its hard limit.
fn was_sent_again_or_withdrawn(seen: &RecordedLines, call: u64, asked_at: Instant) -> bool {
    let is_withdrawn = line_count(seen, "abort", call) > 0;
    let is_before_limit = asked_at.elapsed() < BEFORE_HARD_LIMIT;
    attempt_count(seen, call) > 1 || is_withdrawn && is_before_limit
}

/// Sends the held request, and waits until its first attempt has arrived.
fn ask_held(client: &mut Client, class: &str, call: u64, seen: &RecordedLines) {
    assert!(client.try_send_statement(class, call, HELD));
    assert!(becomes_true(|| attempt_count(seen, call) == 1));
}

/// A client whose answered requests overtake the held one.
struct Overtaker {
    client: Client,
    last_call: u64,
}

impl Overtaker {
    fn new(client: Client) -> Overtaker {
        Overtaker {
            client,
            last_call: 1000,
        }
    }

    /// Asks one request after the other until the time is up or `condition` holds. Returns whether it holds.
    fn overtake(&mut self, class: &str, time: Duration, condition: impl Fn() -> bool) -> bool {
        let end = Instant::now() + time;
        while Instant::now() < end && !condition() {
            self.last_call += 1;
            self.client.send_call_of_class(class, self.last_call);
            assert_eq!(self.client.receive()["id"], self.last_call);
        }
        condition()
    }

    fn teach_service_time(&mut self, class: &str) {
        self.overtake(class, LEARNING_TIME, || false);
    }
}

/// A class whose objective is far beyond the time at which an answer counts as late here: from the objective on an
/// attempt counts as overdue, and is waited for.
fn class_with_far_objective(name: &str, semantics: &str) -> Value {
    json!({"name": name, "slo_ns": 3e9, "give_up_ns": 5e9, "semantics": semantics, "worth": 1.0})
}

#[test]
fn unanswered_request_is_sent_again_only_if_it_was_accepted_as_idempotent() {
    // A request with an effect must not be sent again, also where its class is idempotent by then.
    let (at, seen) = holding_engine();
    let idempotent = json!([
        class_with_far_objective("lookup", "pure"),
        class_with_far_objective("report", "pure")
    ]);
    let (config, name_answer) = gateway_config(1, idempotent, &[("e1", at)]);
    let mut with_effect = config["settings"].clone();
    with_effect["classes"][1] = class_with_far_objective("report", "side_effect");
    let logged = LoggedGateway::start("held", &config, name_answer, None);
    let mut waiting = Client::connect(&logged.gateway);
    let mut overtaker = Overtaker::new(Client::connect(&logged.gateway));

    overtaker.teach_service_time("report");
    ask_held(&mut waiting, "report", 1, &seen);
    let is_sent_again = || attempt_count(&seen, 1) > 1;
    assert!(overtaker.overtake("report", Duration::from_secs(5), is_sent_again));
    assert_eq!(waiting.receive_rows().0, 1);
    // A withdrawal comes by another connection than the next attempt: it may be read last.
    let attempts = attempt_count(&seen, 1);
    assert!(
        becomes_true(|| line_count(&seen, "abort", 1) + 1 >= attempts),
        "each withdrawn but the last"
    );

    logged.reload_settings(&config, &with_effect);
    assert!(logged.reloads_soon(1));
    overtaker.teach_service_time("report");
    let asked_at = Instant::now();
    ask_held(&mut waiting, "report", 2, &seen);
    let is_sent_again = || was_sent_again_or_withdrawn(&seen, 2, asked_at);
    assert!(
        !overtaker.overtake("report", OVERTAKING_TIME, is_sent_again),
        "has an effect"
    );
    logged.reload_settings(&config, &config["settings"]);
    assert!(logged.reloads_soon(2));
    assert!(
        !overtaker.overtake("report", OVERTAKING_TIME, is_sent_again),
        "had when accepted"
    );
    assert_eq!(
        waiting.receive()["error"]["code"],
        FAILED,
        "whether it ran is unknown"
    );
    assert_eq!(attempt_count(&seen, 2), 1);
}

#[test]
fn idempotent_request_that_nothing_overtook_is_not_sent_again() {
    // Where an engine is slow with every request, further attempts would only add to its load.
    let (at, seen) = holding_engine();
    let classes = json!([idempotent_class("lookup")]);
    let (config, name_answer) = gateway_config(1, classes, &[("e1", at)]);
    let gateway = start_gateway_with_config("not-overtaken", config, name_answer, None);
    let mut waiting = Client::connect(&gateway);
    Overtaker::new(Client::connect(&gateway)).teach_service_time("lookup");
    let asked_at = Instant::now();
    ask_held(&mut waiting, "lookup", 1, &seen);

    thread::sleep(Duration::from_millis(900));

    assert!(!was_sent_again_or_withdrawn(&seen, 1, asked_at));
}

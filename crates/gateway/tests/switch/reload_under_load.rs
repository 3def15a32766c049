//! Settings change there and back while clients keep requests in flight: no request is lost, and none is sent again
//! without cause.

use crate::reload::{other_settings, reload_settings};
use crate::support::{idempotent_class, ROW};
use ironstair_test_cluster::stub::{
    becomes_true, done_reply, gateway_config, request_id, start_engine, start_gateway_with_config,
    Client, Gateway,
};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const CLIENTS: u64 = 3;
const ROUNDS: u64 = 100;
const CALLS_PER_ROUND: u64 = 6;
const CLASSES: [&str; 3] = ["lookup", "report", "load"];

/// How long the engines work on a request.
const SERVICE_TIME: Duration = Duration::from_millis(4);

/// The policy withdraws an unanswered attempt from five times the service time on, by its own estimate of that time.
/// The estimate leans to the best pace by a third of a request, so the bound here is a little lower than five times.
const EARLIEST_WITHDRAWAL: Duration = Duration::from_millis(15);

#[derive(Clone, Copy, Debug, PartialEq)]
enum AnswerKind {
    Rows,
    Rejected,
    Failed,
}

/// The final answers to each call.
type Answers = Arc<Mutex<BTreeMap<u64, Vec<AnswerKind>>>>;
/// When each request was sent, by its id.
type SentAt = Arc<Mutex<BTreeMap<String, Instant>>>;
type ReceivedLinesById = Arc<Mutex<BTreeMap<String, ReceivedLines>>>;

/// An attempt as an engine received it.
#[derive(Debug)]
struct Attempt {
    zone: &'static str,
    class: String,
}

impl Attempt {
    /// Whether the settings by which the request was accepted allow a second attempt: the zone tells them apart.
    fn is_idempotent(&self) -> bool {
        match self.class.as_str() {
            "lookup" => true,
            "report" => self.zone == "a",
            "load" => false,
            class => panic!("class {class} is in no settings"),
        }
    }
}

/// The lines that the engines have received about one request.
#[derive(Default)]
struct ReceivedLines {
    attempts: Vec<Attempt>,
    withdrawals: Vec<Instant>,
}

impl ReceivedLines {
    /// Whether each attempt that brought no answer was withdrawn.
    fn are_unanswered_attempts_withdrawn(&self, answer: AnswerKind) -> bool {
        let answered_attempts = usize::from(answer == AnswerKind::Rows);
        self.withdrawals.len() + answered_attempts >= self.attempts.len()
    }
}

/// The id under which the engines see a call.
fn request_id_of_call(call: u64) -> String {
    format!("{call:016x}")
}

/// An engine that answers after [`SERVICE_TIME`], and records attempts and withdrawals.
fn recording_engine(zone: &'static str, received: &ReceivedLinesById) -> SocketAddr {
    let received = received.clone();
    let (address, _) = start_engine(move |line, _| {
        record_line(&received, zone, line);
        thread::sleep(SERVICE_TIME);
        match line.starts_with("fetch") {
            true => (done_reply(line, ROW), false),
            false => (Vec::new(), false),
        }
    });
    address
}

fn record_line(received: &ReceivedLinesById, zone: &'static str, line: &str) {
    let now = Instant::now();
    let mut received = received.lock().unwrap();
    if line.starts_with("fetch") {
        let class = line.split("c=").nth(1);
        let class = class.and_then(|rest| rest.split(',').next()).unwrap();
        let request = received.entry(request_id(line).to_owned()).or_default();
        request.attempts.push(Attempt {
            zone,
            class: class.to_owned(),
        });
    } else if line.starts_with("abort") {
        let request = received.entry(request_id(line).to_owned()).or_default();
        request.withdrawals.push(now);
    }
}

/// Settings under which `report` is idempotent and confined to zone a, and others under which it is non-idempotent and
/// confined to zone b: the zone of the engine shows by which of them a request was accepted.
fn settings_with_report_by_zone(config: &mut Value) -> (Value, Value) {
    for endpoint in config["known"]["notices"][0]["pool"]["instances"]
        .as_array_mut()
        .unwrap()
    {
        endpoint["zone"] = json!(match endpoint["instanceId"].as_str() {
            Some("e1" | "e2") => "a",
            _ => "b",
        });
    }
    config["settings"]["dcs"] = json!(["a", "b"]);
    let mut second_settings = other_settings(&config["settings"]);
    config["settings"]["classes"][1]["dcs_allowed"] = json!([0]);
    second_settings["classes"][1]["dcs_allowed"] = json!([0]);
    (config["settings"].clone(), second_settings)
}

/// Applies the second settings until a call of class `load` is answered. Calls of a class that no settings ever had
/// are protocol errors, of which a connection may make few; after this the class is known, and only out of service.
fn make_load_class_known(gateway: &Gateway, config: &Value, second_settings: &Value) {
    // A reload signal before the gateway accepts connections would end it.
    drop(Client::connect(gateway));
    reload_settings(gateway, config, second_settings);
    let mut attempts = 0;
    assert!(becomes_true(|| {
        attempts += 1;
        let mut client = Client::connect(gateway);
        client.send_call_of_class("load", (1 << 40) + attempts);
        client.receive()["result"].is_object()
    }));
}

fn record_answer(client: &mut Client, answers: &Answers) {
    let answer = client.receive();
    let kind = match (&answer["result"], answer["error"]["code"].as_i64()) {
        (Value::Object(_), _) => AnswerKind::Rows,
        (_, Some(-32014)) => AnswerKind::Rejected,
        (_, Some(_)) => AnswerKind::Failed,
        _ => panic!("{answer}"),
    };
    let call = answer["id"].as_u64().unwrap();
    let mut answers = answers.lock().unwrap();
    answers.entry(call).or_default().push(kind);
}

/// Sends six calls of all classes at a time, and reads their answers.
fn spawn_client(
    client_number: u64,
    mut client: Client,
    answers: Answers,
    sent_at: SentAt,
) -> JoinHandle<()> {
    thread::spawn(move || {
        for round in 0..ROUNDS {
            let first_call = 1 + client_number * 100_000 + round * CALLS_PER_ROUND;
            for call in first_call..first_call + CALLS_PER_ROUND {
                let now = Instant::now();
                sent_at
                    .lock()
                    .unwrap()
                    .insert(request_id_of_call(call), now);
                client.send_call_of_class(CLASSES[(call % 3) as usize], call);
            }
            for _ in 0..CALLS_PER_ROUND {
                record_answer(&mut client, &answers);
            }
        }
    })
}

/// Reloads the second and the first settings by turns, now and then twice with the same file.
fn alternate_settings_eight_times(
    gateway: &Gateway,
    config: &Value,
    first_settings: &Value,
    second_settings: &Value,
) {
    for round in 0..8 {
        thread::sleep(Duration::from_millis(150));
        reload_settings(
            gateway,
            config,
            if round % 2 == 0 {
                second_settings
            } else {
                first_settings
            },
        );
        if round % 3 == 0 {
            gateway.signal("-HUP");
        }
    }
}

/// Rule 2: a non-idempotent request has one attempt. An idempotent one has another only after the withdrawal of the
/// one before, which the policy may ask for once the answer is late. A withdrawal that the engine reads sooner after
/// the client's call had no cause, however slow the machine is: every delay adds to the time measured here. A request
/// that was sent and rejected all the same was withdrawn as often as it was sent, and returned to its queue.
fn assert_attempts_allowed(
    request: &str,
    received: &ReceivedLines,
    answer: AnswerKind,
    sent_at: Instant,
) {
    let attempts = &received.attempts;
    let first_attempt = &attempts[0];
    let withdrawals = received.withdrawals.len();
    if !attempts.iter().all(Attempt::is_idempotent) {
        assert_eq!(
            (attempts.len(), withdrawals, answer),
            (1, 0, AnswerKind::Rows),
            "{request}: {first_attempt:?} has an effect"
        );
    }
    assert!(
        received.are_unanswered_attempts_withdrawn(answer),
        "{request}: {first_attempt:?}, {answer:?}, was sent {} times, withdrawn {withdrawals} times",
        attempts.len()
    );
    if let Some(withdrawn_at) = received.withdrawals.iter().min() {
        let elapsed = *withdrawn_at - sent_at;
        assert!(
            elapsed >= EARLIEST_WITHDRAWAL,
            "{request}: {first_attempt:?} withdrawn after {elapsed:?}"
        );
    }
}

fn assert_each_answered_once(answers: &BTreeMap<u64, Vec<AnswerKind>>) {
    let calls = CLIENTS * ROUNDS * CALLS_PER_ROUND;
    assert_eq!(answers.len() as u64, calls, "each call is answered");
    assert!(
        answers
            .values()
            .all(|answers_of_call| answers_of_call.len() == 1),
        "once"
    );
    let count = |kind: AnswerKind| {
        answers
            .values()
            .filter(|answers_of_call| answers_of_call[0] == kind)
            .count()
    };
    assert_eq!(count(AnswerKind::Failed), 0);
    let with_rows = count(AnswerKind::Rows);
    assert!(with_rows > 1200, "{with_rows} with rows");
    assert!(
        count(AnswerKind::Rejected) > 0,
        "load is out of service half of the time"
    );
}

/// Waits until the engines have read the withdrawals: those come by another connection than the next attempt, and may
/// be read last. The assertions that follow fail if some are missing.
fn wait_for_withdrawals(answers: &BTreeMap<u64, Vec<AnswerKind>>, received: &ReceivedLinesById) {
    becomes_true(|| {
        let received = received.lock().unwrap();
        answers.iter().all(|(call, answer)| {
            let received = received.get(&request_id_of_call(*call));
            received.is_none_or(|received| received.are_unanswered_attempts_withdrawn(answer[0]))
        })
    });
}

fn assert_all_attempts_allowed(
    answers: &BTreeMap<u64, Vec<AnswerKind>>,
    received: &BTreeMap<String, ReceivedLines>,
    sent_at: &BTreeMap<String, Instant>,
) {
    for (call, answer) in answers {
        let request = request_id_of_call(*call);
        match received.get(&request) {
            Some(received) => {
                assert_attempts_allowed(&request, received, answer[0], sent_at[&request]);
            }
            None => assert_eq!(
                answer[0],
                AnswerKind::Rejected,
                "{request} was answered, and never sent"
            ),
        }
    }
    let sent: BTreeSet<String> = answers
        .keys()
        .map(|call| request_id_of_call(*call))
        .collect();
    let requests_without_call = received.keys().filter(|request| !sent.contains(*request));
    assert_eq!(
        requests_without_call.count(),
        1,
        "the call before the load alone"
    );
}

#[test]
fn settings_change_under_load_and_back_with_nothing_lost_or_sent_again_without_cause() {
    // A request in flight must not lose its class, queue or answer with the index of its class, and one with an effect
    // must not be sent again.
    let received = ReceivedLinesById::default();
    let engines = [("e1", "a"), ("e2", "a"), ("e3", "b"), ("e4", "b")]
        .map(|(name, zone)| (name, recording_engine(zone, &received)));
    let classes = json!([idempotent_class("lookup"), idempotent_class("report")]);
    let (mut config, name_answer) = gateway_config(2, classes, &engines);
    let (first_settings, second_settings) = settings_with_report_by_zone(&mut config);
    let gateway = start_gateway_with_config("switch", config.clone(), name_answer, None);
    make_load_class_known(&gateway, &config, &second_settings);
    reload_settings(&gateway, &config, &first_settings);

    let (answers, sent_at) = (Answers::default(), SentAt::default());
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let client = Client::connect(&gateway);
            spawn_client(number, client, answers.clone(), sent_at.clone())
        })
        .collect();
    alternate_settings_eight_times(&gateway, &config, &first_settings, &second_settings);
    clients
        .into_iter()
        .for_each(|client| client.join().unwrap());

    let answers = answers.lock().unwrap();
    assert_each_answered_once(&answers);
    wait_for_withdrawals(&answers, &received);
    assert_all_attempts_allowed(
        &answers,
        &received.lock().unwrap(),
        &sent_at.lock().unwrap(),
    );
}

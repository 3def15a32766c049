//! Calls that were in order under the former settings, and come after a reload that closed their class or shortened its
//! hard limit.

use crate::reload::LoggedGateway;
use crate::support::{call_with_fields, ROW};
use ironstair_test_cluster::stub::{
    done_reply, gateway_config, Client, ManualEngine, ReceivedCommand, REJECTED,
};
use serde_json::{json, Value};

/// More than the protocol errors after which a connection ends.
const LATE_CALLS: std::ops::Range<u64> = 100..120;
/// The hard limit of reports, which is also the time that their clients wait, in ms.
const REPORT_LIMIT_MS: u64 = 20_000;

fn class(name: &str, hard_limit_ms: u64) -> Value {
    json!({"name": name, "slo_ns": 1e9, "give_up_ns": hard_limit_ms * 1_000_000, "semantics": "pure",
        "worth": 1.0})
}

fn report(call: u64) -> String {
    let fields = format!(r#""id":"{call:016x}","wait":{REPORT_LIMIT_MS},"bytes":"""#);
    call_with_fields(call, "report", &fields)
}

/// A gateway with the classes `lookup` and `report`, and a client with a lookup that is open at the engine.
struct OpenLookup {
    gateway: LoggedGateway,
    config: Value,
    engine: ManualEngine,
    client: Client,
    lookup: ReceivedCommand,
}

impl OpenLookup {
    fn start(test: &str) -> OpenLookup {
        let mut engine = ManualEngine::start();
        let classes = json!([class("lookup", 5000), class("report", REPORT_LIMIT_MS)]);
        let (config, name_answer) = gateway_config(1, classes, &[("e1", engine.address)]);
        let gateway = LoggedGateway::start(test, &config, name_answer, None);
        let mut client = Client::connect(&gateway.gateway);
        client.send_call(1);
        let lookup = engine.wait_for("fetch 0000000000000001 ");
        OpenLookup {
            gateway,
            config,
            engine,
            client,
            lookup,
        }
    }

    fn reload_with_classes(&self, classes: Value, threads: Value) {
        let mut settings = self.config["settings"].clone();
        settings["classes"] = classes;
        settings["family_info"]["threads_by_class"] = threads;
        self.gateway.reload_settings(&self.config, &settings);
        assert!(self.gateway.eventually_reloads(1));
    }

    fn answer(&self, command: &ReceivedCommand) {
        let reply = String::from_utf8(done_reply(&command.line, ROW)).unwrap();
        self.engine.send(command.connection, &reply);
    }
}

#[test]
fn calls_of_a_closed_class_are_rejected_and_cost_no_open_call() {
    // The longest `wait` that is accepted used to fall with the class. Its clients' calls then counted as protocol
    // errors, and the sixteenth took the open calls of the connection along.
    let mut open = OpenLookup::start("closed-class");
    open.reload_with_classes(json!([class("lookup", 5000)]), json!([1]));
    for call in LATE_CALLS {
        open.client.send(&report(call));
        let answer = open.client.receive();
        assert_eq!(
            (&answer["id"], &answer["error"]["code"]),
            (&json!(call), &json!(REJECTED))
        );
    }
    open.answer(&open.lookup);
    assert_eq!(open.client.receive_rows().0, 1);
    open.client.send_call(2);
    let lookup = open.engine.wait_for("fetch 0000000000000002 ");
    open.answer(&lookup);
    assert_eq!(
        open.client.receive_rows().0,
        2,
        "the connection stays usable"
    );
}

#[test]
fn calls_that_wait_for_the_former_hard_limit_of_their_class_are_served() {
    // Clients learn of a shorter hard limit later than the gateway, and wait as long as before.
    let mut open = OpenLookup::start("shorter-limit");
    open.reload_with_classes(
        json!([class("lookup", 5000), class("report", 3000)]),
        json!([1, 4]),
    );
    for call in LATE_CALLS {
        open.client.send(&report(call));
        let command = open.engine.wait_for("fetch ");
        open.answer(&command);
        assert_eq!(open.client.receive_rows().0, call);
    }
    open.answer(&open.lookup);
    assert_eq!(open.client.receive_rows().0, 1);
}

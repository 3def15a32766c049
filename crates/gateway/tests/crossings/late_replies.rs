//! An attempt ends while replies to it may still arrive on its connection, and the request is attempted again. Replies
//! name only the request: on the same connection, a late one looks like a reply to the next attempt.

use crate::patient_gateway::{send_call_with_long_deadline, start_with_edited_config};
use crate::support::cancel_notification;
use ironstair_test_cluster::stub::{Client, Gateway, ManualEngine, ReceivedCommand, FAILED};
use serde_json::json;
use std::ops::Range;
use std::thread;
use std::time::Duration;

/// The call of each test whose attempts end early.
const CALL: u64 = 1;
/// The number of pages of a result.
const PAGES: usize = 3;

/// Calls that are answered at once, before the call of the test.
const LEARNING_CALLS: Range<u64> = 1000..1100;

/// A gateway with a single engine, so that each attempt goes to that engine, and a client.
struct Setup {
    engine: ManualEngine,
    client: Client,
    _gateway: Gateway,
}

fn id_of(call: u64) -> String {
    format!("{call:016x}")
}

/// A page of a run's result. Pages of different runs have different rows.
fn page_rows(run: u32, page: usize) -> String {
    format!("run {run}\tpage {page}\t\n")
}

/// The rows of a run's whole result.
fn result_rows(run: u32) -> String {
    (0..PAGES).map(|page| page_rows(run, page)).collect()
}

fn reply(call: u64, kind_and_fields: &str, body: &str) -> String {
    let length = body.len();
    format!("{} {kind_and_fields} {length}\r\n{body}\r\n", id_of(call))
}

fn first_page_reply(call: u64, run: u32) -> String {
    let fields = format!("DONE pages={PAGES},cost=5,need=4");
    reply(call, &fields, &page_rows(run, 0))
}

fn page_reply(call: u64, run: u32, page: usize) -> String {
    reply(call, &format!("MORE page={page}"), &page_rows(run, page))
}

fn status_reply(call: u64, status: &str) -> String {
    reply(call, &format!("{status} -"), "")
}

impl Setup {
    /// Starts a gateway that withdraws an attempt whose reply it takes for lost, or one that does not.
    fn start(test: &str, may_withdraw: bool) -> Setup {
        let engine = ManualEngine::start();
        let gateway = start_with_edited_config(test, &[("e1", engine.address)], |config| {
            config["settings"]["policy_limits"]["may_cancel"] = json!(may_withdraw);
        });
        let client = Client::connect(&gateway);
        Setup {
            engine,
            client,
            _gateway: gateway,
        }
    }

    /// Has other calls answered until the gateway has learned the engine's rate. Before that, it uses an engine that
    /// has refused an attempt only after seconds.
    fn serve_learning_calls(&mut self) {
        LEARNING_CALLS.for_each(|call| self.serve_other_call(call));
    }

    fn send_call(&mut self, class: &str, call: u64) {
        send_call_with_long_deadline(&mut self.client, class, call);
    }

    /// Waits for the next attempt of a call.
    fn wait_for_attempt(&mut self, call: u64) -> ReceivedCommand {
        self.engine.wait_for(&format!("fetch {}", id_of(call)))
    }

    /// Asserts that no attempt of [`CALL`] has arrived that the test has not waited for.
    fn assert_no_further_attempt(&mut self) {
        let attempt = format!("fetch {}", id_of(CALL));
        assert!(!self.engine.has_received(&attempt));
    }

    /// Answers an attempt with the first page of its result, and waits until the other pages have been requested.
    fn send_first_page(&mut self, attempt: &ReceivedCommand, run: u32) {
        let first_page = first_page_reply(CALL, run);
        self.engine.send(attempt.connection, &first_page);
        for page in 1..PAGES {
            self.engine
                .wait_for(&format!("more {} {page}", id_of(CALL)));
        }
    }

    /// Sends the pages of a result after the first one.
    fn send_other_pages(&self, attempt: &ReceivedCommand, run: u32) {
        for page in 1..PAGES {
            let reply = page_reply(CALL, run, page);
            self.engine.send(attempt.connection, &reply);
        }
    }

    /// Has another call answered. It uses a connection without attempts if there is one.
    fn serve_other_call(&mut self, call: u64) {
        self.send_call("lookup", call);
        let attempt = self.wait_for_attempt(call);
        let reply = reply(call, "DONE pages=1,cost=5,need=4", &page_rows(0, 0));
        self.engine.send(attempt.connection, &reply);
        assert_eq!(self.client.receive_rows().0, call);
    }

    /// Asserts that the next answer has the rows of this run, which belongs to the latest attempt.
    fn assert_served_with_rows_of(&mut self, run: u32) {
        let (call, rows) = self.client.receive_rows();
        let rows = String::from_utf8(rows).unwrap();
        assert_eq!((call, rows), (CALL, result_rows(run)));
        self.assert_no_further_attempt();
    }
}

/// One page of a result fails, the request is attempted again, and then another page of the first run arrives.
fn check_late_page(failure: &str) {
    let mut setup = Setup::start(&format!("late-page-{failure}"), false);
    setup.serve_learning_calls();
    setup.send_call("lookup", CALL);
    let first = setup.wait_for_attempt(CALL);
    setup.send_first_page(&first, 1);
    let failure = status_reply(CALL, failure);
    setup.engine.send(first.connection, &failure);

    let second = setup.wait_for_attempt(CALL);
    let page = first_page_reply(CALL, 2);
    setup.engine.send(second.connection, &page);
    let late_page = page_reply(CALL, 1, 2);
    setup.engine.send(first.connection, &late_page);
    setup.serve_other_call(2);
    setup.send_other_pages(&second, 2);

    setup.assert_served_with_rows_of(2);
}

#[test]
fn late_page_after_a_failed_page_is_not_part_of_the_next_result() {
    // Guards against answers with rows of two runs.
    check_late_page("BROKE");
}

#[test]
fn late_page_after_a_refused_page_is_not_part_of_the_next_result() {
    // Guards against answers with rows of two runs.
    check_late_page("WAIT");
}

#[test]
fn late_page_after_an_expired_page_is_not_part_of_the_next_result() {
    // Guards against answers with rows of two runs.
    check_late_page("PAST");
}

/// The engine ends an attempt with a status, and sends the status again while it runs the next one.
fn check_status_after_the_end(setup: &mut Setup, attempt: &ReceivedCommand, status: &str) {
    let status = status_reply(CALL, status);
    setup.engine.send(attempt.connection, &status);

    let next = setup.wait_for_attempt(CALL);
    setup.engine.send(attempt.connection, &status);
    setup.serve_other_call(2);
    setup.assert_no_further_attempt();
    setup.send_first_page(&next, 2);
    setup.send_other_pages(&next, 2);

    setup.assert_served_with_rows_of(2);
}

/// The engine answers the query with a status, and sends the status again.
fn check_repeated_status(class: &str, status: &str) {
    let mut setup = Setup::start(&format!("repeated-{class}-{status}"), false);
    setup.serve_learning_calls();
    setup.send_call(class, CALL);
    let first = setup.wait_for_attempt(CALL);
    check_status_after_the_end(&mut setup, &first, status);
}

#[test]
fn repeated_failure_does_not_end_the_next_attempt() {
    // Guards against two attempts at once.
    check_repeated_status("lookup", "BROKE");
}

#[test]
fn repeated_expiry_does_not_end_the_next_attempt() {
    // Guards against two attempts at once.
    check_repeated_status("lookup", "PAST");
}

#[test]
fn repeated_refusal_does_not_end_the_next_attempt() {
    // Guards against two attempts at once.
    check_repeated_status("lookup", "WAIT");
}

#[test]
fn repeated_refusal_does_not_make_a_non_idempotent_request_run_twice() {
    // Guards against two runs: a refusal means that the attempt never ran, so that another one may start.
    check_repeated_status("post", "WAIT");
}

#[test]
fn second_failed_page_does_not_end_the_next_attempt() {
    // Guards against two attempts at once: the engine no longer knows the result, and says so for each of its pages.
    let mut setup = Setup::start("second-failed-page", false);
    setup.send_call("lookup", CALL);
    let first = setup.wait_for_attempt(CALL);
    setup.send_first_page(&first, 1);
    check_status_after_the_end(&mut setup, &first, "BROKE");
}

#[test]
fn reply_to_a_withdrawn_attempt_is_dropped_however_many_were_withdrawn_after_it() {
    // Guards against a connection that forgets its earlier attempts: the reply to a withdrawn one would be given out as
    // the result of a later attempt that still runs.
    const OTHER_CALLS: Range<u64> = 2..500;
    const CALL_INTERVAL: Duration = Duration::from_millis(10);
    const CANCELLED_CALLS: Range<u64> = 500..540;
    let mut setup = Setup::start("withdrawn", true);
    setup.send_call("lookup", CALL);
    let first = setup.wait_for_attempt(CALL);
    // Later calls that are answered first make the gateway treat the reply to the first attempt as lost.
    let abort = format!("abort {}", id_of(CALL));
    let mut other_calls = OTHER_CALLS;
    while !setup.engine.has_received(&abort) {
        setup.serve_other_call(other_calls.next().unwrap());
        thread::sleep(CALL_INTERVAL);
    }
    let second = setup.wait_for_attempt(CALL);
    for call in CANCELLED_CALLS {
        setup.send_call("lookup", call);
        setup.wait_for_attempt(call);
        setup.client.send(&cancel_notification(call));
        setup.engine.wait_for(&format!("abort {}", id_of(call)));
    }
    setup
        .engine
        .send(second.connection, &status_reply(CALL, "BROKE"));

    let third = setup.wait_for_attempt(CALL);
    setup
        .engine
        .send(first.connection, &first_page_reply(CALL, 1));
    setup.send_other_pages(&first, 1);
    setup.send_first_page(&third, 3);
    setup.send_other_pages(&third, 3);

    setup.assert_served_with_rows_of(3);
}

#[test]
fn non_idempotent_request_is_not_repeated_when_a_page_of_its_result_is_refused() {
    // Guards against a second run: `WAIT` means "never ran" only for the query itself. After the first page it is known
    // that the query has run.
    let mut setup = Setup::start("refused-page", false);
    setup.send_call("post", CALL);
    let first = setup.wait_for_attempt(CALL);
    setup.send_first_page(&first, 1);
    setup
        .engine
        .send(first.connection, &status_reply(CALL, "WAIT"));

    let answer = setup.client.receive();
    assert_eq!(answer["error"]["code"], FAILED, "{answer}");
    setup.assert_no_further_attempt();
}

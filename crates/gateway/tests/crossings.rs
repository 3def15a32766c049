//! Two events that cross: the built gateway over real connections, the bad order made to happen every time. The rows of
//! docs/design/crossings.md name these tests.

use ironstair_test_cluster::stub::*;
use rustix::net::sockopt::{set_socket_linger, set_socket_recv_buffer_size};
use serde_json::{json, Value};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

const ROWS: &str = "x\ty\tz\n";

fn good(line: &str, _: &str) -> (Vec<u8>, bool) {
    (done(line, ROWS), false)
}

fn broke(line: &str, _: &str) -> (Vec<u8>, bool) {
    (
        format!("{} BROKE - 0\r\n\r\n", id(line)).into_bytes(),
        false,
    )
}

/// Classes: one of each effect, the deduplicated one within half a second.
fn classes() -> Value {
    let class = |name: &str, semantics: &str| json!({"name": name, "slo_ns": 4e9, "give_up_ns": 8e9, "semantics": semantics, "worth": 1.0, "window_ns": 5e8});
    json!([
        class("lookup", "pure"),
        class("stow", "token"),
        class("post", "side_effect")
    ])
}

/// A gateway that waits up to 6 s for a connection to come up.
fn patient(test: &str, engines: &[(&str, SocketAddr)], edit: impl Fn(&mut Value)) -> Gateway {
    let (mut config, name_answer) = config(2, classes(), engines);
    config["settings"]["policy_limits"]["connect_timeout_ns"] = json!(6e9);
    edit(&mut config);
    started(test, config, name_answer, None)
}

fn ask(c: &mut Client, class: &str, call: u64) {
    let fields =
        format!(r#""id":"{call:016x}","wait":7000,"bytes":"c2VsZWN0IDE=","once":"o{call}""#);
    c.say(&format!(
        r#"{{"jsonrpc":"2.0","id":{call},"method":"{class}","params":{{{fields}}}}}"#
    ));
}

/// All that a client said is with the decisions: what is answered at once comes behind it.
fn heard(c: &mut Client) {
    c.say(r#"{"jsonrpc":"2.0","id":9000,"method":"check"}"#);
    while c.hear()["id"] != 9000 {}
}

fn fetches(seen: &Seen) -> usize {
    seen.lock()
        .unwrap()
        .iter()
        .filter(|l| l.starts_with("fetch"))
        .count()
}

#[test]
fn nothing_begins_for_a_client_that_left_while_its_connection_to_the_engine_came_up() {
    type Leave = fn(Client);
    let interrupt: Leave = |mut c| {
        (1..=8).for_each(|call| {
            c.say(&format!(
                r#"{{"jsonrpc":"2.0","method":"interrupt","params":{{"id":{call}}}}}"#
            ));
        });
        heard(&mut c);
    };
    let close: Leave = |c| c.0.get_ref().shutdown(Shutdown::Both).unwrap();
    let half: Leave = |mut c| {
        c.0.get_ref().shutdown(Shutdown::Write).unwrap();
        // It is kept open for its answers.
        thread::spawn(move || while c.try_hear().is_some() {});
    };
    let reset: Leave = |c| set_socket_linger(c.0.get_ref(), Some(Duration::ZERO)).unwrap();
    for (nth, leave) in [interrupt, close, half, reset].into_iter().enumerate() {
        let (at, gate) = Gate::shut();
        let g = patient(&format!("left-{nth}"), &[("e1", at)], |_| {});
        let mut c = Client::of(&g);
        (1..=8).for_each(|call| ask(&mut c, "lookup", call));
        gate.until_kept_back(8);
        leave(c);
        // What a client that has closed may still begin, it may within a tenth of a second.
        thread::sleep(Duration::from_millis(100));
        let opened = gate.open(good);
        opened.until_up(8);
        let mut other = Client::of(&g);
        ask(&mut other, "lookup", 77);
        assert_eq!(other.rows().0, 77, "{nth}");
        let seen = opened.seen.lock().unwrap();
        assert!(
            seen.iter()
                .all(|l| l.starts_with("fetch 000000000000004d ")),
            "{nth}: {seen:?}"
        );
    }
}

#[test]
fn a_deduplicated_request_does_not_begin_again_once_its_window_is_over() {
    // Some run at the first engine, and fail; their second attempt is decided within the window, and its connection
    // comes up behind it.
    let (first, seen) = engine(broke);
    let (late, gate) = Gate::shut();
    let g = patient("window", &[("e1", first), ("e2", late)], |_| {});
    let mut c = Client::of(&g);
    (1..=8).for_each(|call| ask(&mut c, "stow", call));
    gate.until_kept_back(8);
    assert!(
        seen.lock().unwrap()[0].contains(",i=o"),
        "the word by which it is known goes along"
    );
    thread::sleep(Duration::from_millis(600));
    let opened = gate.open(good);
    opened.until_up(8);
    let ends: Vec<Value> = (0..8).map(|_| c.hear()).collect();
    let ran = |seen: &Seen| -> Vec<String> {
        seen.lock()
            .unwrap()
            .iter()
            .map(|l| id(l).to_string())
            .collect()
    };
    let (before, after) = (ran(&seen), ran(&opened.seen));
    assert!(
        before.iter().all(|id| !after.contains(id)),
        "again behind the window: {before:?}, {after:?}"
    );
    let failed = ends.iter().filter(|e| e["error"]["code"] == FAILED).count();
    assert_eq!(
        failed,
        before.len(),
        "it may have run, and may not run again: {ends:?}"
    );
}

#[test]
fn what_waits_for_a_connection_goes_elsewhere_when_its_engine_begins_to_drain() {
    let (late, gate) = Gate::shut();
    let (other, seen) = engine(good);
    let g = patient("drains", &[("e1", late)], |_| {});
    let mut c = Client::of(&g);
    (1..=8).for_each(|call| ask(&mut c, "post", call));
    gate.until_kept_back(8);
    *g.name_answer.lock().unwrap() = answer(2, &[("e1", late, 1), ("e2", other, 0)]);
    // The list is known once something is answered.
    let mut config = Client::of(&g);
    ask(&mut config, "lookup", 77);
    assert_eq!(config.rows().0, 77);
    let opened = gate.open(good);
    opened.until_up(8);
    let mut calls: Vec<u64> = (0..8).map(|_| c.rows().0).collect();
    calls.sort();
    assert_eq!(calls, Vec::from_iter(1..=8));
    assert_eq!(fetches(&seen), 9);
    assert!(
        opened.seen.lock().unwrap().is_empty(),
        "{:?}",
        opened.seen.lock().unwrap()
    );
}

#[test]
fn a_withdrawal_overtakes_what_a_slow_engine_holds_back() {
    // An engine that reads nothing: its two connections are full of statements that do not fit, a last attempt lies
    // behind them.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    set_socket_recv_buffer_size(&listener, 4096).unwrap();
    let at = listener.local_addr().unwrap();
    let (read, reads) = mpsc::channel::<()>();
    let reader = thread::spawn(move || {
        let held: Vec<TcpStream> = (0..2).map(|_| listener.accept().unwrap().0).collect();
        reads.recv().unwrap();
        let to_its_end = |mut s: TcpStream| {
            // Or for as long as the gateway keeps it open.
            s.set_read_timeout(Some(Duration::from_secs(1))).unwrap();
            let mut all = Vec::new();
            let _ = s.read_to_end(&mut all);
            String::from_utf8_lossy(&all).into_owned()
        };
        let both = held
            .into_iter()
            .map(|s| thread::spawn(move || to_its_end(s)))
            .collect::<Vec<_>>();
        both.into_iter()
            .map(|t| t.join().unwrap())
            .collect::<String>()
    });
    let g = patient("held-back", &[("e1", at)], |config| {
        config["limits"] = json!({"memory_mb": 192, "sockets": 8});
        config["settings"]["policy_limits"]["multiplex"] = json!(64);
    });
    // For each of the two more than the system takes for a peer that reads nothing (4 MiB).
    let long = "QUJD".repeat(62_000);
    let mut filling = [Client::of(&g), Client::of(&g)];
    for call in 1..=60u64 {
        let fields = format!(r#""id":"{call:016x}","wait":7000,"bytes":"{long}""#);
        let whole =
            format!(r#"{{"jsonrpc":"2.0","id":{call},"method":"lookup","params":{{{fields}}}}}"#);
        filling[call as usize % 2].say(&whole);
    }
    filling.iter_mut().for_each(heard);
    let mut c = Client::of(&g);
    ask(&mut c, "lookup", 77);
    heard(&mut c);
    c.say(r#"{"jsonrpc":"2.0","method":"interrupt","params":{"id":77}}"#);
    heard(&mut c);
    read.send(()).unwrap();
    let all = reader.join().unwrap();
    assert!(
        all.contains("fetch 000000000000003c"),
        "what lay before it is written"
    );
    assert!(
        !all.contains("fetch 000000000000004d"),
        "begun after it was taken back"
    );
}

#[test]
fn a_client_that_closes_its_way_has_nothing_more_begun_and_is_answered_at_once() {
    // Full everywhere: what it asked for waits between two attempts.
    let full = |line: &str, _: &str| (format!("{} WAIT - 0\r\n\r\n", id(line)).into_bytes(), false);
    let (at, seen) = engine(full);
    let g = patient("half-closed", &[("e1", at)], |_| {});
    let mut c = Client::of(&g);
    ask(&mut c, "lookup", 1);
    assert!(soon(|| fetches(&seen) >= 1));
    c.0.get_ref().shutdown(Shutdown::Write).unwrap();
    let since = Instant::now();
    assert_eq!(c.hear()["error"]["code"], REJECTED);
    assert!(
        since.elapsed() < Duration::from_secs(1),
        "{:?}",
        since.elapsed()
    );
    assert_eq!(c.0.read(&mut [0; 1]).unwrap(), 0);
}

#[test]
fn a_client_that_leaves_while_it_is_not_read_has_nothing_more_begun() {
    // Another client's requests hold over half of the buffers: what this one says then is not read, and its end lies
    // behind that.
    let (at, gate) = Gate::shut();
    let g = patient("unread", &[("e1", at)], |config| {
        config["limits"] = json!({"memory_mb": 1, "sockets": 64});
    });
    let (mut c, mut hog) = (Client::of(&g), Client::of(&g));
    (1..=4).for_each(|call| ask(&mut c, "lookup", call));
    gate.until_kept_back(4);
    let call = |id: u64| {
        let fields = format!(r#""id":"{id:016x}","wait":7000,"bytes":"c2VsZWN0IDE=""#);
        framed(&format!(
            r#"{{"jsonrpc":"2.0","id":{id},"method":"lookup","params":{{{fields}}}}}"#
        ))
    };
    let check = framed(r#"{"jsonrpc":"2.0","id":9000,"method":"check"}"#);
    let all: String = (100..130).map(call).chain([check]).collect();
    // In one piece, so that it is read whatever it holds then.
    hog.0.get_mut().write_all(all.as_bytes()).unwrap();
    while hog.hear()["id"] != 9000 {}
    (5..=9).for_each(|call| ask(&mut c, "lookup", call));
    c.0.get_ref().shutdown(Shutdown::Write).unwrap();
    thread::sleep(Duration::from_millis(200));
    let opened = gate.open(good);
    (0..30).for_each(|_| assert!(hog.rows().0 >= 100));
    // To its end: all that it sent has been read by then.
    let _ = c.0.read_to_end(&mut Vec::new());
    let seen = opened.seen.lock().unwrap();
    let of = |l: &&String| l.starts_with("fetch 000000000000000");
    assert_eq!(seen.iter().filter(of).count(), 0, "{seen:?}");
}

#[test]
fn what_the_system_has_accepted_is_answered_before_the_gateway_ends() {
    // All places are taken by requests that nobody answers, one connection more has come in and waits for one.
    let (at, seen) = engine(|_, _| (vec![], false));
    let mut g = patient("backlog", &[("e1", at)], |config| {
        config["limits"] = json!({"memory_mb": 192, "sockets": 32});
    });
    let mut busy: Vec<Client> = (1..=16).map(|_| Client::of(&g)).collect();
    (1..)
        .zip(&mut busy)
        .for_each(|(call, c)| ask(c, "lookup", call));
    assert!(soon(|| fetches(&seen) == 16));
    let mut last: Vec<Client> = (0..2).map(|_| Client::of(&g)).collect();
    (77..)
        .zip(&mut last)
        .for_each(|(call, c)| ask(c, "lookup", call));
    g.signal("-TERM");
    for c in last.iter_mut().take(1) {
        assert_eq!(
            c.hear()["error"]["code"],
            REJECTED,
            "taken by the system, and answered"
        );
    }
    busy.iter_mut()
        .for_each(|c| assert!(c.try_hear().is_some()));
    assert!(g.process.wait().unwrap().success());
    assert_eq!(
        fetches(&seen),
        16,
        "what is read after the end is not sent on"
    );
}

#[test]
fn an_end_over_unread_bytes_does_not_take_the_last_answer_with_it() {
    // Each row is an end that the gateway makes while more is coming than it reads.
    let (at, _) = engine(good);
    let flood = vec![b'x'; 1 << 20];
    for (nth, bad) in ["GET / HTTP/1.1\r\n\r\n", "Content-Length: 1e9\r\n\r\n"]
        .into_iter()
        .enumerate()
    {
        let g = patient(&format!("unread-{nth}"), &[("e1", at)], |_| {});
        let mut c = Client::of(&g);
        ask(&mut c, "lookup", 1);
        assert_eq!(c.rows().0, 1);
        c.0.get_mut().write_all(bad.as_bytes()).unwrap();
        let mut to = c.0.get_ref().try_clone().unwrap();
        let flood = flood.clone();
        let writes = thread::spawn(move || drop(to.write_all(&flood[..100_000])));
        assert_eq!(c.hear()["error"]["code"], -32700, "{nth}");
        writes.join().unwrap();
        let end = c.0.read(&mut [0; 1]);
        assert!(matches!(end, Ok(0)), "{nth}: {end:?}");
    }
}

#[test]
fn what_crosses_an_idle_close_finds_the_end_of_the_connection_and_not_a_reset() {
    let (at, seen) = engine(good);
    let mut g = patient("idle-close", &[("e1", at)], |_| {});
    let mut c = Client::of(&g);
    ask(&mut c, "lookup", 1);
    assert_eq!(c.rows().0, 1);
    g.signal("-TERM");
    assert_eq!(c.0.read(&mut [0; 1]).unwrap(), 0, "resting, it is closed");
    // Sent before the client saw the end: it comes behind the gateway's own.
    ask(&mut c, "lookup", 2);
    thread::sleep(Duration::from_millis(20));
    assert!(c.try_say("{}"), "reset");
    assert_eq!(fetches(&seen), 1, "read after the end, it is not sent on");
    drop(c);
    assert!(g.process.wait().unwrap().success());
}

#[test]
fn clients_that_fill_all_places_and_rest_do_not_keep_a_moved_name_service_from_being_heard() {
    let answers = |row: &'static str| engine(move |line, _| (done(line, row), false));
    let ((old, _), (new, _)) = (answers("old\t\t\n"), answers("new\t\t\n"));
    let g = patient("fill", &[("e1", old)], |config| {
        config["limits"] = json!({"memory_mb": 192, "sockets": 64});
    });
    drop(Client::of(&g));
    let rest: Vec<TcpStream> = (0..300)
        .filter_map(|_| TcpStream::connect(g.at).ok())
        .collect();
    let (names, name_answer) = name_service();
    *name_answer.lock().unwrap() = answer(2, &[("e2", new, 0)]);
    g.moves(
        &std::fs::read_to_string(g.dir.join("told.json")).unwrap(),
        names,
    );
    let mut call = 1;
    assert!(soon(|| {
        call += 1;
        let mut c = Client::of(&g);
        c.ask(call);
        c.try_hear()
            .is_some_and(|a| a["result"]["bytes"] == "bmV3CQkK")
    }));
    drop(rest);
}

#[test]
fn a_request_that_meets_the_end_on_a_resting_connection_is_answered_or_never_taken() {
    for round in 0..3 {
        let (at, seen) = engine(good);
        let mut g = patient(&format!("resting-{round}"), &[("e1", at)], |_| {});
        let mut c = Client::of(&g);
        ask(&mut c, "lookup", 1);
        assert_eq!(c.rows().0, 1);
        // The end and the request in one moment, for a gateway that stands still.
        g.signal("-TERM");
        g.signal("-STOP");
        thread::sleep(Duration::from_millis(750));
        ask(&mut c, "lookup", 2);
        g.signal("-CONT");
        let mut byte = [0; 1];
        match c.0.get_ref().peek(&mut byte) {
            Ok(0) => assert_eq!(fetches(&seen), 1, "not answered, and sent on"),
            Ok(_) => assert_eq!(c.hear()["id"], 2),
            Err(e) => panic!("{:?}: reset", e.kind() == ErrorKind::ConnectionReset),
        }
        drop(c);
        assert!(g.process.wait().unwrap().success());
    }
}

#[test]
fn a_name_service_that_falls_silent_towards_one_socket_is_queried_from_another() {
    let answers = |row: &'static str| engine(move |line, _| (done(line, row), false));
    let ((old, _), (new, _)) = (answers("old\t\t\n"), answers("new\t\t\n"));
    let g = patient("silent-socket", &[("e1", old)], |_| {});
    drop(Client::of(&g));
    let service = UdpSocket::bind("127.0.0.1:0").unwrap();
    let names = service.local_addr().unwrap();
    thread::spawn(move || {
        let (mut query, mut first) = ([0; 512], None);
        while let Ok((_, from)) = service.recv_from(&mut query) {
            // Dead for the first socket for good.
            if *first.get_or_insert(from) != from {
                let _ =
                    service.send_to(&[&query[..2], &answer(2, &[("e2", new, 0)])].concat(), from);
            }
        }
    });
    g.moves(
        &std::fs::read_to_string(g.dir.join("told.json")).unwrap(),
        names,
    );
    let (mut c, mut call) = (Client::of(&g), 1);
    assert!(soon(|| {
        call += 1;
        c.ask(call);
        c.rows().1 == b"new\t\t\n"
    }));
}

#[test]
fn without_a_descriptor_the_next_that_is_given_back_lets_a_client_in() {
    let (at, _) = engine(good);
    let g = patient("descriptors", &[("e1", at)], |_| {});
    let mut c = Client::of(&g);
    ask(&mut c, "lookup", 1);
    assert_eq!(c.rows().0, 1);
    let pid = rustix::process::Pid::from_raw(g.process.id() as i32);
    let held = std::fs::read_dir(format!("/proc/{}/fd", g.process.id()))
        .unwrap()
        .count() as u64;
    let most = rustix::process::Rlimit {
        current: Some(held + 4),
        maximum: Some(held + 4),
    };
    rustix::process::prlimit(pid, rustix::process::Resource::Nofile, most).unwrap();
    let mut rest: Vec<Client> = (0..12).map(|_| Client::of(&g)).collect();
    rest.truncate(2);
    let mut last = Client::of(&g);
    ask(&mut last, "lookup", 2);
    assert_eq!(last.rows().0, 2);
    ask(&mut c, "lookup", 3);
    assert_eq!(c.rows().0, 3, "what was there goes on");
}

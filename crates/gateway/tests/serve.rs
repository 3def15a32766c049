//! The built gateway between stubs of its own on loopback: a client, engines, a name service.

use ironstair_test_cluster::stub as common;

use common::*;
use serde_json::{json, Value};
use std::io::{BufRead, Read, Write};
use std::net::{Shutdown, TcpStream, UdpSocket};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn pages_come_to_the_client_in_order_whatever_their_own() {
    let pages = [
        "a\tb\tc\n".repeat(999),
        "d\te\tf\n".repeat(998),
        "g\th\ti\n".repeat(7),
    ];
    let all = pages.concat();
    let (at, seen) = engine(move |line, _| {
        let page = |n: usize| {
            let (word, fields) = if n == 0 {
                ("DONE", "pages=3,cost=81,need=4".into())
            } else {
                ("MORE", format!("page={n}"))
            };
            format!(
                "{} {word} {fields} {}\r\n{}\r\n",
                id(line),
                pages[n].len(),
                pages[n]
            )
        };
        let answer = match line.split(' ').next().unwrap() {
            "fetch" => page(0),
            "more" if line.ends_with(" 1") => String::new(),
            "more" => format!("{}{}", page(2), page(1)),
            _ => String::new(),
        };
        (answer.into_bytes(), false)
    });
    let g = gateway("pages", &[("e1", at)]);
    let mut c = Client::of(&g);
    c.ask(7);
    let (call, rows) = c.rows();
    assert_eq!(call, 7);
    assert!(
        rows == all.as_bytes(),
        "{} bytes of {}",
        rows.len(),
        all.len()
    );
    assert!(soon(|| seen.lock().unwrap().len() == 4));
    let seen = seen.lock().unwrap();
    assert!(
        seen[0].starts_with("fetch 0000000000000007 c=lookup,w="),
        "{seen:?}"
    );
    assert!(seen[0].ends_with(" 8select 1\r\n"), "{seen:?}");
    assert_eq!(seen[3], "done 0000000000000007");
}

#[test]
fn failures_before_the_last_row_are_forwarded_again() {
    // Against answers that began and ended with their engine: nothing of them may reach the client.
    let (half, _) = engine(|line, _| {
        (
            format!("{} DONE pages=2,cost=5 4\r\nx\t\t\n\r\n", id(line)).into_bytes(),
            true,
        )
    });
    let (full, _) =
        engine(|line, _| (format!("{} WAIT - 0\r\n\r\n", id(line)).into_bytes(), false));
    let (broke, _) = engine(|line, _| {
        (
            format!("{} BROKE - 0\r\n\r\n", id(line)).into_bytes(),
            false,
        )
    });
    let (spoilt, _) =
        engine(|line, _| (format!("{} HUH - 0\r\n\r\n", id(line)).into_bytes(), false));
    let (good, _) = engine(|line, _| (done(line, "x\ty\tz\n"), false));
    for (nth, bad) in [half, full, broke, spoilt, own_address()]
        .into_iter()
        .enumerate()
    {
        let g = gateway(&format!("again-{nth}"), &[("e1", bad), ("e2", good)]);
        let mut c = Client::of(&g);
        for call in 1..6 {
            c.ask(call);
            assert_eq!(c.rows(), (call, b"x\ty\tz\n".to_vec()), "engine {nth}");
        }
    }
}

#[test]
fn spoilt_answers_end_their_connection_at_once_and_nothing_more() {
    // The second of three forwards is spoilt; late pages of it must not be taken for the next forward's.
    for (nth, spoilt) in [
        "{0} DONE pages=3,cost=1,need=1 4\r\na\t\t\n\r\n{0} MORE page=9 4\r\nb\t\t\n\r\n",
        "{0} DONE pages=1,cost=1 4\r\na\tb\n\r\n",
        "{0} DONE pages=1,cost=1 3\r\na\t\t\r\n",
        "{0} DONE pages=1000000,cost=1 0\r\n\r\n",
        "{0} DONE pages=1,cost=1 3000000000\r\nand so on",
        "{0} DONE pages=1,cost=1 4\r\na\t",
        "{0} DO",
        "{0} DONE - 0\r\n\r\n",
        "\u{1}\u{2}\u{3}\r\n",
    ]
    .into_iter()
    .enumerate()
    {
        let calls = Mutex::new(0);
        let (at, seen) = engine(move |line, _| {
            let mut calls = calls.lock().unwrap();
            *calls += id(line).ends_with('2') as u32;
            let answer = match (id(line).ends_with('2'), *calls) {
                (true, 1) => spoilt.replace("{0}", id(line)).into_bytes(),
                (true, _) => done(line, "x\ty\tz\n"),
                _ => vec![],
            };
            (answer, false)
        });
        let g = gateway(&format!("spoilt-{nth}"), &[("e1", at)]);
        let mut c = Client::of(&g);
        let started = Instant::now();
        (1..4).for_each(|call| c.ask(call));
        assert_eq!(c.rows().0, 2, "{spoilt}");
        assert!(started.elapsed() < Duration::from_millis(900), "{spoilt}");
        assert!(soon(|| seen.lock().unwrap().len() >= 4), "{spoilt}");
        assert_eq!(
            seen.lock().unwrap().len(),
            4,
            "those on other connections are not sent again: {spoilt}"
        );
    }
}

#[test]
fn good_answers_that_bring_more_than_is_theirs_do_no_harm() {
    let (at, seen) = engine(|line, _| {
        let page = |word: &str| format!("{} {word} 4\r\nx\t\t\n\r\n", id(line));
        let ahead = "00000000000000ff DONE - 4\r\ny\t\t\n\r\n".to_string();
        let (first, second) = (page("DONE pages=2,cost=1"), page("MORE page=1"));
        let answer = match line.split(' ').next().unwrap() {
            "fetch" => [ahead, first.clone(), first].concat(),
            "more" => [second.clone(), second].concat(),
            _ => String::new(),
        };
        (answer.into_bytes(), false)
    });
    let g = gateway("more", &[("e1", at)]);
    let mut c = Client::of(&g);
    for call in 1..9 {
        c.ask(call);
        assert_eq!(c.rows(), (call, b"x\t\t\nx\t\t\n".to_vec()));
    }
    assert_eq!(
        seen.lock()
            .unwrap()
            .iter()
            .filter(|l| l.starts_with("fetch"))
            .count(),
        8
    );
}

#[test]
fn where_calls_can_not_be_distinguished_any_more_none_is_settled() {
    let (at, seen) = engine(|line, _| {
        thread::sleep(Duration::from_millis(500));
        (done(line, "x\ty\tz\n"), false)
    });
    let g = gateway("head", &[("e1", at)]);
    let (mut c, mut other) = (Client::of(&g), Client::of(&g));
    c.ask(1);
    assert!(soon(|| seen.lock().unwrap().len() == 1));
    let again = |call: u64| {
        let fields = r#""id":"0000000000000001","wait":400,"bytes":"""#;
        format!(r#"{{"jsonrpc":"2.0","id":{call},"method":"lookup","params":{{{fields}}}}}"#)
    };
    other.say(&again(5));
    assert_eq!(other.hear()["error"]["code"], -32602, "an id in use");
    let both = [
        again(6).as_str(),
        r#"{"jsonrpc":"2.0","method":"interrupt","params":{"id":6}}"#,
    ]
    .map(framed);
    other
        .0
        .get_mut()
        .write_all(both.concat().as_bytes())
        .unwrap();
    assert_eq!(c.rows().0, 1, "it is not another's to take back");
    c.ask(1);
    assert!(soon(|| seen.lock().unwrap().len() == 2));
    c.ask(1);
    let again = c.hear();
    assert_eq!(
        (&again["error"]["code"], &again["id"]),
        (&json!(-32600), &Value::Null),
        "a call number in use"
    );
    assert_eq!(c.0.read(&mut [0; 1]).unwrap(), 0);
    assert!(soon(
        || seen.lock().unwrap().last().unwrap() == "abort 0000000000000001"
    ));
    other.ask(2);
    other
        .0
        .get_mut()
        .write_all(b"GET / HTTP/1.1\r\n\r\n")
        .unwrap();
    assert_eq!(other.hear()["error"]["code"], -32700);
    assert_eq!(other.0.read(&mut [0; 1]).unwrap(), 0);
}

#[test]
fn a_call_taken_back_is_given_up_and_never_answered() {
    let (at, seen) = engine(|line, _| {
        (
            if line.ends_with("prio=9") {
                done(line, "")
            } else {
                vec![]
            },
            false,
        )
    });
    let g = gateway("interrupt", &[("e1", at)]);
    let mut c = Client::of(&g);
    c.ask(1);
    assert!(soon(|| seen.lock().unwrap().len() == 1));
    c.say(r#"{"jsonrpc":"2.0","method":"interrupt","params":{"id":1}}"#);
    assert!(soon(
        || seen.lock().unwrap().last().unwrap() == "abort 0000000000000001"
    ));
    c.say(r#"{"jsonrpc":"2.0","id":2,"method":"check"}"#);
    assert_eq!(
        c.hear(),
        json!({"jsonrpc": "2.0", "id": 2, "result": {"fit": true}})
    );
}

#[test]
fn what_no_engine_answers_is_turned_back_in_time() {
    let (at, _) = engine(|_, _| (vec![], false));
    let g = gateway("silent", &[("e1", at)]);
    let mut c = Client::of(&g);
    let started = Instant::now();
    c.say(
        r#"{"jsonrpc":"2.0","id":1,"method":"lookup","params":{"id":"00000000000000aa","wait":400,"bytes":""}}"#,
    );
    assert_eq!(c.hear()["error"]["code"], -32014);
    assert!(
        started.elapsed() < Duration::from_secs(1),
        "{:?}",
        started.elapsed()
    );
}

#[test]
fn an_engine_is_probed_where_the_module_wants_to_know() {
    let (at, seen) = engine(|line, _| match line.split_once(' ').unwrap() {
        ("stats", tag) => (
            format!("{tag} FIT load=inflight:2;util:0.4 0\r\n\r\n").into_bytes(),
            false,
        ),
        _ => (done(line, "x\ty\tz\n"), false),
    });
    let g = gateway_among(300, "report", &[("e1", at)]);
    let mut c = Client::of(&g);
    for call in 1..3 {
        c.ask(call);
        assert_eq!(c.rows().0, call);
    }
    c.ask_in("report", 3);
    assert_eq!(c.rows().0, 3);
    let seen = seen.lock().unwrap();
    assert_eq!(seen[2], "stats r1");
    assert!(
        seen[3].starts_with("fetch 0000000000000003 c=report,"),
        "{seen:?}"
    );
}

#[test]
fn a_silent_connection_is_not_kept_when_a_new_one_would_be_answered() {
    // Against a machine that was cut off: what was open to it stays silent, also once it is back.
    let first = Mutex::new(None);
    let (at, _) = engine(move |line, _| {
        let own = thread::current().id();
        let silent = *first.lock().unwrap().get_or_insert(own) == own;
        (
            if silent {
                vec![]
            } else {
                done(line, "x\ty\tz\n")
            },
            false,
        )
    });
    let g = gateway("cut-off", &[("e1", at)]);
    let mut c = Client::of(&g);
    c.ask(1);
    thread::sleep(Duration::from_millis(1500));
    c.ask(2);
    assert_eq!(c.rows().0, 2, "while the first is still waited for");
    assert_eq!(c.hear()["id"], 1, "turned back in the end");
    c.ask(3);
    assert_eq!(c.rows().0, 3);
}

#[test]
fn calls_that_are_none_spoil_nothing_for_others() {
    let (at, _) = engine(|line, _| (done(line, "x\ty\tz\n"), false));
    let g = gateway("faults", &[("e1", at)]);
    let mut c = Client::of(&g);
    c.say("{\"id\":");
    assert_eq!(c.hear()["error"]["code"], -32700);
    c.say(r#"{"jsonrpc":"2.0","id":1,"method":"drop"}"#);
    assert_eq!(c.hear()["error"]["code"], -32601);
    c.say(
        r#"{"jsonrpc":"2.0","id":2,"method":"lookup","params":{"id":"short","wait":9,"bytes":""}}"#,
    );
    assert_eq!(c.hear()["error"]["code"], -32602);
    let statement = "QUJD".repeat(30_000);
    c.say(&format!(
        r#"{{"jsonrpc":"2.0","id":3,"method":"lookup","params":{{"id":"{:016x}","wait":4000,"bytes":"{statement}"}}}}"#,
        3
    ));
    assert_eq!(c.rows().0, 3, "a statement of many buffers");
    c.ask(4);
    assert_eq!(c.rows().0, 4);
}

#[test]
fn clients_that_say_nothing_or_half_or_too_much_are_left_and_the_usual_ones_served() {
    let (at, seen) = engine(|line, _| (done(line, "x\ty\tz\n"), false));
    let g = gateway("rude", &[("e1", at)]);
    let call = |fields: &str| {
        let fields = format!(r#""id":"00000000000000aa",{fields}"#);
        format!(r#"{{"jsonrpc":"2.0","id":1,"method":"lookup","params":{{{fields}}}}}"#)
    };
    // Figures that are none must not read as missing, and then be settled.
    for fields in [
        r#""wait":-1,"bytes":"""#,
        r#""wait":0,"bytes":"""#,
        r#""wait":1e12,"bytes":"""#,
        r#""wait":400,"bytes":"","cost":"many""#,
        r#""wait":400,"bytes":"","cost":-3"#,
        r#""wait":400,"bytes":"","ram":1e300"#,
        r#""wait":400,"bytes":"","retry":[]"#,
        r#""wait":400"#,
    ] {
        let mut c = Client::of(&g);
        c.say(&call(fields));
        assert_eq!(c.hear()["error"]["code"], -32602, "{fields}");
    }
    assert!(seen.lock().unwrap().is_empty());
    let (started, mut silent) = (Instant::now(), Vec::new());
    let mut half = Client::of(&g);
    half.0
        .get_mut()
        .write_all(b"Content-Length: 90\r\n\r\n{")
        .unwrap();
    // More than there are places for: what is accepted later must not wait for those that say nothing.
    for nth in 0..600 {
        silent.push(Client::of(&g));
        if nth % 100 == 99 {
            let mut usual = Client::of(&g);
            usual.ask(nth);
            assert_eq!(usual.rows().0, nth);
        }
    }
    for mut c in silent {
        assert_eq!(c.0.read(&mut [0; 1]).unwrap_or(0), 0);
    }
    assert_eq!(half.hear()["error"]["code"], -32700);
    assert!(
        started.elapsed() < Duration::from_secs(3),
        "{:?}",
        started.elapsed()
    );
    // A flood is left after a few words, and its calls with it.
    let mut flood = Client::of(&g);
    for call in 1..200 {
        let text = call.to_string() + "|".repeat(100).as_str();
        flood.say(&text);
    }
    let mut heard = 0;
    while flood.0.read_line(&mut String::new()).is_ok_and(|n| n > 0) {
        heard += 1;
    }
    assert!((16..100).contains(&heard), "{heard}");
}

#[test]
fn a_crowd_that_needs_more_places_than_there_are_is_answered_to_the_last() {
    // Against places taken from connections whose first call had come but was not read yet.
    let (at, _) = engine(|line, _| (done(line, "x\ty\tz\n"), false));
    let g = gateway("crowd", &[("e1", at)]);
    Client::of(&g).ask(9999);
    for round in 0..2 {
        let first = 1 + 700 * round;
        let mut crowd: Vec<Client> = (first..first + 700)
            .map(|call| {
                let mut c = Client::of(&g);
                c.ask(call);
                c
            })
            .collect();
        crowd
            .iter_mut()
            .zip(first..)
            .for_each(|(c, call)| assert_eq!(c.hear()["id"], call));
    }
}

#[test]
fn a_client_that_has_sent_its_last_still_gets_its_answers() {
    let (at, _) = engine(|line, _| {
        thread::sleep(Duration::from_millis(100));
        (done(line, "x\ty\tz\n"), false)
    });
    let g = gateway("half", &[("e1", at)]);
    let mut c = Client::of(&g);
    c.ask(1);
    c.0.get_mut().shutdown(Shutdown::Write).unwrap();
    assert_eq!(c.rows().0, 1);
    assert_eq!(
        c.0.read(&mut [0; 1]).unwrap(),
        0,
        "then the connection ends"
    );
}

#[test]
fn the_name_service_is_followed() {
    let answers = |row: &'static str| engine(move |line, _| (done(line, row), false));
    let ((old, old_seen), (new, _)) = (answers("old\t\t\n"), answers("new\t\t\n"));
    let g = gateway("names", &[("e1", old)]);
    let mut c = Client::of(&g);
    c.ask(1);
    assert_eq!(c.rows(), (1, b"old\t\t\n".to_vec()));
    *g.name_answer.lock().unwrap() = answer(2, &[("e1", old, 1), ("e2", new, 0)]);
    let mut call = 1;
    let mut until = |c: &mut Client, row: &str| {
        soon(|| {
            call += 1;
            c.ask(call);
            c.rows() == (call, row.as_bytes().to_vec())
        })
    };
    assert!(until(&mut c, "new\t\t\n"));
    let before = old_seen.lock().unwrap().len();
    for _ in 0..10 {
        assert!(until(&mut c, "new\t\t\n"));
    }
    assert_eq!(
        old_seen.lock().unwrap().len(),
        before,
        "nothing new to a draining engine"
    );
    *g.name_answer.lock().unwrap() = b"no list at all".to_vec();
    thread::sleep(Duration::from_millis(300));
    assert!(until(&mut c, "new\t\t\n"), "the last good list stays");
    // Gone, and its address is another's now: what was open with the old one is sent anew.
    *g.name_answer.lock().unwrap() = answer(3, &[("e3", old, 0)]);
    assert!(until(&mut c, "old\t\t\n"));
}

#[test]
fn a_new_configuration_moves_the_name_service_and_nothing_else() {
    let answers = |row: &'static str| engine(move |line, _| (done(line, row), false));
    let ((old, _), (new, _)) = (answers("old\t\t\n"), answers("new\t\t\n"));
    let mut g = gateway("reload", &[("e1", old)]);
    let mut c = Client::of(&g);
    let mut call = 0;
    let mut row = |c: &mut Client| {
        call += 1;
        c.ask(call);
        c.rows().1
    };
    assert_eq!(row(&mut c), b"old\t\t\n");
    // Against a signal that ends the process, a file that can't be used, and an old address still believed.
    let config = std::fs::read_to_string(g.dir.join("told.json")).unwrap();
    std::fs::write(g.dir.join("told.json"), "{").unwrap();
    g.signal("-HUP");
    thread::sleep(Duration::from_millis(100));
    for (serial, (at, want)) in [(new, b"new\t\t\n"), (old, b"old\t\t\n")]
        .into_iter()
        .enumerate()
    {
        let (names, name_answer) = name_service();
        g.moves(&config, names);
        thread::sleep(Duration::from_millis(100));
        let serial = 2 + serial as u32;
        *g.name_answer.lock().unwrap() = answer(serial + 5, &[("e9", own_address(), 0)]);
        *name_answer.lock().unwrap() = answer(serial, &[(&format!("e{serial}"), at, 0)]);
        assert!(soon(|| row(&mut c) == want));
    }
    assert!(g.process.try_wait().unwrap().is_none());
}

#[test]
fn a_name_service_slower_than_the_questions_come_is_followed() {
    // Against answers that are each thrown away because the next question is out already.
    let answers = |row: &'static str| engine(move |line, _| (done(line, row), false));
    let ((old, _), (new, _)) = (answers("old\t\t\n"), answers("new\t\t\n"));
    let g = gateway("late", &[("e1", old)]);
    let service = UdpSocket::bind("127.0.0.1:0").unwrap();
    let names = service.local_addr().unwrap();
    thread::spawn(move || {
        let (mut query, mut requested, mut stray) = ([0; 512], Vec::new(), answer(9, &[]));
        stray.truncate(20);
        while let Ok((_, from)) = service.recv_from(&mut query) {
            requested.push([query[0], query[1]]);
            let _ = service.send_to(&[&query[..2], &stray].concat(), from);
            if let Some(late) = requested.len().checked_sub(4) {
                let _ = service.send_to(
                    &[&requested[late][..], &answer(2, &[("e2", new, 0)])].concat(),
                    from,
                );
            }
        }
    });
    let mut c = Client::of(&g);
    c.ask(1);
    assert_eq!(c.rows().1, b"old\t\t\n");
    g.moves(
        &std::fs::read_to_string(g.dir.join("told.json")).unwrap(),
        names,
    );
    let mut call = 1;
    assert!(soon(|| {
        call += 1;
        c.ask(call);
        c.rows().1 == b"new\t\t\n"
    }));
}

#[test]
fn requested_to_end_it_answers_what_it_has_and_ends_well() {
    // The second call would take longer than the gateway is left, and its client would wait: that is rejected.
    let (at, seen) = engine(|line, _| {
        thread::sleep(Duration::from_millis(1200));
        (
            if id(line).ends_with('1') {
                done(line, "x\ty\tz\n")
            } else {
                vec![]
            },
            false,
        )
    });
    let mut g = gateway("drain", &[("e1", at)]);
    let (mut c, mut idle) = (Client::of(&g), Client::of(&g));
    c.ask(1);
    assert!(soon(|| seen.lock().unwrap().len() == 1));
    c.ask(2);
    let config = Instant::now();
    g.signal("-TERM");
    thread::sleep(Duration::from_millis(100));
    g.signal("-HUP");
    g.signal("-TERM");
    let mut late = Client::of(&g);
    late.say(r#"{"jsonrpc":"2.0","id":1,"method":"check"}"#);
    assert_eq!(late.hear()["result"]["fit"], false);
    assert_eq!(
        idle.0.read(&mut [0; 1]).unwrap(),
        0,
        "idle connections are closed"
    );
    assert_eq!(c.rows().0, 1);
    assert_eq!(c.hear()["error"]["code"], -32014);
    let took = config.elapsed();
    assert!(took < Duration::from_millis(3700), "{took:?}");
    let ended = soon(|| TcpStream::connect(g.at).is_err());
    assert!(ended && g.process.wait().unwrap().success());
}

#[test]
fn room_for_all_descriptors_is_made_before_anything_is_served() {
    // Against a gateway that stands still for seconds while the kernel makes its table of them grow.
    let (at, _) = engine(|line, _| (done(line, "x\ty\tz\n"), false));
    let class = |name: &str| json!({"name": name, "slo_ns": 1e9, "give_up_ns": 5e9, "semantics": "pure", "worth": 1.0});
    for (sockets, room) in [(json!(384), 384), (json!(1e9), 512)] {
        let (mut config, name_answer) =
            config(2, json!([class("lookup"), class("report")]), &[("e1", at)]);
        config["limits"] = json!({"memory_mb": 192, "sockets": sockets});
        let g = started(&format!("room-{room}"), config, name_answer, None);
        let mut c = Client::of(&g);
        c.ask(1);
        assert_eq!(c.rows().0, 1);
        let status = std::fs::read_to_string(format!("/proc/{}/status", g.process.id())).unwrap();
        let size = status
            .lines()
            .find_map(|l| l.strip_prefix("FDSize:"))
            .unwrap();
        assert!(
            size.trim().parse::<u32>().unwrap() >= room,
            "{size} for {sockets}"
        );
    }
}

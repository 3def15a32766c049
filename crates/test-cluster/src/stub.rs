//! The built gateway between stubs on loopback: clients, engines, a name service. What goes wrong here ends the
//! test that asked for it.

use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub type Seen = Arc<Mutex<Vec<String>>>;

/// An engine that answers each line as `act` says: bytes to send, and whether to end the connection then.
pub fn engine(
    act: impl Fn(&str, &str) -> (Vec<u8>, bool) + Send + Sync + 'static,
) -> (SocketAddr, Seen) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (at, seen) = (listener.local_addr().unwrap(), Seen::default());
    answer_all(listener, seen.clone(), act);
    (at, seen)
}

/// Keeps connections from coming up until it is opened.
pub struct Gate {
    listener: TcpListener,
    fills: Vec<TcpStream>,
}

/// An engine whose gate is open.
pub struct Opened {
    pub seen: Seen,
    ups: Arc<AtomicU32>,
    _fills: Vec<TcpStream>,
}

impl Opened {
    /// Until so many connections that were kept back have come up, with the next tries of the system's.
    pub fn until_up(&self, connections: usize) {
        assert!(soon(
            || self.ups.load(Ordering::Relaxed) as usize >= connections + self._fills.len()
        ));
    }
}

impl Gate {
    /// An address where connections come up late: the queue of those not accepted is full.
    pub fn shut() -> (SocketAddr, Gate) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = listener.local_addr().unwrap();
        rustix::net::listen(&listener, 0).unwrap();
        let connect = || TcpStream::connect_timeout(&at, Duration::from_millis(100)).ok();
        let fills = std::iter::from_fn(connect).collect();
        (at, Gate { listener, fills })
    }

    /// Until so many connections are on their way here, by the system's own table.
    pub fn until_kept_back(&self, connections: usize) {
        let port = self.listener.local_addr().unwrap().port();
        let sent = format!(":{port:04X} 02 ");
        let on_their_way = || {
            std::fs::read_to_string("/proc/net/tcp")
                .unwrap()
                .matches(&sent)
                .count()
        };
        assert!(
            soon(|| on_their_way() >= connections),
            "{} on their way",
            on_their_way()
        );
    }

    /// From now on an engine.
    pub fn open(
        self,
        act: impl Fn(&str, &str) -> (Vec<u8>, bool) + Send + Sync + 'static,
    ) -> Opened {
        let (seen, _fills) = (Seen::default(), self.fills);
        rustix::net::listen(&self.listener, 128).unwrap();
        let ups = answer_all(self.listener, seen.clone(), act);
        Opened { seen, ups, _fills }
    }
}

fn answer_all(
    listener: TcpListener,
    lines: Seen,
    act: impl Fn(&str, &str) -> (Vec<u8>, bool) + Send + Sync + 'static,
) -> Arc<AtomicU32> {
    let (act, ups) = (Arc::new(act), Arc::new(AtomicU32::new(0)));
    let up = ups.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            up.fetch_add(1, Ordering::Relaxed);
            let (act, lines) = (act.clone(), lines.clone());
            thread::spawn(move || {
                let (mut to, mut from) = (stream.try_clone().unwrap(), BufReader::new(stream));
                let mut line = String::new();
                while from.read_line(&mut line).is_ok_and(|n| n > 0) {
                    let mut body = String::new();
                    if line.starts_with("fetch") {
                        let n: usize = line.split_whitespace().last().unwrap().parse().unwrap();
                        let mut bytes = vec![0; n + 2];
                        from.read_exact(&mut bytes).unwrap();
                        body = String::from_utf8(bytes).unwrap();
                    }
                    lines
                        .lock()
                        .unwrap()
                        .push(format!("{}{body}", line.trim_end()));
                    let (answer, end) = act(line.trim_end(), &body);
                    // The gateway may have left meanwhile.
                    if to.write_all(&answer).is_err() {
                        return;
                    }
                    if end {
                        let _ = to.shutdown(Shutdown::Both);
                    }
                    line.clear();
                }
            });
        }
    });
    ups
}

pub fn id(line: &str) -> &str {
    line.split(' ').nth(1).unwrap()
}

pub fn done(line: &str, rows: &str) -> Vec<u8> {
    format!(
        "{} DONE pages=1,cost=5,need=4 {}\r\n{rows}\r\n",
        id(line),
        rows.len()
    )
    .into_bytes()
}

pub struct Gateway {
    pub process: Child,
    pub at: SocketAddr,
    pub name_answer: Arc<Mutex<Vec<u8>>>,
    pub dir: std::path::PathBuf,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

pub fn names(m: &mut Vec<u8>, name: &str) {
    for label in name.split('.') {
        m.push(label.len() as u8);
        m.extend(label.as_bytes());
    }
    m.push(0);
}

/// The whole list as an answer without its number: engines with their state, under a serial.
pub fn answer(serial: u32, engines: &[(&str, SocketAddr, u16)]) -> Vec<u8> {
    let count = engines.len() as u16;
    let mut m = vec![0x84, 0, 0, 0];
    m.extend(
        [
            count.to_be_bytes(),
            1u16.to_be_bytes(),
            (2 * count).to_be_bytes(),
        ]
        .concat(),
    );
    let mut record = |name: &str, kind: u16, data: Vec<u8>| {
        names(&mut m, name);
        m.extend(
            [
                &kind.to_be_bytes()[..],
                &[0, 1, 0, 0, 0, 0],
                &(data.len() as u16).to_be_bytes(),
                &data,
            ]
            .concat(),
        );
    };
    for (name, at, state) in engines {
        let mut data = [state.to_be_bytes(), [0, 40], at.port().to_be_bytes()].concat();
        names(&mut data, &format!("{name}.a.hosts"));
        record("_data._tcp.farm.lan", 33, data);
    }
    let mut soa = vec![0, 0];
    soa.extend(serial.to_be_bytes());
    soa.extend([0; 16]);
    record("farm.lan", 6, soa);
    for (name, at, _) in engines {
        let SocketAddr::V4(at) = at else { panic!() };
        record(&format!("{name}.a.hosts"), 1, at.ip().octets().to_vec());
        record(
            &format!("{name}.a.hosts"),
            16,
            b"\x06kind=m\x06cell=0\x09started=0".to_vec(),
        );
    }
    m
}

/// A name service that answers each question with the list set, as soon as there is one.
pub fn name_service() -> (SocketAddr, Arc<Mutex<Vec<u8>>>) {
    let service = UdpSocket::bind("127.0.0.1:0").unwrap();
    let (at, name_answer) = (
        service.local_addr().unwrap(),
        Arc::new(Mutex::new(Vec::new())),
    );
    let list = name_answer.clone();
    thread::spawn(move || {
        let mut query = [0; 512];
        while let Ok((_, from)) = service.recv_from(&mut query) {
            let list = list.lock().unwrap().clone();
            let _ = service.send_to(&[&query[..2], &list].concat(), from);
        }
    });
    (at, name_answer)
}

/// Addresses of this test run alone: a port that is free now may be another's a moment later.
pub fn own_address() -> SocketAddr {
    static NTH: AtomicU32 = AtomicU32::new(0);
    let (pid, nth) = (std::process::id(), NTH.fetch_add(1, Ordering::Relaxed));
    // Hundreds of processes in one run: then other ports, of which each may use three.
    let port = 8080 + 3 * (nth / 250) as u16;
    SocketAddr::from((
        [
            127,
            64 + (pid >> 8 & 63) as u8,
            pid as u8,
            1 + (nth % 250) as u8,
        ],
        port,
    ))
}

pub fn gateway(test: &str, engines: &[(&str, SocketAddr)]) -> Gateway {
    gateway_among(2, test, engines)
}

pub fn gateway_among(gateways: u32, test: &str, engines: &[(&str, SocketAddr)]) -> Gateway {
    let class = |name: &str| json!({"name": name, "slo_ns": 1e9, "give_up_ns": 5e9, "semantics": "pure", "worth": 1.0});
    let classes = json!([class("lookup"), class("report")]);
    let (config, name_answer) = config(gateways, classes, engines);
    started(test, config, name_answer, None)
}

/// What a gateway is told, and the list that its name service tells.
pub fn config(
    gateways: u32,
    classes: Value,
    engines: &[(&str, SocketAddr)],
) -> (Value, NameServiceAnswer) {
    let (names, name_answer) = name_service();
    let known = engines.iter().map(|(name, at)| {
        json!({"instanceId": name, "hostPort": at.to_string(), "zone": "a", "machineType": "m", "cell": 0,
            "lifecycle": "ready", "weight": 4, "startedAtMs": 0})
    });
    let threads: Vec<u32> = (0..classes.as_array().unwrap().len())
        .map(|i| 1 + 3 * (i % 2) as u32)
        .collect();
    let config = json!({"name": "n0", "listen": own_address().to_string(), "seed": "8c1f30d27a5be964",
    "names": names.to_string(),
    "known": {"rev": 1, "notices": [{"rev": 1, "pool": {"reset": true, "instances": known.collect::<Vec<_>>()}}]},
    "settings": {"classes": classes, "fleet_size": gateways, "machine_types": ["m"],
        "dcs": ["a"], "registry_mode": "automatic", "resolution_ns": 1e6,
        "family_info": {"size_cores": [16], "ram_of_kind_mb": [32768.0], "threads_by_class": threads,
            "lanes_count": true},
        "guarantees": {"cold_from": 0.3, "warm_after_ns": 15e9, "overload_factor": 4.0, "fall_ns": 1e9},
        "report": {"fields": ["concurrent", "load_share"]},
        "policy_limits": {"max_attempts": 6, "may_cancel": true, "probes": true, "connect_timeout_ns": 250e6,
            "keepalive_ns": 30e9, "multiplex": 32}}});
    (config, name_answer)
}

pub type NameServiceAnswer = Arc<Mutex<Vec<u8>>>;

/// A gateway told that, with an operator's file or without.
pub fn started(
    test: &str,
    config: Value,
    name_answer: NameServiceAnswer,
    operator: Option<Value>,
) -> Gateway {
    let dir = std::env::temp_dir().join(format!("ironstair-{test}-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    std::fs::write(dir.join("told.json"), config.to_string()).unwrap();
    let at = config["listen"].as_str().unwrap().parse().unwrap();
    if let Some(operator) = operator {
        std::fs::write(dir.join("operator.json"), operator.to_string()).unwrap();
    }
    let process = serve(&dir);
    Gateway {
        process,
        at,
        name_answer,
        dir,
    }
}

/// The built program that lies beside the running test or tool.
pub fn binary() -> std::path::PathBuf {
    let own = std::env::current_exe().unwrap();
    let folders = own.ancestors().skip(1).take(2).map(|f| f.join("ironstair"));
    folders
        .into_iter()
        .find(|f| f.is_file())
        .expect("the program is built beside this one")
}

pub fn serve(dir: &std::path::Path) -> Child {
    let mut serve = Command::new(binary());
    serve
        .arg("serve")
        .env("ROUTER_CONFIG", dir.join("told.json"));
    if dir.join("operator.json").exists() {
        serve.arg("--operator").arg(dir.join("operator.json"));
    }
    serve.spawn().unwrap()
}

impl Gateway {
    /// Killed outright and started anew.
    pub fn again(&mut self) {
        self.process.kill().unwrap();
        self.process.wait().unwrap();
        self.process = serve(&self.dir);
    }
    /// Told anew: the same but for the name service's address.
    pub fn moves(&self, config: &str, names: SocketAddr) {
        let mut v: Value = serde_json::from_str(config).unwrap();
        v["names"] = json!(names.to_string());
        std::fs::write(self.dir.join("told.json"), v.to_string()).unwrap();
        self.signal("-HUP");
    }
    pub fn signal(&self, name: &str) {
        Command::new("kill")
            .args([name, &self.process.id().to_string()])
            .status()
            .unwrap();
    }
}

pub fn framed(message: &str) -> String {
    format!("Content-Length: {}\r\n\r\n{message}", message.len())
}

pub struct Client(pub BufReader<TcpStream>);

/// What a call that was given up comes back with.
pub const REJECTED: i64 = -32014;
pub const FAILED: i64 = -32002;

impl Client {
    pub fn of(gateway: &Gateway) -> Client {
        let late = Instant::now() + Duration::from_secs(10);
        loop {
            match TcpStream::connect(gateway.at) {
                Ok(s) => {
                    s.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
                    return Client(BufReader::new(s));
                }
                Err(e) => assert!(Instant::now() < late, "{e}"),
            }
            thread::sleep(Duration::from_millis(10));
        }
    }
    pub fn say(&mut self, message: &str) {
        assert!(self.try_say(message), "the connection has ended");
    }
    /// Whether it went out.
    pub fn try_say(&mut self, message: &str) -> bool {
        self.0
            .get_mut()
            .write_all(framed(message).as_bytes())
            .is_ok()
    }
    /// The statement is the text `select 1`.
    pub fn ask(&mut self, call: u64) {
        self.ask_in("lookup", call);
    }
    pub fn ask_in(&mut self, class: &str, call: u64) {
        assert!(self.try_ask_in(class, call), "the connection has ended");
    }
    pub fn try_ask_in(&mut self, class: &str, call: u64) -> bool {
        self.try_ask_of(class, call, "select 1")
    }
    pub fn try_ask_of(&mut self, class: &str, call: u64, statement: &str) -> bool {
        use base64::Engine;
        let bytes = base64::engine::general_purpose::STANDARD.encode(statement);
        self.try_say(&format!(
            r#"{{"jsonrpc":"2.0","id":{call},"method":"{class}","params":{{"id":"{call:016x}","wait":4000,"bytes":"{bytes}"}}}}"#
        ))
    }
    pub fn hear(&mut self) -> Value {
        self.try_hear().expect("an answer")
    }
    /// None where the connection has ended.
    pub fn try_hear(&mut self) -> Option<Value> {
        let mut head = String::new();
        self.0.read_line(&mut head).ok().filter(|n| *n > 0)?;
        let n: usize = head.trim().strip_prefix("Content-Length: ")?.parse().ok()?;
        let mut message = vec![0; n + 2];
        self.0.read_exact(&mut message).ok()?;
        serde_json::from_slice(&message).ok()
    }
    pub fn rows(&mut self) -> (u64, Vec<u8>) {
        use base64::Engine;
        let answer = self.hear();
        let text = answer["result"]["bytes"]
            .as_str()
            .unwrap_or_else(|| panic!("{answer}"));
        (
            answer["id"].as_u64().unwrap(),
            base64::engine::general_purpose::STANDARD
                .decode(text)
                .unwrap(),
        )
    }
}

pub fn soon(mut so: impl FnMut() -> bool) -> bool {
    let late = Instant::now() + Duration::from_secs(5);
    while Instant::now() < late {
        if so() {
            return true;
        }
        thread::sleep(Duration::from_millis(10));
    }
    false
}

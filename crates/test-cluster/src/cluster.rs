//! Gateways of one fleet as processes: each with its files, its links to the voters and its engines' addresses, so
//! that an engine knows from which gateway an attempt came.

use crate::invariants::{breaches, Breach, RequestLog, Seen, What};
use crate::link::{Link, Way};
use crate::stub::{self, binary, done, engine, own_address, Client};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// How long a condition may take on a busy machine.
const WITHIN: Duration = Duration::from_secs(40);
/// Classes: what may run again, and what may run once.
pub const CLASSES: [&str; 2] = ["lookup", "post"];
pub const ONCE: [&str; 1] = ["post"];
const VOTERS: usize = 3;

/// What a gateway is told and its operator's file, before they are written.
pub type Edit = fn(usize, &mut Value, &mut Value);

/// How a fleet is laid out.
#[derive(Clone, Debug)]
pub struct Plan {
    pub gateways: usize,
    pub lease_ms: u32,
    /// These go on without a lease.
    pub steady: Vec<usize>,
    /// How long an engine takes, in ms.
    pub takes_ms: u64,
    /// Guards that are disabled at a gateway, by `IRONSTAIR_DISABLED_GUARDS`; at all under no number.
    pub without: Vec<(Option<usize>, &'static str)>,
    pub edit: Option<Edit>,
}

impl Default for Plan {
    fn default() -> Self {
        let (steady, without, edit) = Default::default();
        Plan {
            gateways: 5,
            lease_ms: 1000,
            steady,
            takes_ms: 5,
            without,
            edit,
        }
    }
}

struct Gate {
    process: Option<Child>,
    stopped: bool,
    dir: PathBuf,
    at: SocketAddr,
    management: SocketAddr,
    without: Vec<&'static str>,
    /// To the other voters, by their numbers.
    links: BTreeMap<usize, Link>,
}

/// What a command said.
#[derive(Debug)]
pub struct Said {
    pub code: i32,
    pub out: String,
    pub err: String,
}

pub struct Cluster {
    pub request_log: RequestLog,
    dir: PathBuf,
    gates: Vec<Gate>,
    loads: Vec<Load>,
    rounds: usize,
}

/// Waits until it is so.
pub fn until(what: &str, mut so: impl FnMut() -> bool) {
    let late = Instant::now() + WITHIN;
    while !so() {
        assert!(Instant::now() < late, "not within {WITHIN:?}: {what}");
        thread::sleep(Duration::from_millis(10));
    }
}

/// A gateway's name in the fleet.
pub fn name(gateway: usize) -> String {
    format!("g{}", gateway + 1)
}

impl Cluster {
    /// The fleet's processes, serving, its history begun and every gateway holding it.
    pub fn started(test: &str, plan: &Plan) -> Cluster {
        let mut cluster = Cluster::laid_out(test, plan);
        (0..plan.gateways).for_each(|g| cluster.start(g));
        cluster.begin();
        cluster
    }

    /// Files, links and engines; no process yet.
    pub fn laid_out(test: &str, plan: &Plan) -> Cluster {
        let dir = std::env::temp_dir().join(format!(
            "ironstair-test-cluster-{test}-{}",
            std::process::id()
        ));
        let _ = fs::remove_dir_all(&dir);
        let request_log = RequestLog::default();
        let listens: Vec<SocketAddr> = (0..plan.gateways).map(|_| own_address()).collect();
        let on = |at: SocketAddr, nth: u16| SocketAddr::new(at.ip(), at.port() + nth);
        let gates = (0..plan.gateways).map(|g| {
            let dir = dir.join(name(g));
            fs::create_dir_all(&dir).expect("a folder");
            let engines: Vec<SocketAddr> = (0..2).map(|e| engine_for(&request_log, g, e, plan.takes_ms)).collect();
            let listed = [("e1", engines[0]), ("e2", engines[1])];
            let class = |name: &str, semantics: &str| {
                json!({"name": name, "slo_ns": 1e9, "give_up_ns": 5e9, "semantics": semantics, "worth": 1.0})
            };
            let classes = json!([class(CLASSES[0], "pure"), class(CLASSES[1], "side_effect")]);
            let (mut config, _) = stub::config(plan.gateways as u32, classes, &listed);
            config["name"] = json!(name(g));
            config["listen"] = json!(listens[g].to_string());
            config["seed"] = json!(format!("{:016x}", 0x9e37_79b9_7f4a_7c15u64.wrapping_mul(g as u64 + 1)));
            // Two zones: which policy a gateway goes by is seen from where it sends.
            config["settings"]["dcs"] = json!(["a", "b"]);
            config["known"]["notices"][0]["pool"]["instances"][1]["zone"] = json!("b");
            let others = (0..VOTERS).filter(|k| *k != g);
            let links: BTreeMap<usize, Link> = others.map(|k| (k, Link::to(on(listens[k], 2)))).collect();
            let reached = |k: usize| links.get(&k).map_or(on(listens[k], 2), |l| l.at).to_string();
            let voters: BTreeMap<String, String> = (0..VOTERS).map(|k| (name(k), reached(k))).collect();
            let mut fleet = json!({"name": test, "listen": on(listens[g], 2).to_string(), "keepers": voters,
                "lease_ms": plan.lease_ms});
            if g < VOTERS {
                fleet["state"] = json!(dir.join("state"));
            }
            if plan.steady.contains(&g) {
                fleet["cut_off"] = json!("steady");
            }
            let management = on(listens[g], 1);
            let mut operator = json!({"management": {"listen": management.to_string()}, "fleet": fleet});
            if let Some(edit) = plan.edit {
                edit(g, &mut config, &mut operator);
            }
            fs::write(dir.join("told.json"), config.to_string()).expect("a file");
            fs::write(dir.join("operator.json"), operator.to_string()).expect("a file");
            let of_it = |w: &&(Option<usize>, &'static str)| w.0.is_none_or(|of| of == g);
            let without = plan.without.iter().filter(of_it).map(|w| w.1).collect();
            Gate { process: None, stopped: false, dir, at: listens[g], management, without, links }
        });
        let gates = gates.collect();
        Cluster {
            request_log,
            dir,
            gates,
            loads: Vec::new(),
            rounds: 0,
        }
    }

    pub fn start(&mut self, g: usize) {
        let gate = &mut self.gates[g];
        let log = File::options()
            .create(true)
            .append(true)
            .open(gate.dir.join("log"))
            .expect("a log");
        let mut serve = Command::new(binary());
        serve
            .arg("serve")
            .arg(gate.dir.join("told.json"))
            .arg("--operator")
            .arg(gate.dir.join("operator.json"));
        if !gate.without.is_empty() {
            serve.env("IRONSTAIR_DISABLED_GUARDS", gate.without.join(","));
        }
        serve
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log);
        gate.process = Some(serve.spawn().expect("a process"));
    }

    /// Begins the history, and waits until every gateway holds it.
    pub fn begin(&self) {
        self.begin_alone();
        (0..self.gates.len()).for_each(|g| self.until_fit(g));
    }

    /// Begins the history; every voter has a vote.
    pub fn begin_alone(&self) {
        until("the history begins", || {
            let said = self.command(0, &["fleet"], &["begin"]);
            said.code == 0 || said.err.contains("the fleet is bootstrapped already")
        });
        until("every keeper votes", || {
            self.shown(0)["keepers"]
                .as_array()
                .is_some_and(|k| k.len() == VOTERS)
        });
    }

    /// How many gateways there are.
    pub fn size(&self) -> usize {
        self.gates.len()
    }

    pub fn listens(&self, g: usize) -> bool {
        TcpStream::connect(self.gates[g].at).is_ok()
    }

    pub fn until_fit(&self, g: usize) {
        until(&format!("{} is fit", name(g)), || self.fit(g));
    }

    /// Whether `check` says fit.
    pub fn fit(&self, g: usize) -> bool {
        let Ok(stream) = TcpStream::connect(self.gates[g].at) else {
            return false;
        };
        if stream
            .set_read_timeout(Some(Duration::from_secs(5)))
            .is_err()
        {
            return false;
        }
        let mut client = Client(std::io::BufReader::new(stream));
        client.try_say(r#"{"jsonrpc":"2.0","id":1,"method":"check","params":{}}"#)
            && client
                .try_hear()
                .is_some_and(|config| config["result"]["fit"] == json!(true))
    }

    fn command(&self, g: usize, before: &[&str], after: &[&str]) -> Said {
        let mut command = Command::new(binary());
        command
            .args(before)
            .arg("--at")
            .arg(self.gates[g].management.to_string())
            .args(after);
        run(&mut command)
    }

    /// The command line's own client, at that gateway.
    pub fn cli(&self, g: usize, args: &[&str]) -> Said {
        self.command(g, args, &[])
    }

    /// The same beside what goes on. One that was made upon what runs no more, since the gateway asked had not caught
    /// up yet, is asked for again, as its operator would.
    pub fn cli_meanwhile(&self, g: usize, args: &[&str]) -> JoinHandle<Said> {
        let (at, args) = (
            self.gates[g].management.to_string(),
            args.iter().map(|a| a.to_string()),
        );
        let args: Vec<String> = args.collect();
        thread::spawn(move || {
            let late = Instant::now() + WITHIN;
            loop {
                let said = run(Command::new(binary()).args(&args).arg("--at").arg(&at));
                let stale = ["runs by now", "is not known here yet"]
                    .iter()
                    .any(|w| said.err.contains(w));
                if !stale || Instant::now() > late {
                    return said;
                }
                thread::sleep(Duration::from_millis(50));
            }
        })
    }

    /// To its end, likewise.
    pub fn set(&self, g: usize, args: &[&str]) -> Said {
        let args = [&["set"], args, &["--fleet"]].concat();
        self.cli_meanwhile(g, &args).join().expect("a command")
    }

    /// What the leader knows, asked at that gateway; null where no leader answers.
    pub fn shown(&self, g: usize) -> Value {
        let said = self.cli(g, &["fleet", "--json"]);
        serde_json::from_str(&said.out).unwrap_or_default()
    }

    /// The number of the voter that is the leader.
    pub fn leader(&self) -> usize {
        let mut found = None;
        until("a chair", || {
            let leader = (0..VOTERS)
                .filter(|g| self.runs(*g))
                .find_map(|g| self.shown(g)["chair"].as_str().map(String::from));
            found = leader.and_then(|c| (0..VOTERS).find(|k| name(*k) == c));
            found.is_some()
        });
        found.unwrap_or(0)
    }

    fn runs(&self, g: usize) -> bool {
        self.gates[g].process.is_some() && !self.gates[g].stopped
    }

    /// The revision that a gateway holds, where it is fit.
    pub fn revision(&self, g: usize) -> Option<u64> {
        let said = self.cli(g, &["get", "/state/fleet/revision", "--json"]);
        let config: Value = serde_json::from_str(&said.out).ok()?;
        config[0]["value"].as_str()?.parse().ok()
    }

    /// What a gateway is set to, as JSON.
    pub fn setting(&self, g: usize, path: &str) -> Value {
        let said = self.cli(g, &["get", path, "--json"]);
        let config: Value = serde_json::from_str(&said.out).unwrap_or_default();
        config[0]["value"].clone()
    }

    /// Has the fleet bar the engine of zone b to the class, asked at that gateway: from the answer on, nobody that
    /// decides may send it there.
    pub fn bar_meanwhile(&self, g: usize, class: &'static str) -> JoinHandle<Said> {
        let path = format!("/settings/band[name={class}]/zone");
        let requested = self.cli_meanwhile(g, &["set", &path, r#"["a"]"#, "--fleet"]);
        let request_log = self.request_log.clone();
        thread::spawn(move || {
            let said = requested.join().expect("a command");
            if said.code == 0 {
                request_log.note(Seen::Barred { engine: 1, class });
            }
            said
        })
    }

    pub fn bar(&self, g: usize, class: &'static str) -> Said {
        self.bar_meanwhile(g, class).join().expect("a command")
    }

    /// Takes that back.
    pub fn free_meanwhile(&self, g: usize, class: &'static str) -> JoinHandle<Said> {
        let path = format!("/settings/band[name={class}]/zone");
        // From when it is asked for: any gateway may hold it before the last has answered.
        self.request_log.note(Seen::Free { engine: 1, class });
        self.cli_meanwhile(g, &["set", &path, "--delete", "--fleet"])
    }

    /// SIGKILL.
    pub fn kill(&mut self, g: usize) {
        if let Some(mut process) = self.gates[g].process.take() {
            self.request_log.note(Seen::Killed { gateway: g });
            let _ = process.kill();
            let _ = process.wait();
        }
        self.gates[g].stopped = false;
    }

    pub fn signal(&mut self, g: usize, signal: &str) {
        if let Some(process) = &self.gates[g].process {
            let sent = Command::new("kill")
                .args([signal, &process.id().to_string()])
                .status();
            assert!(sent.is_ok_and(|s| s.success()), "{signal} to {}", name(g));
        }
    }

    /// SIGSTOP.
    pub fn stop(&mut self, g: usize) {
        self.signal(g, "-STOP");
        self.gates[g].stopped = true;
    }

    /// SIGCONT.
    pub fn go_on(&mut self, g: usize) {
        self.signal(g, "-CONT");
        self.gates[g].stopped = false;
    }

    /// SIGTERM, to its end.
    pub fn end(&mut self, g: usize) {
        self.signal(g, "-TERM");
        if let Some(mut process) = self.gates[g].process.take() {
            let _ = process.wait();
        }
    }

    fn state(&self, g: usize) -> PathBuf {
        self.gates[g].dir.join("state")
    }

    /// A voter's disk is lost; its process must not run.
    pub fn wipe(&self, g: usize) {
        let _ = fs::remove_dir_all(self.state(g));
    }

    /// A copy of a voter's disk, to be put back later.
    pub fn copy(&self, g: usize) -> PathBuf {
        let to = self.gates[g].dir.join("copy");
        copy_files(&self.state(g), &to);
        to
    }

    pub fn put_back(&self, g: usize, copy: &Path) {
        self.wipe(g);
        copy_files(copy, &self.state(g));
    }

    pub fn state_folder(&self, g: usize) -> PathBuf {
        self.state(g)
    }

    /// Both ways between two, each to the other.
    pub fn links(&self, a: usize, b: usize) -> impl Iterator<Item = (bool, &Link)> {
        let one = self.gates[a].links.get(&b).map(|l| (true, l));
        let other = self.gates[b].links.get(&a).map(|l| (false, l));
        one.into_iter().chain(other)
    }

    /// Cuts a gateway off from all others: what it sends, what is sent to it, or both.
    pub fn cut_off(&self, g: usize, sends: bool, hears: bool) {
        for other in (0..self.gates.len()).filter(|o| *o != g) {
            for (own, link) in self.links(g, other) {
                // Who opens a connection sends there and hears back.
                let (out, back) = if own {
                    (Way::There, Way::Back)
                } else {
                    (Way::Back, Way::There)
                };
                if sends {
                    link.cut(out);
                }
                if hears {
                    link.cut(back);
                }
            }
        }
    }

    /// All that a gateway says to others and hears from them comes so late.
    pub fn slow(&self, g: usize, ms: u64) {
        for other in (0..self.gates.len()).filter(|o| *o != g) {
            self.links(g, other)
                .for_each(|(_, l)| l.delay(Way::Both, ms));
        }
    }

    pub fn heal(&self) {
        self.gates
            .iter()
            .flat_map(|g| g.links.values())
            .for_each(Link::heal);
    }

    /// Of a gateway's process; 0 where there is none.
    pub fn pid(&self, g: usize) -> u32 {
        self.gates[g].process.as_ref().map_or(0, Child::id)
    }

    /// Bytes over the links that a gateway opened, there and back.
    pub fn passed(&self, g: usize) -> u64 {
        self.gates[g]
            .links
            .values()
            .map(|l| l.passed())
            .map(|(there, back)| there + back)
            .sum()
    }

    /// What a gateway wrote to its log.
    pub fn log(&self, g: usize) -> String {
        fs::read_to_string(self.gates[g].dir.join("log")).unwrap_or_default()
    }

    /// A client of each gateway, asking all the time.
    pub fn load(&mut self) {
        // Ids of an earlier load are not used again.
        let first = ROUND * self.rounds;
        self.rounds += 1;
        for g in 0..self.gates.len() {
            let load = Load::of(self.gates[g].at, g, first, self.request_log.clone());
            self.loads.push(load);
        }
    }

    /// One gateway's client asks no more, and has all its answers.
    pub fn quiet(&mut self, g: usize) {
        until("it listens", || self.listens(g));
        self.loads[g].paused.store(true, Relaxed);
        let load = &self.loads[g];
        until("its client is quiet", || load.open.load(Relaxed) == 0);
    }

    pub fn loud(&mut self, g: usize) {
        self.loads[g].paused.store(false, Relaxed);
    }

    /// Its client asks on while it is stopped, until no more fits.
    pub fn queue_at(&mut self, g: usize) {
        self.loud(g);
        let load = &self.loads[g];
        until("its client waits", || load.open.load(Relaxed) == OPEN);
    }

    /// So many more answers of that kind, from now on.
    pub fn until_answers(&self, what: What, more: usize) {
        let had = self.request_log.answers().get(&what).copied().unwrap_or(0);
        until(&format!("{more} more {what:?}"), || {
            self.request_log.answers().get(&what).copied().unwrap_or(0) >= had + more
        });
    }

    /// The same of one gateway's client.
    pub fn until_answers_of(&self, g: usize, what: What, more: usize) {
        let had = self.request_log.answers_of(g, what);
        until(&format!("{more} more {what:?} of {}", name(g)), || {
            self.request_log.answers_of(g, what) >= had + more
        });
    }

    /// A gateway's operator's file, changed before it is started.
    pub fn reoperate(&self, g: usize, edit: impl FnOnce(&mut Value)) {
        rewrite(&self.gates[g].dir.join("operator.json"), edit);
    }

    /// What a gateway is told, changed on disk; SIGHUP has it read.
    pub fn retell(&mut self, g: usize, edit: impl FnOnce(&mut Value)) {
        rewrite(&self.gates[g].dir.join("told.json"), edit);
        self.signal(g, "-HUP");
    }

    /// Clients ask no more, all is answered, and nothing is broken.
    pub fn over(&mut self) -> BTreeMap<What, usize> {
        let found = self.end_of_load();
        let config: Vec<String> = found.iter().take(8).map(Breach::to_string).collect();
        assert!(
            found.is_empty(),
            "{} breaches: {}",
            found.len(),
            config.join("; ")
        );
        self.request_log.answers()
    }

    /// The same, with what is broken.
    pub fn end_of_load(&mut self) -> Vec<Breach> {
        self.loads.iter().for_each(|l| l.over.store(true, Relaxed));
        for load in self.loads.drain(..) {
            let _ = load.thread.join();
        }
        breaches(&self.request_log.lines(), &ONCE)
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.loads.iter().for_each(|l| l.over.store(true, Relaxed));
        (0..self.gates.len()).for_each(|g| self.kill(g));
        if thread::panicking() {
            for g in 0..self.gates.len() {
                let log = self.log(g);
                let of_fleet = |l: &&str| !l.contains("name service");
                let last: Vec<&str> = log.lines().rev().filter(of_fleet).take(25).collect();
                eprintln!("-- {}", name(g));
                last.iter().rev().for_each(|l| eprintln!("{l}"));
            }
        }
        let _ = fs::remove_dir_all(&self.dir);
    }
}

fn run(command: &mut Command) -> Said {
    let out = command.output().expect("a command");
    let text = |bytes: Vec<u8>| String::from_utf8_lossy(&bytes).into_owned();
    Said {
        code: out.status.code().unwrap_or(-1),
        out: text(out.stdout),
        err: text(out.stderr),
    }
}

fn rewrite(path: &Path, edit: impl FnOnce(&mut Value)) {
    let mut file = serde_json::from_slice(&fs::read(path).expect("a file")).expect("JSON");
    edit(&mut file);
    fs::write(path, file.to_string()).expect("a file");
}

fn copy_files(from: &Path, to: &Path) {
    let _ = fs::create_dir_all(to);
    for entry in fs::read_dir(from).into_iter().flatten().flatten() {
        fs::copy(entry.path(), to.join(entry.file_name())).expect("a copy");
    }
}

/// One engine as one gateway reaches it.
fn engine_for(request_log: &RequestLog, gateway: usize, nth: usize, takes_ms: u64) -> SocketAddr {
    let request_log = request_log.clone();
    let (at, _) = engine(move |line, _| {
        if !line.starts_with("fetch") {
            return (Vec::new(), false);
        }
        let class = line
            .split("c=")
            .nth(1)
            .and_then(|r| r.split([',', ' ']).next())
            .unwrap_or_default();
        let id = stub::id(line).to_string();
        request_log.note(Seen::Attempt {
            gateway,
            engine: nth,
            id,
            class: class.to_string(),
        });
        thread::sleep(Duration::from_millis(takes_ms));
        (done(line, "a\tb\tc\n"), false)
    });
    at
}

/// Calls that one client keeps open.
const OPEN: usize = 4;
const TABLES: u64 = 16;
/// Connections of one client in one load, at most.
const ROUND: usize = 10_000;
/// Between two calls: a steady load, far below what a gateway bears.
const EVERY: Duration = Duration::from_millis(10);

struct Load {
    over: Arc<AtomicBool>,
    paused: Arc<AtomicBool>,
    open: Arc<AtomicUsize>,
    thread: JoinHandle<()>,
}

impl Load {
    fn of(at: SocketAddr, client: usize, first: usize, request_log: RequestLog) -> Load {
        let (over, paused, open): (Arc<AtomicBool>, Arc<AtomicBool>, Arc<AtomicUsize>) =
            Default::default();
        let (o, p, n) = (over.clone(), paused.clone(), open.clone());
        let thread = thread::spawn(move || {
            for connection in first.. {
                if o.load(Relaxed) {
                    return;
                }
                let Ok(stream) = TcpStream::connect(at) else {
                    thread::sleep(EVERY);
                    continue;
                };
                ask(stream, client, connection, &request_log, &o, &p, &n);
                n.store(0, Relaxed);
                request_log.note(Seen::Closed { client, connection });
            }
        });
        Load {
            over,
            paused,
            open,
            thread,
        }
    }
}

/// On one connection, to its end or until all is over and answered.
fn ask(
    stream: TcpStream,
    client: usize,
    connection: usize,
    request_log: &RequestLog,
    over: &AtomicBool,
    paused: &AtomicBool,
    open: &AtomicUsize,
) {
    // A gateway that is stopped answers nothing, and owes its answers when it goes on.
    let _ = stream.set_read_timeout(Some(WITHIN));
    let mut c = Client(std::io::BufReader::new(stream));
    let mut requested = 0u64;
    loop {
        let ends = over.load(Relaxed);
        if !ends && !paused.load(Relaxed) && open.load(Relaxed) < OPEN {
            requested += 1;
            let class = CLASSES[requested as usize % 2];
            // Ids differ among clients and connections.
            let call = (client as u64 + 1) << 48 | (connection as u64) << 32 | requested;
            open.fetch_add(1, Relaxed);
            request_log.note(Seen::Requested {
                client,
                connection,
                call,
                class,
            });
            // Of many table groups: each engine is the home of some.
            if !c.try_ask_of(
                class,
                call,
                &format!("select a from s_{}.t", requested / 2 % TABLES),
            ) {
                return;
            }
            thread::sleep(EVERY);
            if open.load(Relaxed) < OPEN {
                continue;
            }
        }
        if open.load(Relaxed) == 0 {
            if ends {
                return;
            }
            thread::sleep(EVERY);
            continue;
        }
        let Some(config) = c.try_hear() else { return };
        let what = match config["error"]["code"].as_i64() {
            None => What::Settled,
            Some(code) if code == stub::REJECTED => What::Rejected,
            Some(code) if code == stub::FAILED => What::Failed,
            Some(_) => What::Refused,
        };
        let call = config["id"].as_u64().unwrap_or(0);
        request_log.note(Seen::Answered {
            client,
            connection,
            call,
            what,
        });
        open.fetch_sub(1, Relaxed);
    }
}

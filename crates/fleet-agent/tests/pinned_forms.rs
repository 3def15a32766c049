//! Pins what gateways of one fleet send to each other, as protobuf bytes in hex with the JSON body in plain text, and
//! the JSON of a fleet's status that an operator is shown. Each sample request is sent by its full method path to the
//! running listener, which must read the value here from it and answer with the sample's bytes. The bytes of the
//! agreement library themselves are pinned by the voter's package.

use ironstair_coordination::leader::Command;
use ironstair_coordination::record::ChangeProposal;
use ironstair_coordination::{Heartbeat, HeartbeatResponse, Share, Validation};
use ironstair_fleet_agent::actor::{AgentMessage, CommandResponse, FleetCommand, Hint};
use ironstair_fleet_agent::proto::Word;
use ironstair_fleet_agent::server::{bind, serve, Own};
use ironstair_fleet_agent::status;
use ironstair_raft_replica::{Output, Replica, TICK};
use prost::Message;
use serde_json::{json, Value as Json};
use slog::{o, Discard, Logger};
use std::path::Path;
use tokio::sync::mpsc;

fn sample(file: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/pinned")
        .join(file);
    std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    let pairs = (0..hex.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&hex[at..at + 2], 16));
    pairs.collect::<Result<_, _>>().expect("hex digits")
}

fn log() -> Logger {
    Logger::root(Discard, o!())
}

/// The settings that a fleet agrees on.
fn document(expected: u32) -> Json {
    json!({
        "band": [{"name": "short", "expected": expected, "hard-limit": 1000, "payoff": "1.0", "repeat": "repeatable"}],
        "gateways": 2,
        "forwards-most": 2,
        "cold": {"from": "0.5", "warm-after": 100, "multiple": "2.0", "span": 1000},
    })
}

fn heartbeat() -> Heartbeat {
    Heartbeat {
        name: "g1".into(),
        start: 11,
        sent: 1000.25,
        generation: 1 << 48 | 7,
        applied_index: 9,
        last_answered: 900.0,
        steady: false,
        validated: Some(Validation::rejected(5, "no such engine")),
        leaving: false,
        exclusive_resource: "boot net addr".into(),
        takes_share: true,
    }
}

fn answer() -> HeartbeatResponse<Json> {
    HeartbeatResponse {
        start: 11,
        sent: 1000.25,
        generation: 1 << 48 | 7,
        policy_index: 9,
        apply: Some((4, document(50))),
        validate: None,
        lease: Some(5000.0),
        reason: None,
        heartbeat_soon: true,
        share: Some(Share {
            among: 2.5,
            taken: true,
        }),
    }
}

fn wish(base_revision: u64, commit: Option<(String, f64)>) -> ChangeProposal<Json> {
    let (who, what) = ("operator".into(), "a new limit".into());
    ChangeProposal {
        token: 42,
        author: who,
        created_at: 1_700_000_000_000.5,
        summary: what,
        base_revision,
        document: document(60),
        commit,
    }
}

/// What the listener is to hand to its owner, and what it is told in return.
enum Case {
    Heartbeat(Heartbeat, Result<HeartbeatResponse<Json>, Hint>),
    Agree(Vec<u8>),
    Join(u64, u64),
    Command(FleetCommand, CommandResponse),
}

impl Case {
    fn method(&self) -> &'static str {
        match self {
            Case::Heartbeat(..) => "Beat",
            Case::Agree(..) => "Agree",
            Case::Join(..) => "Knock",
            Case::Command(..) => "Ask",
        }
    }

    /// As the gateway that asks writes it.
    fn request_body(&self) -> Vec<u8> {
        match self {
            Case::Heartbeat(heartbeat, _) => serde_json::to_vec(heartbeat).unwrap(),
            Case::Agree(bytes) => bytes.clone(),
            Case::Join(number, _) => number.to_string().into_bytes(),
            Case::Command(asked, _) => serde_json::to_vec(asked).unwrap(),
        }
    }

    /// Looks over what the listener read, and answers it.
    fn take(self, mail: AgentMessage) {
        let text = |asked: &FleetCommand| format!("{asked:?}");
        match (self, mail) {
            (Case::Heartbeat(want, answer), AgentMessage::Heartbeat(heartbeat, to)) => {
                assert_eq!(heartbeat, want);
                to.send(answer).unwrap();
            }
            (Case::Agree(want), AgentMessage::Agree(from, bytes)) => {
                assert_eq!((from.as_str(), bytes), ("g1", want));
            }
            (Case::Join(want, generation), AgentMessage::Join(name, number, to)) => {
                assert_eq!((name.as_str(), number), ("g1", want));
                to.send(generation).unwrap();
            }
            (Case::Command(want, told), AgentMessage::Command(asked, to)) => {
                assert_eq!(text(&asked), text(&want));
                to.send(told).unwrap();
            }
            (case, _) => panic!("{} was handed on as something else", case.method()),
        }
    }
}

/// Every message, with every variant of what it holds.
fn cases() -> Vec<(&'static str, Case)> {
    let hint = |leader: Option<&str>| Hint {
        leader: leader.map(String::from),
    };
    let ask = FleetCommand::Command;
    let id = || "trial-1".to_string();
    let who = || "operator".to_string();
    let change = || ask(Command::Change(wish(3, Some((id(), 60_000.0)))));
    vec![
        (
            "heartbeat answered",
            Case::Heartbeat(heartbeat(), Ok(answer())),
        ),
        (
            "heartbeat to a keeper that is not the chair",
            Case::Heartbeat(heartbeat(), Err(hint(Some("g3")))),
        ),
        (
            "heartbeat where no chair is known",
            Case::Heartbeat(heartbeat(), Err(hint(None))),
        ),
        ("agreement bytes", Case::Agree(vec![0, 1, 127, 128, 255])),
        ("join", Case::Join(22, 1 << 48 | 7)),
        ("question for the history alone", Case::Join(0, 0)),
        (
            "change done",
            Case::Command(change(), CommandResponse::Done(5)),
        ),
        (
            "change refused",
            Case::Command(change(), CommandResponse::Refused("no such engine".into())),
        ),
        (
            "confirmation",
            Case::Command(ask(Command::Confirm { id: id() }), CommandResponse::Done(5)),
        ),
        (
            "cancellation by id",
            Case::Command(
                ask(Command::Cancel {
                    id: Some(id()),
                    author: who(),
                }),
                CommandResponse::Done(5),
            ),
        ),
        (
            "cancellation, to another keeper",
            Case::Command(
                ask(Command::Cancel {
                    id: None,
                    author: who(),
                }),
                CommandResponse::Elsewhere(hint(Some("g3"))),
            ),
        ),
        (
            "status",
            Case::Command(
                FleetCommand::Show,
                CommandResponse::Shown(json!({"chair": "g2"})),
            ),
        ),
    ]
}

/// A call by its path, with the message's bytes on both sides.
async fn call(at: std::net::SocketAddr, method: &str, word: Word) -> Result<Word, tonic::Status> {
    let endpoint = tonic::transport::Endpoint::from_shared(format!("http://{at}")).unwrap();
    let mut client = tonic::client::Grpc::new(endpoint.connect().await.unwrap());
    client.ready().await.unwrap();
    let path = format!("/ironstair.fleet.Fleet/{method}").parse().unwrap();
    let codec = tonic_prost::ProstCodec::<Word, Word>::default();
    client
        .unary(tonic::Request::new(word), path, codec)
        .await
        .map(tonic::Response::into_inner)
}

/// Five lines a message: its name and method, the request's bytes and the answer's, each with its body as text.
fn shown_words(name: &str, method: &str, words: [&Word; 2]) -> String {
    let one = |word: &Word| {
        let body = String::from_utf8(word.body.clone()).unwrap_or_else(|_| "not a text".into());
        format!("{}\n{body}\n", hex(&word.encode_to_vec()))
    };
    format!("# {name}: {method}\n{}{}", one(words[0]), one(words[1]))
}

async fn listener(mail: mpsc::Sender<AgentMessage>) -> std::net::SocketAddr {
    let bound = bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let at = bound.local_addr().unwrap();
    let own = Own {
        fleet: "north".into(),
        name: "g2".into(),
        start: 12,
    };
    tokio::spawn(serve(bound, own, mail, log()));
    at
}

fn block_on<T>(task: impl std::future::Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap()
        .block_on(task)
}

#[test]
fn every_message_is_read_and_answered_as_in_its_sample() {
    let words = block_on(async {
        let (mail, mut inbox) = mpsc::channel(1);
        let at = listener(mail).await;
        let asker = Own {
            fleet: "north".into(),
            name: "g1".into(),
            start: 11,
        };
        let mut all = String::new();
        let recorded = sample("messages.txt");
        let mut lines = recorded.lines();
        for (name, case) in cases() {
            let method = case.method();
            let request = asker.word(case.request_body());
            // The sample's bytes are what is sent, not those of today.
            let (head, line) = (lines.next(), lines.next().unwrap_or_default());
            let sent = Word::decode(&bytes(line)[..]).unwrap_or_else(|e| panic!("{head:?}: {e}"));
            assert_eq!(sent, request, "{name}");
            let (answer, ()) = tokio::join!(call(at, method, sent.clone()), async {
                case.take(inbox.recv().await.unwrap());
            });
            all += &shown_words(name, method, [&sent, &answer.unwrap()]);
            lines.by_ref().take(3).for_each(drop);
        }
        all
    });
    let text = sample("messages.txt");
    for (number, (line, want)) in words.lines().zip(text.lines()).enumerate() {
        assert_eq!(line, want, "messages.txt, line {}", number + 1);
    }
    assert_eq!(words, text);
}

#[test]
fn every_sample_message_is_decoded_and_its_json_read_as_its_type() {
    fn again<T: serde::Serialize + serde::de::DeserializeOwned>(body: &[u8]) -> Vec<u8> {
        serde_json::to_vec(&serde_json::from_slice::<T>(body).unwrap()).unwrap()
    }
    let text = sample("messages.txt");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 5 * cases().len());
    for message in lines.chunks(5) {
        let (at, method) = (message[0], message[0].rsplit(' ').next().unwrap());
        let [request, answer] = [1, 3].map(|line| {
            let word = Word::decode(&bytes(message[line])[..]).unwrap();
            assert_eq!(hex(&word.encode_to_vec()), message[line], "{at}");
            word.body
        });
        let (request_again, answer_again) = match method {
            "Beat" => (
                again::<Heartbeat>(&request),
                again::<Result<HeartbeatResponse<Json>, Hint>>(&answer),
            ),
            "Agree" => (request.clone(), Vec::new()),
            "Knock" => (again::<u64>(&request), again::<u64>(&answer)),
            "Ask" => (
                again::<FleetCommand>(&request),
                again::<CommandResponse>(&answer),
            ),
            _ => panic!("{at}"),
        };
        assert_eq!((request_again, answer_again), (request, answer), "{at}");
    }
}

#[test]
fn a_message_of_another_form_or_fleet_is_refused_with_the_same_status() {
    let refused = block_on(async {
        let (mail, _inbox) = mpsc::channel(1);
        let at = listener(mail).await;
        let word = Own {
            fleet: "north".into(),
            name: "g1".into(),
            start: 11,
        }
        .word(b"0".to_vec());
        let own_name = Word {
            from: "g2".into(),
            ..word.clone()
        };
        let words = [
            Word {
                form: 2,
                ..word.clone()
            },
            Word {
                fleet: "south".into(),
                ..word.clone()
            },
            own_name,
        ];
        let mut all = Vec::new();
        for word in words {
            let status = call(at, "Knock", word).await.unwrap_err();
            all.push((status.code(), status.message().to_string()));
        }
        all
    });
    let wanted = [
        "g1 speaks form 2, g2 here knows 1",
        r#"g1 is of fleet "south", g2 here of "north""#,
        "another process is called g2 too",
    ];
    let wanted = wanted.map(|why| (tonic::Code::FailedPrecondition, why.to_string()));
    assert_eq!(refused, wanted);
}

const LEASE: f64 = 1000.0;

/// A voter alone, which hears two members.
struct Alone {
    replica: Replica<Json>,
    now: f64,
}

impl Alone {
    fn carry(&mut self, mut outs: Vec<Output<Json>>) {
        while outs.iter().any(|o| matches!(o, Output::Save(_))) {
            outs = self.replica.save_completed(self.now);
        }
    }

    fn go_on(&mut self, ticks: usize, validated: &Result<(), String>) {
        for _ in 0..ticks {
            self.now += TICK;
            let outs = self.replica.tick(self.now);
            self.carry(outs);
            for (name, start, steady) in [("g1", 11, true), ("g2", 12, false)] {
                let fleet = &self.replica.state().fleet;
                let heartbeat = Heartbeat {
                    name: name.into(),
                    start,
                    sent: self.now,
                    last_answered: self.now - TICK,
                    generation: fleet.generation,
                    applied_index: fleet.policy_index,
                    steady,
                    validated: fleet
                        .change
                        .as_ref()
                        .map(|c| (c.number, validated.clone()).into()),
                    leaving: false,
                    exclusive_resource: String::new(),
                    takes_share: true,
                };
                let outs = self.replica.heartbeat(self.now, start, heartbeat);
                self.carry(outs);
            }
        }
    }

    fn ask(&mut self, ask: Command<Json>) {
        let outs = self.replica.submit(self.now, ask).unwrap();
        self.carry(outs);
    }

    fn shown(&self) -> String {
        let leader = self.replica.leader().unwrap();
        serde_json::to_string(&status::fleet(self.now + 20.0, "a", &self.replica, leader)).unwrap()
            + "\n"
    }
}

#[test]
fn the_status_of_a_fleet_is_shown_as_in_its_sample() {
    let image = Replica::bootstrap_image("a", 1, 1 << 48 | 7, document(50), None).unwrap();
    let replica = Replica::open("a", 0, LEASE, &image, 0.0, &log()).unwrap();
    let mut alone = Alone { replica, now: 0.0 };
    let fits = Ok(());
    // Begun; staged; waiting to be confirmed; rolled back; refused by a member; with a voter that is to join.
    alone.go_on(60, &fits);
    let mut all = alone.shown();
    let policy_index = |alone: &Alone| alone.replica.state().fleet.policy_index;
    let ask = Command::Change(wish(
        policy_index(&alone),
        Some(("trial-1".into(), 60_000.0)),
    ));
    alone.ask(ask);
    all += &alone.shown();
    alone.go_on(10, &fits);
    all += &alone.shown();
    alone.ask(Command::Cancel {
        id: Some("trial-1".into()),
        author: "operator".into(),
    });
    alone.go_on(10, &fits);
    all += &alone.shown();
    let ask = Command::Change(wish(policy_index(&alone), None));
    alone.ask(ask);
    alone.go_on(10, &Err("no such engine".into()));
    alone.replica.handle_join_request("b".into(), 22);
    alone.go_on(2, &fits);
    all += &alone.shown();
    let text = sample("status.jsonl");
    for (number, (line, want)) in all.lines().zip(text.lines()).enumerate() {
        assert_eq!(line, want, "status.jsonl, line {}", number + 1);
    }
    assert_eq!(all, text);
    // What an operator's side reads of it, as the answer that it comes in.
    for line in text.lines() {
        let told: CommandResponse =
            serde_json::from_str(&format!(r#"{{"shown":{line}}}"#)).unwrap();
        let CommandResponse::Shown(read) = told else {
            panic!("{line}")
        };
        assert_eq!(read.to_string(), line);
    }
}

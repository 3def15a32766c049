//! The messages between gateways of one fleet.

use crate::cases::cases;
use crate::{log, sample};
use ironstair_coordination::Heartbeat;
use ironstair_fleet_agent::envelope::Identity;
use ironstair_fleet_agent::message::{CommandResponse, FleetCommand, HeartbeatReply};
use ironstair_fleet_agent::proto::Envelope;
use ironstair_fleet_agent::server::{bind, serve};
use ironstair_fleet_agent::AgentHandle;
use prost::Message;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    let pairs = (0..hex.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&hex[at..at + 2], 16));
    pairs.collect::<Result<_, _>>().expect("hex digits")
}

/// A call by its path, with the message's bytes on both sides.
async fn call(
    at: std::net::SocketAddr,
    method: &str,
    envelope: Envelope,
) -> Result<Envelope, tonic::Status> {
    let endpoint = tonic::transport::Endpoint::from_shared(format!("http://{at}")).unwrap();
    let mut client = tonic::client::Grpc::new(endpoint.connect().await.unwrap());
    client.ready().await.unwrap();
    let path = format!("/ironstair.fleet.Fleet/{method}").parse().unwrap();
    let codec = tonic_prost::ProstCodec::<Envelope, Envelope>::default();
    client
        .unary(tonic::Request::new(envelope), path, codec)
        .await
        .map(tonic::Response::into_inner)
}

/// Five lines a message: its name and method, the request's bytes and the answer's, each with its body as text.
fn shown_messages(name: &str, method: &str, messages: [&Envelope; 2]) -> String {
    let one = |envelope: &Envelope| {
        let body = String::from_utf8(envelope.body.clone()).unwrap_or_else(|_| "not a text".into());
        format!("{}\n{body}\n", hex(&envelope.encode_to_vec()))
    };
    format!(
        "# {name}: {method}\n{}{}",
        one(messages[0]),
        one(messages[1])
    )
}

async fn listener(agent: AgentHandle) -> std::net::SocketAddr {
    let bound = bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let at = bound.local_addr().unwrap();
    let own = Identity {
        fleet: "north".into(),
        name: "g2".into(),
        start: 12,
    };
    tokio::spawn(serve(bound, own, agent, log()));
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
    let messages = block_on(async {
        let (agent, mut mailbox) = AgentHandle::channel(1);
        let at = listener(agent).await;
        let asker = Identity {
            fleet: "north".into(),
            name: "g1".into(),
            start: 11,
        };
        let mut all = String::new();
        let recorded = sample("messages.txt");
        let mut lines = recorded.lines();
        for (name, case) in cases() {
            let method = case.method();
            let request = asker.envelope(case.request_body());
            // The test sends the bytes of the sample, not those that the current program encodes.
            let (head, line) = (lines.next(), lines.next().unwrap_or_default());
            let sent =
                Envelope::decode(&bytes(line)[..]).unwrap_or_else(|e| panic!("{head:?}: {e}"));
            assert_eq!(sent, request, "{name}");
            let (answer, ()) = tokio::join!(call(at, method, sent.clone()), async {
                case.take(mailbox.recv().await.unwrap());
            });
            all += &shown_messages(name, method, [&sent, &answer.unwrap()]);
            lines.by_ref().take(3).for_each(drop);
        }
        all
    });
    let text = sample("messages.txt");
    for (number, (line, want)) in messages.lines().zip(text.lines()).enumerate() {
        assert_eq!(line, want, "messages.txt, line {}", number + 1);
    }
    assert_eq!(messages, text);
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
            let envelope = Envelope::decode(&bytes(message[line])[..]).unwrap();
            assert_eq!(hex(&envelope.encode_to_vec()), message[line], "{at}");
            envelope.body
        });
        let (request_again, answer_again) = match method {
            "Beat" => (
                again::<Heartbeat>(&request),
                again::<HeartbeatReply>(&answer),
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
        let (agent, _mailbox) = AgentHandle::channel(1);
        let at = listener(agent).await;
        let envelope = Identity {
            fleet: "north".into(),
            name: "g1".into(),
            start: 11,
        }
        .envelope(b"0".to_vec());
        let own_name = Envelope {
            from: "g2".into(),
            ..envelope.clone()
        };
        let messages = [
            Envelope {
                format_version: 2,
                ..envelope.clone()
            },
            Envelope {
                fleet: "south".into(),
                ..envelope.clone()
            },
            own_name,
        ];
        let mut all = Vec::new();
        for envelope in messages {
            let status = call(at, "Knock", envelope).await.unwrap_err();
            all.push((status.code(), status.message().to_owned()));
        }
        all
    });
    let wanted = [
        "g1 sends message format 2, g2 supports only format 1",
        r#"g1 belongs to fleet "south", g2 to fleet "north""#,
        "another process is already using the gateway name g2",
    ];
    let wanted = wanted.map(|why| (tonic::Code::FailedPrecondition, why.to_owned()));
    assert_eq!(refused, wanted);
}

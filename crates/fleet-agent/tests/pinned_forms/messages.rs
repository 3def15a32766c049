//! The messages between gateways of one fleet.

use crate::cases::cases;
use crate::{log, read_sample};
use ironstair_coordination::Heartbeat;
use ironstair_fleet_agent::envelope::Identity;
use ironstair_fleet_agent::message::{CommandResponse, FleetCommand, HeartbeatReply};
use ironstair_fleet_agent::proto::Envelope;
use ironstair_fleet_agent::server::{bind, serve};
use ironstair_fleet_agent::AgentHandle;
use prost::Message;

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(hex: &str) -> Vec<u8> {
    let pairs = (0..hex.len())
        .step_by(2)
        .map(|start| u8::from_str_radix(&hex[start..start + 2], 16));
    pairs.collect::<Result<_, _>>().expect("hex digits")
}

/// Calls a method of the service by its path, without the generated client.
async fn call(
    address: std::net::SocketAddr,
    method: &str,
    envelope: Envelope,
) -> Result<Envelope, tonic::Status> {
    let endpoint = tonic::transport::Endpoint::from_shared(format!("http://{address}")).unwrap();
    let mut client = tonic::client::Grpc::new(endpoint.connect().await.unwrap());
    client.ready().await.unwrap();
    let path = format!("/ironstair.fleet.Fleet/{method}").parse().unwrap();
    let codec = tonic_prost::ProstCodec::<Envelope, Envelope>::default();
    client
        .unary(tonic::Request::new(envelope), path, codec)
        .await
        .map(tonic::Response::into_inner)
}

/// A case in the form of the samples, which is five lines: its name and method, then the bytes and the body of the
/// request, then those of the answer.
fn sample_lines(name: &str, method: &str, messages: [&Envelope; 2]) -> String {
    let message_lines = |envelope: &Envelope| {
        let body = String::from_utf8(envelope.body.clone()).unwrap_or_else(|_| "not a text".into());
        format!("{}\n{body}\n", to_hex(&envelope.encode_to_vec()))
    };
    format!(
        "# {name}: {method}\n{}{}",
        message_lines(messages[0]),
        message_lines(messages[1])
    )
}

/// Starts the listener of the gateway g2 of the fleet north, and returns its address.
async fn start_listener(agent: AgentHandle) -> std::net::SocketAddr {
    let bound = bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = bound.local_addr().unwrap();
    let identity = Identity {
        fleet: "north".into(),
        name: "g2".into(),
        start: 12,
    };
    tokio::spawn(serve(bound, identity, agent, log()));
    address
}

fn block_on<T>(task: impl std::future::Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap()
        .block_on(task)
}

#[test]
fn every_message_is_decoded_and_answered_as_in_its_sample() {
    let messages = block_on(async {
        let (agent, mut mailbox) = AgentHandle::channel(1);
        let address = start_listener(agent).await;
        let sender = Identity {
            fleet: "north".into(),
            name: "g1".into(),
            start: 11,
        };
        let mut messages = String::new();
        let recorded = read_sample("messages.txt");
        let mut lines = recorded.lines();
        for (name, case) in cases() {
            let method = case.method();
            let request = sender.envelope(case.request_body());
            // The test sends the bytes of the sample, not those that the current program encodes.
            let (title, line) = (lines.next(), lines.next().unwrap_or_default());
            let sent = Envelope::decode(&from_hex(line)[..])
                .unwrap_or_else(|error| panic!("{title:?}: {error}"));
            assert_eq!(sent, request, "{name}");
            let (answer, ()) = tokio::join!(call(address, method, sent.clone()), async {
                case.check_and_respond(mailbox.recv().await.unwrap());
            });
            messages += &sample_lines(name, method, [&sent, &answer.unwrap()]);
            lines.by_ref().take(3).for_each(drop);
        }
        messages
    });
    let expected = read_sample("messages.txt");
    for (index, (line, expected_line)) in messages.lines().zip(expected.lines()).enumerate() {
        assert_eq!(line, expected_line, "messages.txt, line {}", index + 1);
    }
    assert_eq!(messages, expected);
}

#[test]
fn every_sample_and_its_json_body_are_encoded_again_as_they_were_decoded() {
    fn reencoded<T: serde::Serialize + serde::de::DeserializeOwned>(body: &[u8]) -> Vec<u8> {
        serde_json::to_vec(&serde_json::from_slice::<T>(body).unwrap()).unwrap()
    }
    let text = read_sample("messages.txt");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 5 * cases().len());
    for message in lines.chunks(5) {
        let (title, method) = (message[0], message[0].rsplit(' ').next().unwrap());
        let [request, answer] = [1, 3].map(|line| {
            let envelope = Envelope::decode(&from_hex(message[line])[..]).unwrap();
            assert_eq!(to_hex(&envelope.encode_to_vec()), message[line], "{title}");
            envelope.body
        });
        let (reencoded_request, reencoded_answer) = match method {
            "Beat" => (
                reencoded::<Heartbeat>(&request),
                reencoded::<HeartbeatReply>(&answer),
            ),
            "Agree" => (request.clone(), Vec::new()),
            "Knock" => (reencoded::<u64>(&request), reencoded::<u64>(&answer)),
            "Ask" => (
                reencoded::<FleetCommand>(&request),
                reencoded::<CommandResponse>(&answer),
            ),
            _ => panic!("unknown method: {title}"),
        };
        assert_eq!(
            (reencoded_request, reencoded_answer),
            (request, answer),
            "{title}"
        );
    }
}

#[test]
fn message_of_another_format_or_fleet_or_under_the_receivers_name_is_rejected() {
    let rejections = block_on(async {
        let (agent, _mailbox) = AgentHandle::channel(1);
        let address = start_listener(agent).await;
        let envelope = Identity {
            fleet: "north".into(),
            name: "g1".into(),
            start: 11,
        }
        .envelope(b"0".to_vec());
        let with_receiver_name = Envelope {
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
            with_receiver_name,
        ];
        let mut rejections = Vec::new();
        for envelope in messages {
            let status = call(address, "Knock", envelope).await.unwrap_err();
            rejections.push((status.code(), status.message().to_owned()));
        }
        rejections
    });
    let expected = [
        "g1 sends message format 2, g2 supports only format 1",
        r#"g1 belongs to fleet "south", g2 to fleet "north""#,
        "another process is already using the gateway name g2",
    ];
    let expected = expected.map(|reason| (tonic::Code::FailedPrecondition, reason.to_owned()));
    assert_eq!(rejections, expected);
}

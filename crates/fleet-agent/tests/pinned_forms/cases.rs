//! One case for each message between gateways and each variant of its content.

use crate::{document, proposal};
use ironstair_coordination::leader::Command;
use ironstair_coordination::{Heartbeat, HeartbeatResponse, Share, Validation};
use ironstair_fleet_agent::message::{
    AgentMessage, CommandResponse, FleetCommand, HeartbeatReply, LeaderHint,
};
use serde_json::{json, Value as Json};

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
        uses_share: true,
    }
}

fn heartbeat_response() -> HeartbeatResponse<Json> {
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
            gateway_count: 2.5,
            is_granted: true,
        }),
    }
}

/// A message that the listener must pass to the actor, and the actor's response to it.
pub(crate) enum Case {
    Heartbeat(Heartbeat, HeartbeatReply),
    RaftMessage(Vec<u8>),
    Join(u64, u64),
    Command(FleetCommand, CommandResponse),
}

impl Case {
    pub(crate) fn method(&self) -> &'static str {
        match self {
            Case::Heartbeat(..) => "Beat",
            Case::RaftMessage(..) => "Agree",
            Case::Join(..) => "Knock",
            Case::Command(..) => "Ask",
        }
    }

    /// The body as the sending gateway encodes it.
    pub(crate) fn request_body(&self) -> Vec<u8> {
        match self {
            Case::Heartbeat(heartbeat, _) => serde_json::to_vec(heartbeat).unwrap(),
            Case::RaftMessage(bytes) => bytes.clone(),
            Case::Join(replica_id, _) => replica_id.to_string().into_bytes(),
            Case::Command(command, _) => serde_json::to_vec(command).unwrap(),
        }
    }

    /// Checks the message that the listener passed on, and responds to it.
    pub(crate) fn check_and_respond(self, message: AgentMessage) {
        let text = |command: &FleetCommand| format!("{command:?}");
        match (self, message) {
            (
                Case::Heartbeat(expected, reply),
                AgentMessage::Heartbeat {
                    heartbeat,
                    response,
                },
            ) => {
                assert_eq!(heartbeat, expected);
                response.send(reply).unwrap();
            }
            (Case::RaftMessage(expected), AgentMessage::RaftMessage { from, bytes }) => {
                assert_eq!((from.as_str(), bytes), ("g1", expected));
            }
            (Case::Join(replica_id, generation), AgentMessage::JoinRequest(request)) => {
                let expected_id = (replica_id != 0).then_some(replica_id);
                assert_eq!(
                    (request.voter.as_str(), request.replica_id),
                    ("g1", expected_id)
                );
                request.response.send(generation).unwrap();
            }
            (
                Case::Command(expected, command_response),
                AgentMessage::Command { command, response },
            ) => {
                assert_eq!(text(&command), text(&expected));
                response.send(command_response).unwrap();
            }
            (case, _) => panic!(
                "the listener passed {} on as another message",
                case.method()
            ),
        }
    }
}

/// All cases with their names, in the order of the samples.
pub(crate) fn cases() -> Vec<(&'static str, Case)> {
    let mut cases = heartbeat_cases();
    cases.extend(replica_cases());
    cases.extend(command_cases());
    cases
}

fn hint(leader: Option<&str>) -> LeaderHint {
    LeaderHint {
        leader: leader.map(String::from),
    }
}

fn heartbeat_cases() -> Vec<(&'static str, Case)> {
    let leader_elsewhere = Err(hint(Some("g3")));
    let leader_unknown = Err(hint(None));
    vec![
        (
            "heartbeat answered",
            Case::Heartbeat(heartbeat(), Ok(heartbeat_response())),
        ),
        (
            "heartbeat to a keeper that is not the chair",
            Case::Heartbeat(heartbeat(), leader_elsewhere),
        ),
        (
            "heartbeat where no chair is known",
            Case::Heartbeat(heartbeat(), leader_unknown),
        ),
    ]
}

fn replica_cases() -> Vec<(&'static str, Case)> {
    vec![
        (
            "agreement bytes",
            Case::RaftMessage(vec![0, 1, 127, 128, 255]),
        ),
        ("join", Case::Join(22, 1 << 48 | 7)),
        ("question for the history alone", Case::Join(0, 0)),
    ]
}

fn command_cases() -> Vec<(&'static str, Case)> {
    let id = || "trial-1".to_owned();
    let change = || Command::Change(proposal(3, Some((id(), 60_000.0))));
    let cancel = |id| Command::Cancel {
        id,
        author: "operator".to_owned(),
    };
    let case = |command, response| Case::Command(FleetCommand::Command(command), response);
    let done = || CommandResponse::Done(5);
    let refused = CommandResponse::Refused("no such engine".into());
    let not_leader = CommandResponse::NotLeader(hint(Some("g3")));
    let status = CommandResponse::Shown(json!({"chair": "g2"}));
    vec![
        ("change done", case(change(), done())),
        ("change refused", case(change(), refused)),
        ("confirmation", case(Command::Confirm { id: id() }, done())),
        ("cancellation by id", case(cancel(Some(id())), done())),
        (
            "cancellation, to another keeper",
            case(cancel(None), not_leader),
        ),
        ("status", Case::Command(FleetCommand::Show, status)),
    ]
}

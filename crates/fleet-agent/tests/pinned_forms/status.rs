//! The status of a fleet as operators' tools read it.

use crate::{document, log, proposal, read_sample};
use ironstair_coordination::leader::Command;
use ironstair_coordination::Heartbeat;
use ironstair_fleet_agent::message::CommandResponse;
use ironstair_fleet_agent::status;
use ironstair_raft_replica::{Output, Replica, TICK};
use serde_json::Value as Json;

const LEASE: f64 = 1000.0;

/// The only voter of a fleet, which receives heartbeats of two members.
struct SingleVoter {
    replica: Replica<Json>,
    now: f64,
}

impl SingleVoter {
    /// Completes each write that the outputs request, at once.
    fn complete_saves(&mut self, mut outputs: Vec<Output<Json>>) {
        while outputs
            .iter()
            .any(|output| matches!(output, Output::Save(_)))
        {
            outputs = self.replica.save_completed(self.now);
        }
    }

    /// Advances the time by ticks. In each, both members send a heartbeat with that result of the validation.
    fn advance(&mut self, ticks: usize, validated: &Result<(), String>) {
        for _ in 0..ticks {
            self.now += TICK;
            let outputs = self.replica.tick(self.now);
            self.complete_saves(outputs);
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
                        .map(|change| (change.number, validated.clone()).into()),
                    leaving: false,
                    exclusive_resource: String::new(),
                    uses_share: true,
                };
                let outputs = self.replica.heartbeat(self.now, start, heartbeat);
                self.complete_saves(outputs);
            }
        }
    }

    fn submit(&mut self, command: Command<Json>) {
        let outputs = self.replica.submit(self.now, command).unwrap();
        self.complete_saves(outputs);
    }

    /// The status as a line of the sample.
    fn status_line(&self) -> String {
        let leader = self.replica.leader().unwrap();
        serde_json::to_string(&status::fleet_json(
            self.now + 20.0,
            "a",
            &self.replica,
            leader,
        ))
        .unwrap()
            + "\n"
    }
}

#[test]
fn status_of_a_fleet_is_encoded_as_in_its_sample() {
    let image = Replica::bootstrap_image("a", 1, 1 << 48 | 7, document(50), None).unwrap();
    let replica = Replica::open("a", 0, LEASE, &image, 0.0, &log()).unwrap();
    let mut voter = SingleVoter { replica, now: 0.0 };
    let valid = Ok(());
    // The lines of the sample: bootstrapped; a change is staged; it awaits its confirmation; it is rolled back; a
    // member has refused the next change and a voter is about to join.
    voter.advance(60, &valid);
    let mut lines = voter.status_line();
    let policy_index = |voter: &SingleVoter| voter.replica.state().fleet.policy_index;
    let change = Command::Change(proposal(
        policy_index(&voter),
        Some(("trial-1".into(), 60_000.0)),
    ));
    voter.submit(change);
    lines += &voter.status_line();
    voter.advance(10, &valid);
    lines += &voter.status_line();
    voter.submit(Command::Cancel {
        id: Some("trial-1".into()),
        author: "operator".into(),
    });
    voter.advance(10, &valid);
    lines += &voter.status_line();
    let change = Command::Change(proposal(policy_index(&voter), None));
    voter.submit(change);
    voter.advance(10, &Err("no such engine".into()));
    voter.replica.handle_join_request("b".into(), 22);
    voter.advance(2, &valid);
    lines += &voter.status_line();
    let expected = read_sample("status.jsonl");
    for (index, (line, expected_line)) in lines.lines().zip(expected.lines()).enumerate() {
        assert_eq!(line, expected_line, "status.jsonl, line {}", index + 1);
    }
    assert_eq!(lines, expected);
    // A relaying gateway decodes the status as part of the leader's response to the command.
    for line in expected.lines() {
        let response: CommandResponse =
            serde_json::from_str(&format!(r#"{{"shown":{line}}}"#)).unwrap();
        let CommandResponse::Shown(status) = response else {
            panic!("{line}")
        };
        assert_eq!(status.to_string(), line);
    }
}

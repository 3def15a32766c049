//! The JSON of a fleet's status that an operator is shown.

use crate::{document, log, proposal, sample};
use ironstair_coordination::leader::Command;
use ironstair_coordination::Heartbeat;
use ironstair_fleet_agent::message::CommandResponse;
use ironstair_fleet_agent::status;
use ironstair_raft_replica::{Output, Replica, TICK};
use serde_json::Value as Json;

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
                    uses_share: true,
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
fn the_status_of_a_fleet_is_shown_as_in_its_sample() {
    let image = Replica::bootstrap_image("a", 1, 1 << 48 | 7, document(50), None).unwrap();
    let replica = Replica::open("a", 0, LEASE, &image, 0.0, &log()).unwrap();
    let mut alone = Alone { replica, now: 0.0 };
    let fits = Ok(());
    // Begun; staged; waiting to be confirmed; rolled back; refused by a member; with a voter that is to join.
    alone.go_on(60, &fits);
    let mut all = alone.shown();
    let policy_index = |alone: &Alone| alone.replica.state().fleet.policy_index;
    let ask = Command::Change(proposal(
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
    let ask = Command::Change(proposal(policy_index(&alone), None));
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
        let response: CommandResponse =
            serde_json::from_str(&format!(r#"{{"shown":{line}}}"#)).unwrap();
        let CommandResponse::Shown(read) = response else {
            panic!("{line}")
        };
        assert_eq!(read.to_string(), line);
    }
}

//! The leases that a leader grants and the records that it writes, case by case.

use ironstair_coordination::leader::{Command, Refusal};
use ironstair_coordination::record::ChangeProposal;
use ironstair_coordination::share_counter::{ShareCounter, ShareTotals};
use ironstair_coordination::{
    Fleet, Heartbeat, HeartbeatResponse, Leader, Policy, Record, RevisionState, Validation,
};

const LEASE: f64 = 3000.0;

#[derive(Clone, Debug, PartialEq)]
struct Pol(u8);

impl Policy for Pol {
    // Policy 9 has no intersection with any other.
    fn intersection(&self, other: &Self) -> Option<Self> {
        (self.0 != 9 && other.0 != 9).then(|| Pol(self.0.max(other.0)))
    }
}

/// A leader with its log, long after the term of the previous leader.
struct LeaderHarness {
    now: f64,
    fleet: Fleet<Pol>,
    leader: Leader<Pol>,
}

impl LeaderHarness {
    /// A harness whose log contains these members, each with `start` 1, which have applied the first policy.
    fn of(names: &[&str], steady: bool) -> LeaderHarness {
        let mut fleet = Fleet::default();
        fleet.apply(Record::Bootstrapped {
            generation: 7,
            document: Pol(1),
            revision: None,
        });
        let mut d = LeaderHarness {
            now: 100_000.0,
            fleet,
            leader: Leader::new(0.0, LEASE),
        };
        for name in names {
            let heartbeat = Heartbeat {
                steady,
                ..d.of_start(name, 1)
            };
            assert!(
                d.say(&heartbeat).lease.is_none(),
                "not before it is in the log"
            );
            d.write();
            assert_eq!(d.say(&heartbeat).lease, Some(LEASE));
        }
        d
    }

    fn of_start(&self, name: &str, start: u64) -> Heartbeat {
        Heartbeat {
            name: name.into(),
            start,
            sent: self.now,
            generation: 7,
            applied_index: self.fleet.policy_index,
            last_answered: self.now,
            steady: false,
            validated: None,
            leaving: false,
            uses_share: false,
            exclusive_resource: String::new(),
        }
    }

    fn say(&mut self, heartbeat: &Heartbeat) -> HeartbeatResponse<Pol> {
        self.leader.heartbeat(self.now, &self.fleet, heartbeat)
    }

    /// Writes all records that the leader has to write now.
    fn write(&mut self) -> Vec<Record<Pol>> {
        let mut written = Vec::new();
        while let Some(record) = self.leader.next_record(self.now, &self.fleet) {
            written.push(record.clone());
            self.fleet.apply(record);
            self.leader.record_settled();
        }
        written
    }

    fn propose(&mut self, to: u8, commit: Option<f64>) -> Result<(), Refusal> {
        let proposal = ChangeProposal {
            token: 1,
            author: format!("op{to}"),
            created_at: 0.0,
            summary: "set".into(),
            base_revision: self.fleet.policy_index,
            document: Pol(to),
            commit: commit.map(|ms| ("c".to_owned(), ms)),
        };
        self.leader.submit(&self.fleet, Command::Change(proposal))
    }

    /// Takes a change through to its decision, with one member that accepts it.
    fn through(&mut self, name: &str) {
        self.write();
        let number = self.fleet.change.as_ref().unwrap().number;
        let yes = Heartbeat {
            validated: Some(Validation::accepted(number)),
            ..self.of_start(name, 1)
        };
        self.say(&yes);
        self.write();
        self.hold(name);
    }

    /// The member reports that it has applied the current policy.
    fn hold(&mut self, name: &str) {
        let heartbeat = self.of_start(name, 1);
        self.say(&heartbeat);
        self.write();
        let heartbeat = self.of_start(name, 1);
        self.say(&heartbeat);
    }

    fn state(&self, number: u64) -> RevisionState {
        self.fleet
            .revisions
            .iter()
            .find(|l| l.number == number)
            .unwrap()
            .state
    }
}

#[test]
fn who_goes_by_what_is_written_gets_no_lease_before_the_log_has_it() {
    // A seeded run found this fault: a leader removed a member without a lease, and granted it a lease before the log
    // contained the removal. The next change was decided without that member.
    let mut d = LeaderHarness::of(&["a", "b"], false);
    d.now += 11.0 * LEASE;
    let removal = d.leader.next_record(d.now, &d.fleet).unwrap();
    assert!(
        matches!(&removal, Record::Members { left, .. } if left.len() == 2),
        "{removal:?}"
    );
    let heartbeat = d.of_start("a", 1);
    assert_eq!(d.say(&heartbeat).lease, None);
    d.fleet.apply(removal);
    d.leader.record_settled();
    assert_eq!(d.say(&heartbeat).lease, None);
    d.write();
    assert_eq!(d.say(&heartbeat).lease, Some(LEASE), "let in again");
}

#[test]
fn who_was_let_in_and_not_heard_since_is_not_taken_out_at_once() {
    let mut d = LeaderHarness::of(&["a"], false);
    let heartbeat = d.of_start("b", 1);
    d.say(&heartbeat);
    d.write();
    assert_eq!((d.write(), d.fleet.members.len()), (vec![], 2));
}

#[test]
fn two_processes_of_one_name_never_hold_leases_together() {
    let mut d = LeaderHarness::of(&["a"], false);
    let second = d.of_start("a", 2);
    let response = d.say(&second);
    assert!(
        response.lease.is_none() && response.reason.unwrap().starts_with("another process is a")
    );
    assert_eq!(d.write(), []);
    d.now += LEASE * 1.1;
    d.say(&second);
    d.write();
    assert_eq!(d.say(&second).lease, Some(LEASE));
    let first = d.of_start("a", 1);
    assert!(d.say(&first).reason.is_some());
    // A process that reports that it is leaving admits the next one at once.
    let bye = Heartbeat {
        leaving: true,
        ..second
    };
    assert_eq!(d.say(&bye).lease, None);
    d.write();
    assert!(d.fleet.members.is_empty());
}

#[test]
fn who_holds_what_the_last_process_of_its_name_held_needs_not_wait_for_its_lease() {
    // Without the proof by an exclusive resource, a restart after a kill takes seven seconds without service.
    for (held, holds, waits) in [
        ("here", "here", false),
        ("here", "there", true),
        ("", "", true),
        ("", "here", true),
    ] {
        let mut d = LeaderHarness::of(&["b"], false);
        let first = Heartbeat {
            exclusive_resource: held.into(),
            ..d.of_start("a", 1)
        };
        d.say(&first);
        d.write();
        assert_eq!(d.say(&first).lease, Some(LEASE));
        let second = Heartbeat {
            exclusive_resource: holds.into(),
            ..d.of_start("a", 2)
        };
        let response = d.say(&second);
        assert_eq!(
            (
                response.lease,
                response.reason.is_some(),
                response.heartbeat_soon
            ),
            (None, waits, true),
            "{held:?}, {holds:?}"
        );
        d.write();
        assert_eq!(d.say(&second).lease.is_none(), waits, "{held:?}, {holds:?}");
        // The first process gets no further lease.
        assert_eq!(d.say(&first).lease.is_some(), waits);
    }
}

#[test]
fn one_change_at_a_time_and_none_that_has_nothing_in_common() {
    let mut d = LeaderHarness::of(&["a"], false);
    assert_eq!(d.propose(9, None), Err(Refusal::NoIntersection));
    assert_eq!(d.propose(2, None), Ok(()));
    let under_way = |author: &str| {
        Err(Refusal::InProgress {
            number: 1,
            author: author.into(),
        })
    };
    assert_eq!(
        d.propose(3, None),
        under_way("op2"),
        "before the log has it"
    );
    d.write();
    assert_eq!(d.propose(3, None), under_way("op2"));
    let no = Heartbeat {
        validated: Some(Validation::rejected(1, "it lacks a kind")),
        ..d.of_start("a", 1)
    };
    d.say(&no);
    d.write();
    let line = d.fleet.revisions[0].clone();
    assert_eq!(
        line.refused,
        Some(("a".to_owned(), "it lacks a kind".to_owned()))
    );
    assert_eq!(
        (d.state(1), d.fleet.effective_policy()),
        (RevisionState::Refused, Some((0, Pol(1))))
    );
    assert_eq!(d.propose(3, None), Ok(()));
    d.through("a");
    assert_eq!(d.fleet.effective_policy(), Some((2, Pol(3))));
}

#[test]
fn what_is_not_confirmed_in_its_time_is_rolled_back_by_the_same_steps() {
    let mut d = LeaderHarness::of(&["a"], false);
    d.propose(2, Some(5000.0)).unwrap();
    d.through("a");
    assert_eq!(
        (d.state(1), d.fleet.effective_policy()),
        (RevisionState::Unconfirmed, Some((1, Pol(2))))
    );
    d.now += 2500.0;
    d.hold("a");
    d.now += 2500.0;
    assert_eq!(d.write(), [Record::RolledBack { number: 1 }]);
    assert_eq!(
        d.fleet.effective_policy(),
        Some((1, Pol(2))),
        "the intersection of both first"
    );
    let late = Command::Confirm { id: "c".into() };
    assert_eq!(
        d.leader.submit(&d.fleet, late),
        Err(Refusal::NothingPending)
    );
    d.hold("a");
    assert_eq!(
        (d.state(1), d.fleet.effective_policy()),
        (RevisionState::RolledBack, Some((0, Pol(1))))
    );
}

#[test]
fn without_a_steady_member_nothing_is_decided_and_without_a_strict_one_it_is_after_its_lease() {
    for (steady, decided) in [(true, false), (false, true)] {
        let mut d = LeaderHarness::of(&["a", "b"], steady);
        d.propose(2, None).unwrap();
        d.now += 5.0 * LEASE;
        d.write();
        let yes = Heartbeat {
            validated: Some(Validation::accepted(1)),
            steady,
            ..d.of_start("a", 1)
        };
        d.say(&yes);
        d.write();
        let holds = Heartbeat {
            steady,
            ..d.of_start("a", 1)
        };
        d.say(&holds);
        d.write();
        assert_eq!(
            d.state(1) == RevisionState::Running,
            decided,
            "steady: {steady}"
        );
    }
}

#[test]
fn who_hears_nothing_is_granted_no_lease_and_holds_up_no_change() {
    // A member whose heartbeats arrive and who receives no answer must not be counted forever.
    let mut d = LeaderHarness::of(&["a"], false);
    let deaf = Heartbeat {
        last_answered: d.now - 3.5 * LEASE,
        ..d.of_start("a", 1)
    };
    assert_eq!(d.say(&deaf).lease, None);
    let hears = Heartbeat {
        last_answered: d.now - 0.5 * LEASE,
        ..d.of_start("a", 1)
    };
    assert_eq!(d.say(&hears).lease, Some(LEASE));
}

#[test]
fn the_count_shrinks_slowly_and_who_comes_back_finds_its_place_and_who_comes_beyond_it_waits() {
    let grace = 1.1 * LEASE;
    let mut count = ShareCounter::new(0.0, LEASE, grace, 5.0);
    let names = ["a", "b", "c", "d", "e", "f"];
    let takes = |count: &mut ShareCounter, now: f64, nth: usize, start| {
        count.share(now, names[nth], start, false).is_granted
    };
    // No new share is granted while leases of an earlier leader may be valid.
    assert!(!takes(&mut count, grace - 1.0, 0, 1));
    count.update(grace, 5, |_, _| true);
    assert!((0..4).all(|nth| takes(&mut count, grace, nth, 1)));
    // Three of five gateways end; a lease later the count has hardly declined.
    count.update(grace + LEASE, 2, |name, _| ["a", "b"].contains(&name));
    let ShareTotals {
        gateways: used,
        sharing,
    } = count.totals();
    assert!(sharing == 2 && (4.7..4.9).contains(&used), "{used}");
    assert!(takes(&mut count, grace + LEASE, 2, 2) && takes(&mut count, grace + LEASE, 3, 2));
    // With one more gateway the count grows at once, and that gateway waits for a grace period.
    let now = grace + LEASE + 1.0;
    count.update(now, 6, |_, _| true);
    assert_eq!(
        (count.totals().gateways, takes(&mut count, now, 4, 1)),
        (6.0, false)
    );
    count.update(now + grace, 6, |_, _| true);
    assert!(takes(&mut count, now + grace, 4, 1));
}

//! What operators see of a fleet, as its leader knows it.

use ironstair::Ms;
use ironstair_coordination::fleet::{Change, Step};
use ironstair_coordination::record::{RevisionSummary, Session};
use ironstair_coordination::{Fleet, Leader};
use ironstair_data_tree::state;
use ironstair_raft_replica::Replica;
use serde_json::{json, Value as Json};

fn member(
    now: Ms,
    fleet: &Fleet<Json>,
    leader: &Leader<Json>,
    (name, seat): (&String, &Session),
) -> Json {
    let seen = leader.member_status(name);
    let left = seen.map_or(0.0, |s| (s.lease_end - now).max(0.0));
    let cut_off = if seat.steady { "steady" } else { "strict" };
    json!({
        "name": name,
        "cut-off": cut_off,
        "heard-ms-ago": seen.map(|s| (now - s.heard_at).round()),
        "lease-left-ms": left.round(),
        "holds-what-is-held": seen.is_some_and(|s| s.applied_index == fleet.policy_index),
        "counts": leader.may_decide(now, fleet, name),
    })
}

/// Who is in, for the tree.
pub fn members(replica: &Replica<Json>) -> Vec<state::Member> {
    let (fleet, Some(leader)) = (&replica.state().fleet, replica.leader()) else {
        return Vec::new();
    };
    let one = |(name, seat): (&String, &Session)| {
        let seen = leader.member_status(name).unwrap_or_default();
        state::Member {
            name: name.clone(),
            steady: seat.steady,
            heard: seen.heard_at,
            until: seen.lease_end,
            holds: seen.applied_index == fleet.policy_index,
        }
    };
    fleet.members.iter().map(one).collect()
}

fn line(l: &RevisionSummary) -> Json {
    let mut shown = json!({"number": l.number, "who": l.author, "when": l.created_at.round(), "what": l.summary, "outcome": l.state});
    if let Some(commit) = &l.commit {
        shown["commit"] = json!(commit);
    }
    if let Some((by, why)) = &l.refused {
        shown["refused-by"] = json!(by);
        shown["why"] = json!(why);
    }
    shown
}

fn change(now: Ms, fleet: &Fleet<Json>, leader: &Leader<Json>, c: &Change<Json>) -> Json {
    json!({"number": c.number, "step": c.step, "takes-back": c.is_rollback, "waits-for": waits_for(now, fleet, leader)})
}

/// Who a change under way waits for.
pub fn waits_for(now: Ms, fleet: &Fleet<Json>, leader: &Leader<Json>) -> Vec<String> {
    let lacks = |name: &String| match fleet.change.as_ref() {
        Some(c) if c.step == Step::Staged => !leader.has_validated(name, c.number),
        Some(_) => leader
            .member_status(name)
            .is_none_or(|s| s.applied_index != fleet.policy_index),
        None => false,
    };
    let waits = |name: &&String| leader.may_decide(now, fleet, name) && lacks(name);
    fleet.members.keys().filter(waits).cloned().collect()
}

/// All of it, at the leader.
pub fn fleet(now: Ms, name: &str, replica: &Replica<Json>, leader: &Leader<Json>) -> Json {
    let state = replica.state();
    let f = &state.fleet;
    json!({
        "history": format!("{:016x}", f.generation),
        "revision": f.running.as_ref().map(|r| r.0),
        "chair": name,
        "keepers": state.voters.keys().collect::<Vec<_>>(),
        "joining": state.joining.keys().collect::<Vec<_>>(),
        "replacing": replica.is_replacing_voter(),
        "change": f.change.as_ref().map(|c| change(now, f, leader, c)),
        "counted": leader.share_totals().map(|t| t.gateways.round()),
        "sharing": leader.share_totals().map(|t| t.sharing),
        "unconfirmed": f.pending_confirmation.as_ref().map(|t| &t.id),
        "members": f.members.iter().map(|m| member(now, f, leader, m)).collect::<Vec<_>>(),
        "revisions": f.revisions.iter().map(line).collect::<Vec<_>>(),
    })
}

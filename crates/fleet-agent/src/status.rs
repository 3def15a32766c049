//! The leader's view of its fleet for operators: JSON for the command line, and the members for the state tree.
//! Operators' tools depend on the keys of the JSON, some of which differ from the names in the code.

use ironstair::Millis;
use ironstair_coordination::fleet::{Change, Step};
use ironstair_coordination::record::{RevisionSummary, Session};
use ironstair_coordination::{Fleet, Leader};
use ironstair_data_tree::state;
use ironstair_raft_replica::Replica;
use serde_json::{json, Value as Json};

/// The leader's view of its fleet as JSON.
pub fn fleet_json(now: Millis, name: &str, replica: &Replica<Json>, leader: &Leader<Json>) -> Json {
    let state = replica.state();
    let fleet = &state.fleet;
    let member_json =
        |(name, session): (&String, &Session)| member_json(now, fleet, leader, name, session);
    let change_json = |change| change_json(now, fleet, leader, change);
    json!({
        "history": format!("{:016x}", fleet.generation),
        "revision": fleet.running.as_ref().map(|running| running.0),
        "chair": name,
        "keepers": state.voters.keys().collect::<Vec<_>>(),
        "joining": state.joining.keys().collect::<Vec<_>>(),
        "replacing": replica.is_replacing_voter(),
        "change": fleet.change.as_ref().map(change_json),
        "counted": leader.share_totals().map(|totals| totals.gateways.round()),
        "sharing": leader.share_totals().map(|totals| totals.sharing),
        "unconfirmed": fleet.pending_confirmation.as_ref().map(|pending| &pending.id),
        "members": fleet.members.iter().map(member_json).collect::<Vec<_>>(),
        "revisions": fleet.revisions.iter().map(revision_json).collect::<Vec<_>>(),
    })
}

fn member_json(
    now: Millis,
    fleet: &Fleet<Json>,
    leader: &Leader<Json>,
    name: &str,
    session: &Session,
) -> Json {
    let status = leader.member_status(name);
    let lease_left = status.map_or(0.0, |status| (status.lease_end - now).max(0.0));
    let cut_off = if session.steady { "steady" } else { "strict" };
    json!({
        "name": name,
        "cut-off": cut_off,
        "heard-ms-ago": status.map(|status| (now - status.heard_at).round()),
        "lease-left-ms": lease_left.round(),
        "holds-what-is-held": status.is_some_and(|status| status.applied_index == fleet.policy_index),
        "counts": leader.may_decide(now, fleet, name),
    })
}

fn change_json(
    now: Millis,
    fleet: &Fleet<Json>,
    leader: &Leader<Json>,
    change: &Change<Json>,
) -> Json {
    json!({
        "number": change.number,
        "step": change.step,
        "takes-back": change.is_rollback,
        "waits-for": waits_for(now, fleet, leader),
    })
}

fn revision_json(revision: &RevisionSummary) -> Json {
    let mut shown = json!({
        "number": revision.number,
        "who": revision.author,
        "when": revision.created_at.round(),
        "what": revision.summary,
        "outcome": revision.state,
    });
    if let Some(commit) = &revision.commit {
        shown["commit"] = json!(commit);
    }
    if let Some((refused_by, reason)) = &revision.refused {
        shown["refused-by"] = json!(refused_by);
        shown["why"] = json!(reason);
    }
    shown
}

/// The members for the state tree; empty if this voter is not the leader.
pub fn members(replica: &Replica<Json>) -> Vec<state::Member> {
    let Some(leader) = replica.leader() else {
        return Vec::new();
    };
    let fleet = &replica.state().fleet;
    let member = |(name, session): (&String, &Session)| {
        let status = leader.member_status(name);
        state::Member {
            name: name.clone(),
            steady: session.steady,
            last_heard_at: status.map_or(0.0, |status| status.heard_at),
            lease_end: status.map_or(0.0, |status| status.lease_end),
            policy_applied: status.map_or(0, |status| status.applied_index) == fleet.policy_index,
        }
    };
    fleet.members.iter().map(member).collect()
}

/// The names of the members that the change in progress still waits for; empty if there is no change.
pub fn waits_for(now: Millis, fleet: &Fleet<Json>, leader: &Leader<Json>) -> Vec<String> {
    let Some(change) = &fleet.change else {
        return Vec::new();
    };
    let has_completed_step = |name: &str| match change.step {
        Step::Staged => leader.has_validated(name, change.number),
        _ => leader
            .member_status(name)
            .is_some_and(|status| status.applied_index == fleet.policy_index),
    };
    let waits = |name: &&String| leader.may_decide(now, fleet, name) && !has_completed_step(name);
    fleet.members.keys().filter(waits).cloned().collect()
}

//! What operators see of a fleet, as its chair knows it.

use ironstair::Ms;
use ironstair_coordination::fleet::{Change, Step};
use ironstair_coordination::record::{Line, Seat};
use ironstair_coordination::{Chair, Fleet};
use ironstair_data_tree::state;
use ironstair_raft_replica::Keeper;
use serde_json::{json, Value as Json};

fn member(
    now: Ms,
    fleet: &Fleet<Json>,
    chair: &Chair<Json>,
    (name, seat): (&String, &Seat),
) -> Json {
    let seen = chair.seen(name);
    let left = seen.map_or(0.0, |s| (s.2 - now).max(0.0));
    let cut_off = if seat.steady { "steady" } else { "strict" };
    json!({
        "name": name,
        "cut-off": cut_off,
        "heard-ms-ago": seen.map(|s| (now - s.0).round()),
        "lease-left-ms": left.round(),
        "holds-what-is-held": seen.is_some_and(|s| s.1 == fleet.mark),
        "counts": chair.counts(now, fleet, name),
    })
}

/// Who is in, for the tree.
pub fn members(keeper: &Keeper<Json>) -> Vec<state::Member> {
    let (fleet, Some(chair)) = (&keeper.state().fleet, keeper.chair()) else {
        return Vec::new();
    };
    let one = |(name, seat): (&String, &Seat)| {
        let (heard, mark, until) = chair.seen(name).unwrap_or_default();
        let holds = mark == fleet.mark;
        state::Member {
            name: name.clone(),
            steady: seat.steady,
            heard,
            until,
            holds,
        }
    };
    fleet.members.iter().map(one).collect()
}

fn line(l: &Line) -> Json {
    let mut shown = json!({"number": l.number, "who": l.who, "when": l.when.round(), "what": l.what, "outcome": l.state});
    if let Some(commit) = &l.commit {
        shown["commit"] = json!(commit);
    }
    if let Some((by, why)) = &l.refused {
        shown["refused-by"] = json!(by);
        shown["why"] = json!(why);
    }
    shown
}

fn change(now: Ms, fleet: &Fleet<Json>, chair: &Chair<Json>, c: &Change<Json>) -> Json {
    json!({"number": c.number, "step": c.step, "takes-back": c.back, "waits-for": waits_for(now, fleet, chair)})
}

/// Who a change under way waits for.
pub fn waits_for(now: Ms, fleet: &Fleet<Json>, chair: &Chair<Json>) -> Vec<String> {
    let lacks = |name: &String| match fleet.change.as_ref() {
        Some(c) if c.step == Step::Staged => !chair.examined(name, c.number),
        Some(_) => chair.seen(name).is_none_or(|s| s.1 != fleet.mark),
        None => false,
    };
    let waits = |name: &&String| chair.counts(now, fleet, name) && lacks(name);
    fleet.members.keys().filter(waits).cloned().collect()
}

/// All of it, at the chair.
pub fn fleet(now: Ms, name: &str, keeper: &Keeper<Json>, chair: &Chair<Json>) -> Json {
    let state = keeper.state();
    let f = &state.fleet;
    json!({
        "history": format!("{:016x}", f.history),
        "revision": f.running.as_ref().map(|r| r.0),
        "chair": name,
        "keepers": state.voters.keys().collect::<Vec<_>>(),
        "joining": state.joining.keys().collect::<Vec<_>>(),
        "replacing": keeper.replacing(),
        "change": f.change.as_ref().map(|c| change(now, f, chair, c)),
        "counted": chair.sharing().map(|s| s.0.round()),
        "sharing": chair.sharing().map(|s| s.1),
        "unconfirmed": f.trial.as_ref().map(|t| &t.id),
        "members": f.members.iter().map(|m| member(now, f, chair, m)).collect::<Vec<_>>(),
        "revisions": f.lines.iter().map(line).collect::<Vec<_>>(),
    })
}

//! Writes the leaves of the state, and updates them from one snapshot to the next.

use super::{Class, Engine, Fleet, Member, Snapshot};
use crate::leaves::{below, remove_below, LeafMap};
use crate::path::{Path, Step};
use crate::value::Value;
use imbl::ordmap::DiffItem;
use ironstair::{EndpointState, Millis};
use ironstair_config_change::{RevisionState, RevisionSummary};

/// Limit on a published time in ms, far beyond any clock: the infinite end of a lease can't be written as an integer.
const MAX_TIME: Millis = 1e15;
/// Limit on a published cost: larger numbers do not fit a decimal64 with three fraction digits.
const MAX_WORK: f64 = 1e15;
/// Limit on a published factor: larger numbers do not fit a decimal64 with nine fraction digits.
const MAX_FACTOR: f64 = 1e9;
/// Fraction digits of times, costs and shares in the YANG module.
const DIGITS: u8 = 3;
/// Fraction digits of a class's weight in the YANG module.
const WEIGHT_DIGITS: u8 = 9;

/// Writes the leaves of one node.
struct NodeWriter<'a> {
    path: Path,
    leaves: &'a mut LeafMap,
}

impl<'a> NodeWriter<'a> {
    fn container(leaves: &'a mut LeafMap, name: &str) -> Self {
        let path = state_path([step(name, None)]);
        NodeWriter { path, leaves }
    }

    fn entry(leaves: &'a mut LeafMap, list: &str, key: &str) -> Self {
        let path = state_path([step(list, Some(key))]);
        NodeWriter { path, leaves }
    }

    fn set(&mut self, name: &str, value: Value) {
        self.leaves
            .insert(self.path.child(&name.into(), None), value);
    }

    fn flag(&mut self, name: &str, flag: bool) {
        self.set(name, Value::Bool(flag));
    }

    /// Sets a uint32, to which larger numbers are clamped.
    fn count(&mut self, name: &str, count: u64) {
        self.set(name, Value::Uint(count.min(u64::from(u32::MAX))));
    }

    /// Sets a uint64.
    fn total(&mut self, name: &str, total: u64) {
        self.set(name, Value::Uint64(total));
    }

    fn decimal(&mut self, name: &str, number: f64, digits: u8) {
        self.set(name, Value::decimal(number, digits));
    }

    fn time(&mut self, name: &str, at: Millis) {
        self.set(name, Value::Uint64(at.max(0.0) as u64));
    }

    fn text(&mut self, name: &str, text: &str) {
        self.set(name, Value::text(text));
    }
}

fn step(name: &str, key: Option<&str>) -> Step {
    Step {
        name: name.into(),
        key: key.map(Into::into),
    }
}

/// The path below `/state` with the given steps.
fn state_path(steps: impl IntoIterator<Item = Step>) -> Path {
    Path([step("state", None)].into_iter().chain(steps).collect())
}

/// The leaves of the process that are constant while it runs.
pub fn process_leaves(name: &str, version: &str) -> LeafMap {
    let mut leaves = LeafMap::new();
    let mut process = NodeWriter::container(&mut leaves, "process");
    process.text("name", name);
    process.text("version", version);
    leaves
}

/// The leaves after a new snapshot, given those of the previous one. Only the leaves of changed engines and classes are
/// written, so that the cost does not grow with the endpoint list.
pub fn with_changes(leaves: &LeafMap, previous: &Snapshot, current: &Snapshot) -> LeafMap {
    let mut leaves = leaves.clone();
    update_engines(&mut leaves, previous, current);
    for (index, class) in current.classes.iter().enumerate() {
        if previous.classes.get(index) != Some(class) {
            write_class(&mut leaves, class);
        }
    }
    write_endpoint_list(&mut leaves, current);
    write_clients(&mut leaves, current);
    write_buffers(&mut leaves, current);
    write_process(&mut leaves, current);
    leaves
}

fn update_engines(leaves: &mut LeafMap, previous: &Snapshot, current: &Snapshot) {
    for change in previous.engines.diff(&current.engines) {
        match change {
            DiffItem::Add(name, engine) => write_engine(leaves, name, engine, current.at),
            DiffItem::Update {
                old: (_, old),
                new: (name, engine),
            } => {
                if has_different_leaves(old, engine) {
                    remove_engine(leaves, name);
                }
                write_engine(leaves, name, engine, current.at);
            }
            DiffItem::Remove(name, _) => remove_engine(leaves, name),
        }
    }
}

fn remove_engine(leaves: &mut LeafMap, name: &str) {
    remove_below(leaves, &state_path([step("engine", Some(name))]));
}

/// Whether different optional leaves are present, in which case those that no longer exist must be removed.
fn has_different_leaves(old: &Engine, new: &Engine) -> bool {
    let slow_start_differs =
        old.view.slow_start_allowance.is_some() != new.view.slow_start_allowance.is_some();
    let ejection_differs = old.view.next_probe_at.is_some() != new.view.next_probe_at.is_some();
    slow_start_differs || ejection_differs
}

fn write_engine(leaves: &mut LeafMap, name: &str, engine: &Engine, now: Millis) {
    let mut node = NodeWriter::entry(leaves, "engine", name);
    node.text("name", name);
    write_engine_identity(&mut node, engine);
    write_engine_load(&mut node, engine);
    write_engine_health(&mut node, engine, now);
    node.count("connections", u64::from(engine.connections));
}

fn write_engine_identity(node: &mut NodeWriter, engine: &Engine) {
    node.text("id", &format!("{:012x}", engine.id));
    node.text("address", &engine.address);
    let state = match engine.view.state {
        EndpointState::Ready => "ready",
        EndpointState::Draining => "draining",
        EndpointState::Gone => "gone",
    };
    node.text("standing", state);
    node.text("zone", &engine.zone);
    node.text("kind", &engine.machine_type);
    node.count("mark-group", u64::from(engine.dedup_domain));
    if !engine.cells.is_empty() {
        node.text("cell", &engine.cells);
    }
    node.time("since", engine.started_at);
}

fn write_engine_load(node: &mut NodeWriter, engine: &Engine) {
    let view = &engine.view;
    node.count("inflight", u64::from(engine.in_flight));
    node.decimal("threads", view.threads, DIGITS);
    let own_share = if view.cores > 0.0 {
        view.threads / view.cores
    } else {
        0.0
    };
    let share = view.last_report.map_or(own_share, |report| report.share);
    node.decimal("util", share, DIGITS);
    let reported_at = view.last_report.map_or(0.0, |report| report.at);
    node.time("util-told", reported_at);
    node.decimal("pace", view.slowdown.min(MAX_FACTOR), DIGITS);
}

fn write_engine_health(node: &mut NodeWriter, engine: &Engine, now: Millis) {
    let view = &engine.view;
    node.count("failures", view.failures as u64);
    node.count("outcomes", view.outcomes_seen as u64);
    let is_ejected = view.next_probe_at.is_some();
    node.flag("aside", is_ejected);
    if is_ejected {
        let reason = format!("{} of {} failed", view.failures, view.outcomes_seen);
        node.text("aside-why", &reason);
    }
    node.flag("full", view.full_until > now);
    if let Some(allowance) = view.slow_start_allowance {
        node.count("cold-left", allowance as u64);
    }
}

fn write_class(leaves: &mut LeafMap, class: &Class) {
    let mut node = NodeWriter::entry(leaves, "band", &class.name);
    let counts = &class.counts;
    let view = &class.view;
    node.text("name", &class.name);
    node.flag("in-service", class.in_service);
    node.count("waiting", view.waiting as u64);
    node.decimal("threads", view.threads, DIGITS);
    node.total("taken", counts.accepted);
    node.total("released", counts.released);
    node.total("settled", counts.completed);
    node.total("turned-back", counts.rejected);
    node.total("scrapped", counts.failed);
    node.total("left", counts.cancelled);
    node.total("late", counts.late);
    node.decimal("charged", view.charged_work.min(MAX_WORK), DIGITS);
    node.decimal("weight", view.weight.min(MAX_FACTOR), WEIGHT_DIGITS);
    node.decimal("usual-work", view.typical_work.min(MAX_WORK), DIGITS);
}

fn write_endpoint_list(leaves: &mut LeafMap, snapshot: &Snapshot) {
    let mut list = NodeWriter::container(leaves, "list");
    list.text("source", &snapshot.discovery_source);
    list.count("serial", u64::from(snapshot.endpoint_list_serial));
    list.time("heard", snapshot.last_heard_at);
    list.count("engines", snapshot.engines.len() as u64);
}

fn write_clients(leaves: &mut LeafMap, snapshot: &Snapshot) {
    let mut clients = NodeWriter::container(leaves, "clients");
    clients.count("connections", u64::from(snapshot.connections));
    let limit = u64::from(snapshot.max_client_connections);
    clients.count("connections-most", limit);
    clients.count("open", u64::from(snapshot.open_requests));
}

fn write_buffers(leaves: &mut LeafMap, snapshot: &Snapshot) {
    let mut buffers = NodeWriter::container(leaves, "buffers");
    buffers.count("lent", u64::from(snapshot.buffers_in_use));
    buffers.count("most", u64::from(snapshot.max_buffers));
}

fn write_process(leaves: &mut LeafMap, snapshot: &Snapshot) {
    let mut process = NodeWriter::container(leaves, "process");
    process.time("started", snapshot.started_at);
    process.flag("ending", snapshot.shutting_down);
    process.text("stage", snapshot.stage.name);
    process.text("held-back-by", snapshot.stage.held_back_by);
}

/// A copy of the leaves in which those of the fleet are replaced.
pub fn with_fleet(leaves: &LeafMap, fleet: &Fleet) -> LeafMap {
    let mut leaves = leaves.clone();
    remove_below(&mut leaves, &state_path([step("fleet", None)]));
    for member in &fleet.members {
        write_member(&mut leaves, member);
    }
    let mut node = NodeWriter::container(&mut leaves, "fleet");
    node.text("name", &fleet.name);
    node.text("history", &format!("{:016x}", fleet.generation));
    node.total("revision", fleet.revision);
    node.time("held-until", fleet.lease_end.min(MAX_TIME));
    node.text("cut-off", cut_off(fleet.steady));
    node.flag("keeper", fleet.is_voter);
    node.text("chair", &fleet.leader);
    if let Some(share) = fleet.share {
        node.set(
            "shares-among",
            Value::Uint(share.gateway_count.round() as u64),
        );
        node.flag("takes-share", share.is_granted);
    }
    leaves
}

fn write_member(leaves: &mut LeafMap, member: &Member) {
    let path = state_path([step("fleet", None), step("member", Some(&member.name))]);
    let mut node = NodeWriter { path, leaves };
    node.text("name", &member.name);
    node.text("cut-off", cut_off(member.steady));
    node.time("heard", member.last_heard_at);
    node.time("lease-until", member.lease_end);
    node.flag("holds", member.policy_applied);
}

fn cut_off(steady: bool) -> &'static str {
    if steady {
        "steady"
    } else {
        "strict"
    }
}

/// A copy of the leaves in which those of the revisions are replaced.
pub fn with_revisions<'a>(
    leaves: &LeafMap,
    revisions: impl Iterator<Item = &'a RevisionSummary>,
) -> LeafMap {
    let mut leaves = leaves.clone();
    remove_revisions(&mut leaves);
    for revision in revisions {
        write_revision(&mut leaves, revision);
    }
    leaves
}

fn remove_revisions(leaves: &mut LeafMap) {
    let is_revision = |path: &&Path| path.0.get(1).is_some_and(|step| &*step.name == "revision");
    let old: Vec<Path> = below(leaves, state_path([]))
        .map(|(path, _)| path)
        .filter(is_revision)
        .cloned()
        .collect();
    for path in &old {
        leaves.remove(path);
    }
}

fn write_revision(leaves: &mut LeafMap, revision: &RevisionSummary) {
    let mut node = NodeWriter::entry(leaves, "revision", &revision.number.to_string());
    node.total("number", revision.number);
    node.text("who", &revision.author);
    node.time("when", revision.created_at);
    node.text("what", &revision.summary);
    let outcome = match revision.state {
        RevisionState::Running => "running",
        RevisionState::Unconfirmed => "unconfirmed",
        RevisionState::Replaced => "replaced",
        RevisionState::RolledBack => "taken-back",
    };
    node.text("outcome", outcome);
    if let Some(until) = revision.confirm_by {
        node.time("until", until);
    }
    if let Some(commit) = &revision.commit_id {
        node.text("commit", commit);
    }
}

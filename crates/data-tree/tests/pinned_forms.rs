//! Guards against changes of names and encodings on which clients, dashboards and scripts depend. The files under
//! `pinned` were written by an earlier version of the program: the YANG module without its documentation, the nodes of
//! the schema that is built from it, and the JSON of a fixed tree of settings and state, as gNMI reads and
//! `ironstair get` return it.

use ironstair::policy::{ClassView, EngineView, LoadReport};
use ironstair::EndpointState;
use ironstair_config_change::{Document, RevisionState, RevisionSummary};
use ironstair_coordination::Share;
use ironstair_data_tree::leaves::select;
use ironstair_data_tree::schema::{Node, NodeKind};
use ironstair_data_tree::state::{
    self, Class, Counts, Engine, Fleet, Member, RecoveryStage, Snapshot,
};
use ironstair_data_tree::value::LeafType;
use ironstair_data_tree::yang::{parse, Statement};
use ironstair_data_tree::{LeafMap, Path, Pattern, Schema, MODULE};
use ironstair_pinned_forms::PinnedForms;
use std::fmt::Write;
use std::ops::RangeInclusive;
use std::sync::Arc;

const FORMS: PinnedForms = PinnedForms::of_package(env!("CARGO_MANIFEST_DIR"));

/// The statements that do not affect clients: documentation, and the dates of the YANG module.
const IGNORED_STATEMENTS: [&str; 6] = [
    "description",
    "contact",
    "organization",
    "reference",
    "error-message",
    "revision",
];

/// Writes a statement and those in its block, one per line.
fn write_statement(statement: &Statement, depth: usize, to: &mut String) {
    if !IGNORED_STATEMENTS.contains(&statement.keyword.as_str()) {
        let argument: Vec<&str> = statement.argument.split_whitespace().collect();
        writeln!(
            to,
            "{}{}",
            "  ".repeat(depth),
            format!("{} {}", statement.keyword, argument.join(" ")).trim_end()
        )
        .unwrap();
        statement
            .substatements
            .iter()
            .for_each(|inner| write_statement(inner, depth + 1, to));
    }
}

#[test]
fn yang_module_has_the_pinned_statements() {
    let mut text = String::new();
    write_statement(&parse(MODULE).unwrap(), 0, &mut text);
    FORMS.assert_same("module.txt", &text);
}

/// The ranges as pairs, which is the form in the pinned file.
fn bounds<T: Copy>(ranges: &[RangeInclusive<T>]) -> Vec<(T, T)> {
    let pair = |range: &RangeInclusive<T>| (*range.start(), *range.end());
    ranges.iter().map(pair).collect()
}

/// Writes a node and those below it, one per line. `at` is the path of the parent.
fn write_node(node: &Node, at: &str, to: &mut String) {
    let describe_type = |leaf_type: &LeafType| match leaf_type {
        LeafType::Bool => "boolean".to_owned(),
        LeafType::Uint { is_64_bit, ranges } => {
            format!(
                "{} {:?}",
                if *is_64_bit { "uint64" } else { "uint" },
                bounds(ranges)
            )
        }
        LeafType::Decimal { digits, ranges } => format!("decimal{digits} {:?}", bounds(ranges)),
        LeafType::Text { lengths, patterns } => {
            format!(
                "text {:?} {:?}",
                bounds(lengths),
                patterns
                    .iter()
                    .map(|pattern| pattern.as_str())
                    .collect::<Vec<_>>()
            )
        }
        LeafType::Enum(names) => format!("one of {}", names.join(" ")),
    };
    let kind = match &node.kind {
        NodeKind::Container => "container".to_owned(),
        NodeKind::List { key } => format!("list by {key}"),
        NodeKind::Leaf(leaf_type) => format!("leaf {}", describe_type(leaf_type)),
        NodeKind::LeafList(leaf_type) => format!("leaf-list {}", describe_type(leaf_type)),
    };
    let path = format!("{at}/{}", node.name);
    let mut line = format!("{path} {kind}");
    for (is_set, word) in [
        (node.config, "config"),
        (node.mandatory, "mandatory"),
        (node.presence, "presence"),
    ] {
        line += if is_set { " " } else { "" };
        line += if is_set { word } else { "" };
    }
    let elements = (node.min_elements, node.max_elements);
    if elements != (0, usize::MAX) {
        line += &format!(" entries {:?}", elements);
    }
    writeln!(to, "{line}").unwrap();
    node.children
        .iter()
        .for_each(|inner| write_node(inner, &path, to));
}

#[test]
fn schema_has_the_pinned_nodes() {
    let schema = Schema::shipped().unwrap();
    let mut text = format!("{} {}\n", schema.root.name, schema.namespace);
    schema
        .root
        .children
        .iter()
        .for_each(|node| write_node(node, "", &mut text));
    FORMS.assert_same("nodes.txt", &text);
}

fn engine_view() -> EngineView {
    EngineView {
        state: EndpointState::Ready,
        cores: 8.0,
        threads: 2.5,
        last_report: Some(LoadReport {
            at: 1.8e12,
            share: 0.625,
        }),
        slowdown: 1.25,
        failures: 3,
        outcomes_seen: 20,
        next_probe_at: None,
        full_until: 0.0,
        slow_start_allowance: Some(77.0),
    }
}

/// A ready engine in slow start, an ejected one that drains, and one that is gone.
fn engines() -> [(&'static str, Engine); 3] {
    let view = engine_view();
    let first = Engine {
        id: 0xabc,
        address: "10.1.2.3:9001".into(),
        zone: "a".into(),
        machine_type: "std".into(),
        dedup_domain: 2,
        cells: "n s".into(),
        started_at: 1.75e12,
        in_flight: 4,
        connections: 5,
        view,
    };
    let second = Engine {
        id: 0xdef,
        address: "[fd00::1]:2".into(),
        cells: "".into(),
        view: EngineView {
            state: EndpointState::Draining,
            last_report: None,
            next_probe_at: Some(1.8e12),
            full_until: 1.9e12,
            slow_start_allowance: None,
            ..view
        },
        ..first.clone()
    };
    let third = Engine {
        view: EngineView {
            state: EndpointState::Gone,
            ..view
        },
        ..second.clone()
    };
    [("e1", first), ("e2", second), ("e3", third)]
}

fn classes() -> Vec<Class> {
    let counts = Counts {
        accepted: 1,
        released: 2,
        completed: 3,
        rejected: 4,
        failed: 5,
        cancelled: 6,
        late: 7,
    };
    let view = ClassView {
        waiting: 8,
        threads: 9.5,
        charged_work: 10.25,
        weight: 0.5,
        typical_work: 11.125,
    };
    vec![
        Class {
            name: "lookup".into(),
            in_service: true,
            counts,
            view,
        },
        Class {
            name: "old".into(),
            ..Class::default()
        },
    ]
}

fn snapshot() -> Snapshot {
    Snapshot {
        at: 1.8e12,
        engines: engines()
            .into_iter()
            .map(|(name, engine)| (Arc::from(name), engine))
            .collect(),
        classes: classes(),
        discovery_source: "127.0.0.1:53".into(),
        endpoint_list_serial: 12,
        last_heard_at: 1.8e12 - 1.0,
        connections: 13,
        max_client_connections: 14,
        open_requests: 15,
        buffers_in_use: 16,
        max_buffers: 17,
        started_at: 1.7e12,
        shutting_down: true,
        stage: RecoveryStage {
            name: "cautious",
            held_back_by: "no share of cold engines yet",
        },
    }
}

/// One revision in each state.
fn revisions() -> Vec<RevisionSummary> {
    use RevisionState::{Replaced, RolledBack, Running, Unconfirmed};
    let states = [
        (1, Replaced),
        (2, Running),
        (3, RolledBack),
        (4, Unconfirmed),
    ];
    let revision = |(number, state)| RevisionSummary {
        number,
        author: "CN=op".into(),
        created_at: 1.8e12 + number as f64,
        summary: "/settings/advice".into(),
        state,
        commit_id: (state == Unconfirmed).then(|| "c1".into()),
        confirm_by: (state == Unconfirmed).then_some(1.8e12 + 60_000.0),
    };
    states.map(revision).to_vec()
}

fn fleet() -> Fleet {
    let member = Member {
        name: "g1".into(),
        steady: true,
        last_heard_at: 1.8e12,
        lease_end: 1.8e12 + 3000.0,
        policy_applied: true,
    };
    Fleet {
        name: "north".into(),
        generation: 0xfeed,
        revision: 21,
        lease_end: 1.8e12 + 2000.0,
        steady: false,
        is_voter: true,
        leader: "g1".into(),
        share: Some(Share {
            gateway_count: 3.0,
            is_granted: true,
        }),
        members: vec![
            member.clone(),
            Member {
                name: "g2".into(),
                steady: false,
                policy_applied: false,
                ..member
            },
        ],
    }
}

fn path(text: &str) -> Path {
    Pattern::read(text).unwrap().stem()
}

/// The leaves of the pinned settings and of the state above.
fn all_leaves(schema: &Schema) -> LeafMap {
    let document: Document = serde_json::from_str(&FORMS.text("settings.json")).unwrap();
    let state = state::with_changes(
        &state::process_leaves("n0", "0.1.0"),
        &Snapshot::default(),
        &snapshot(),
    );
    let state = state::with_fleet(&state::with_revisions(&state, revisions().iter()), &fleet());
    schema.settings(&document).unwrap().union(state)
}

#[test]
fn settings_and_state_have_the_pinned_json_and_paths() {
    let schema = Schema::shipped().unwrap();
    let tree = all_leaves(&schema);
    let root = Pattern::read("/").unwrap();
    let json = schema.json(&path("/"), select(&tree, &root));
    FORMS.assert_same("tree.json", &format!("{json:#}\n"));
    let leaves: String = tree
        .iter()
        .map(|(path, value)| format!("{path} {value}\n"))
        .collect();
    FORMS.assert_same("leaves.txt", &leaves);
    // The schema contains a node for every leaf, and accepts the value of the leaf.
    for (path, value) in &tree {
        assert_eq!(
            schema
                .node_at(path)
                .unwrap()
                .value(path, &value.json())
                .as_ref(),
            Ok(value),
            "{path}"
        );
        let read = Pattern::read(&path.to_string()).unwrap();
        assert_eq!(read.stem(), *path);
    }
}

#[test]
fn pinned_settings_are_unchanged_after_conversion_to_a_document() {
    let schema = Schema::shipped().unwrap();
    let text = FORMS.text("settings-tree.json");
    let json = serde_json::from_str(&text).unwrap();
    let leaves = schema.leaves(&path("/settings"), &json).unwrap();
    let document = schema.document(&leaves).unwrap();
    let converted = schema.settings(&document).unwrap();
    assert_eq!(converted, leaves);
    let settings = Pattern::read("/settings").unwrap();
    FORMS.assert_same(
        "settings-tree.json",
        &format!(
            "{:#}\n",
            schema.json(&path("/settings"), select(&converted, &settings))
        ),
    );
}

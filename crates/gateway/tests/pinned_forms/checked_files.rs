//! The files that `check` accepts, and the member that it names when it refuses one.

use crate::command_line::{refusal_of, stdout_of};
use crate::FORMS;
use serde_json::{json, Value};

/// One member of a file that is replaced, or removed, and the text by which the refusal names it.
type InvalidMember = (&'static str, Option<Value>, &'static str);

fn missing(pointer: &'static str, named: &'static str) -> InvalidMember {
    (pointer, None, named)
}

fn replaced(pointer: &'static str, value: Value, named: &'static str) -> InvalidMember {
    (pointer, Some(value), named)
}

fn path_text(name: &str) -> String {
    FORMS.path(name).to_str().unwrap().to_owned()
}

#[test]
fn pinned_configuration_and_operators_files_are_accepted() {
    let config = path_text("told.json");
    let mut printed = stdout_of(&["check", &config]);
    for operator in ["operator.json", "operator-least.json"] {
        printed += &stdout_of(&["check", &config, "--operator", &path_text(operator)]);
    }
    FORMS.assert_same("check.txt", &printed);
}

/// A pinned file with one member replaced, or removed.
fn with_member(name: &str, pointer: &str, value: Option<&Value>) -> String {
    let mut file = FORMS.json(name);
    let (parent, key) = pointer.rsplit_once('/').unwrap();
    let members = file.pointer_mut(parent).unwrap().as_object_mut().unwrap();
    members.remove(key);
    if let Some(value) = value {
        members.insert(key.into(), value.clone());
    }
    file.to_string()
}

fn invalid_management_members() -> Vec<InvalidMember> {
    vec![
        replaced(
            "/managment",
            json!({}),
            "managment: unknown field `managment`",
        ),
        missing("/management", "fleet: "),
        missing("/management/listen", "management: missing field `listen`"),
        replaced(
            "/management/listen",
            json!("here"),
            "management.listen: invalid socket address",
        ),
        replaced("/management/state", json!("s"), "management.state: "),
        replaced("/management/streams", json!(0), "management.streams: "),
        replaced(
            "/management/tls",
            json!({}),
            "management.tls: missing field `certificate`",
        ),
        missing("/management/tls/key", "management.tls: missing field `key`"),
        missing(
            "/management/tls/clients",
            "management.tls: missing field `clients`",
        ),
        replaced(
            "/management/tls/change",
            json!("op"),
            "management.tls.change: invalid type",
        ),
        replaced(
            "/management/tls/read",
            json!("op"),
            "management.tls.read: invalid type",
        ),
    ]
}

fn invalid_cells_fleet_and_recovery_members() -> Vec<InvalidMember> {
    vec![
        missing("/cells/names", "cells: missing field `names`"),
        replaced("/cells/names", json!({"a": -1}), "cells.names.a: "),
        replaced("/cells/shard", json!(3), "cells: /settings/cells/shard: "),
        replaced(
            "/cells/named_by_clients",
            json!(1),
            "cells.named_by_clients: invalid type",
        ),
        replaced(
            "/cells/engines",
            json!({"e": "x"}),
            "cells: /settings/cells/engine[name=e]/cell: ",
        ),
        replaced(
            "/cells/tenants",
            json!({"t": []}),
            "cells: /settings/cells/tenant[name=t]/cell: ",
        ),
        replaced("/cells/without", json!({"lend": 2}), "cells.without.lend: "),
        replaced(
            "/cells/without",
            json!({"other": 2}),
            "cells.without: unknown variant `other`",
        ),
        missing("/fleet/name", "fleet: missing field `name`"),
        missing("/fleet/listen", "fleet: missing field `listen`"),
        missing("/fleet/keepers", "fleet: missing field `keepers`"),
        replaced("/fleet/keepers", json!({}), "fleet.keepers: "),
        replaced("/fleet/lease_ms", json!(999), "fleet.lease_ms: "),
        replaced(
            "/fleet/cut_off",
            json!("other"),
            "fleet.cut_off: unknown variant `other`",
        ),
        replaced("/fleet/cut_off", json!("steady"), "fleet.count: "),
        replaced(
            "/fleet/count",
            json!("other"),
            "fleet.count: unknown variant `other`",
        ),
        missing("/fleet/state", "fleet.state: "),
        missing("/recovery/state", "recovery: missing field `state`"),
        replaced(
            "/recovery/other",
            json!(1),
            "recovery.other: unknown field `other`",
        ),
    ]
}

#[test]
fn invalid_operators_file_is_refused_by_the_pinned_member() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("operator.json");
    let config = path_text("told.json");
    let mut members = invalid_management_members();
    members.extend(invalid_cells_fleet_and_recovery_members());
    for (pointer, value, named) in members {
        let invalid = with_member("operator.json", pointer, value.as_ref());
        std::fs::write(&path, invalid).unwrap();
        let refusal = refusal_of(&["check", &config, "--operator", path.to_str().unwrap()]);
        assert!(refusal.contains(named), "{pointer} {value:?}: {refusal}");
    }
}

fn invalid_configuration_members() -> Vec<InvalidMember> {
    vec![
        missing("/name", "name is missing"),
        missing("/listen", "listen is missing"),
        replaced(
            "/listen",
            json!("here"),
            "listen: \"here\" is not an IP address with a port",
        ),
        replaced(
            "/names",
            json!("there"),
            "names: \"there\" is not an IP address with a port",
        ),
        missing("/seed", "seed is missing"),
        replaced(
            "/seed",
            json!("xyz"),
            "seed: \"xyz\" is not a 64-bit hexadecimal number",
        ),
        missing("/settings", "dcs is missing"),
        missing("/settings/machine_types", "machine_types is missing"),
        missing("/settings/classes", "settings: classes is missing"),
        replaced(
            "/settings/classes/1/semantics",
            json!("x"),
            "settings: classes[1]: semantics: unknown value x, expected one of pure, token, side_effect",
        ),
        missing(
            "/settings/guarantees/cold_from",
            "settings: guarantees.cold_from",
        ),
        missing(
            "/settings/policy_limits/multiplex",
            "settings: policy_limits.multiplex",
        ),
        missing(
            "/known/notices/0/pool/instances/0/instanceId",
            "instanceId is missing",
        ),
        missing(
            "/known/notices/0/pool/instances/0/lifecycle",
            "lifecycle is missing",
        ),
        missing(
            "/known/notices/0/pool/instances/0/hostPort",
            "hostPort is missing",
        ),
    ]
}

#[test]
fn invalid_configuration_file_is_refused_by_the_pinned_member() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("told.json");
    for (pointer, value, named) in invalid_configuration_members() {
        let invalid = with_member("told.json", pointer, value.as_ref());
        std::fs::write(&path, invalid).unwrap();
        let refusal = refusal_of(&["check", path.to_str().unwrap()]);
        assert!(refusal.contains(named), "{pointer} {value:?}: {refusal}");
    }
}

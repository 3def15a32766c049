//! The files that `check` accepts, and the member that it names when it refuses a file.
//!
//! The tests guard against a renamed or newly required member, with which existing files would be refused, and against
//! a refusal that doesn't name the member at fault.

use crate::command_line::{refusal_of, stdout_of};
use crate::FORMS;
use serde_json::{json, Value};

/// A change that makes a file invalid: the JSON pointer of a member, the value that replaces it (`None` removes it),
/// and a text that the refusal must contain.
type InvalidMember = (&'static str, Option<Value>, &'static str);

/// Removes the member.
fn missing_member(pointer: &'static str, refusal_text: &'static str) -> InvalidMember {
    (pointer, None, refusal_text)
}

/// Replaces the value of the member, or adds the member.
fn replaced_member(
    pointer: &'static str,
    value: Value,
    refusal_text: &'static str,
) -> InvalidMember {
    (pointer, Some(value), refusal_text)
}

fn pinned_file_path(name: &str) -> String {
    FORMS.path(name).to_str().unwrap().to_owned()
}

#[test]
fn pinned_configuration_and_operators_files_are_accepted() {
    let config = pinned_file_path("told.json");
    let mut printed = stdout_of(&["check", &config]);
    for operator in ["operator.json", "operator-least.json"] {
        printed += &stdout_of(&["check", &config, "--operator", &pinned_file_path(operator)]);
    }
    FORMS.assert_same("check.txt", &printed);
}

/// The text of a pinned file in which one member is replaced, or removed if `value` is `None`.
fn pinned_file_with_member(name: &str, pointer: &str, value: Option<&Value>) -> String {
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
        replaced_member(
            "/managment",
            json!({}),
            "managment: unknown field `managment`",
        ),
        missing_member("/management", "fleet: "),
        missing_member("/management/listen", "management: missing field `listen`"),
        replaced_member(
            "/management/listen",
            json!("here"),
            "management.listen: invalid socket address",
        ),
        replaced_member("/management/state", json!("s"), "management.state: "),
        replaced_member("/management/streams", json!(0), "management.streams: "),
        replaced_member(
            "/management/tls",
            json!({}),
            "management.tls: missing field `certificate`",
        ),
        missing_member("/management/tls/key", "management.tls: missing field `key`"),
        missing_member(
            "/management/tls/clients",
            "management.tls: missing field `clients`",
        ),
        replaced_member(
            "/management/tls/change",
            json!("op"),
            "management.tls.change: invalid type",
        ),
        replaced_member(
            "/management/tls/read",
            json!("op"),
            "management.tls.read: invalid type",
        ),
    ]
}

fn invalid_cells_fleet_and_recovery_members() -> Vec<InvalidMember> {
    vec![
        missing_member("/cells/names", "cells: missing field `names`"),
        replaced_member("/cells/names", json!({"a": -1}), "cells.names.a: "),
        replaced_member("/cells/shard", json!(3), "cells: /settings/cells/shard: "),
        replaced_member(
            "/cells/named_by_clients",
            json!(1),
            "cells.named_by_clients: invalid type",
        ),
        replaced_member(
            "/cells/engines",
            json!({"e": "x"}),
            "cells: /settings/cells/engine[name=e]/cell: ",
        ),
        replaced_member(
            "/cells/tenants",
            json!({"t": []}),
            "cells: /settings/cells/tenant[name=t]/cell: ",
        ),
        replaced_member("/cells/without", json!({"lend": 2}), "cells.without.lend: "),
        replaced_member(
            "/cells/without",
            json!({"other": 2}),
            "cells.without: unknown variant `other`",
        ),
        missing_member("/fleet/name", "fleet: missing field `name`"),
        missing_member("/fleet/listen", "fleet: missing field `listen`"),
        missing_member("/fleet/keepers", "fleet: missing field `keepers`"),
        replaced_member("/fleet/keepers", json!({}), "fleet.keepers: "),
        replaced_member("/fleet/lease_ms", json!(999), "fleet.lease_ms: "),
        replaced_member(
            "/fleet/cut_off",
            json!("other"),
            "fleet.cut_off: unknown variant `other`",
        ),
        replaced_member("/fleet/cut_off", json!("steady"), "fleet.count: "),
        replaced_member(
            "/fleet/count",
            json!("other"),
            "fleet.count: unknown variant `other`",
        ),
        missing_member("/fleet/state", "fleet.state: "),
        missing_member("/recovery/state", "recovery: missing field `state`"),
        replaced_member(
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
    let config = pinned_file_path("told.json");
    let mut members = invalid_management_members();
    members.extend(invalid_cells_fleet_and_recovery_members());
    for (pointer, value, refusal_text) in members {
        let invalid = pinned_file_with_member("operator.json", pointer, value.as_ref());
        std::fs::write(&path, invalid).unwrap();
        let refusal = refusal_of(&["check", &config, "--operator", path.to_str().unwrap()]);
        assert!(
            refusal.contains(refusal_text),
            "{pointer} {value:?}: {refusal}"
        );
    }
}

fn invalid_configuration_members() -> Vec<InvalidMember> {
    vec![
        missing_member("/name", "name is missing"),
        missing_member("/listen", "listen is missing"),
        replaced_member(
            "/listen",
            json!("here"),
            "listen: \"here\" is not an IP address with a port",
        ),
        replaced_member(
            "/names",
            json!("there"),
            "names: \"there\" is not an IP address with a port",
        ),
        missing_member("/seed", "seed is missing"),
        replaced_member(
            "/seed",
            json!("xyz"),
            "seed: \"xyz\" is not a 64-bit hexadecimal number",
        ),
        missing_member("/settings", "dcs is missing"),
        missing_member("/settings/machine_types", "machine_types is missing"),
        missing_member("/settings/classes", "settings: classes is missing"),
        replaced_member(
            "/settings/classes/1/semantics",
            json!("x"),
            "settings: classes[1]: semantics: unknown value x, expected one of pure, token, side_effect",
        ),
        missing_member(
            "/settings/guarantees/cold_from",
            "settings: guarantees.cold_from",
        ),
        missing_member(
            "/settings/policy_limits/multiplex",
            "settings: policy_limits.multiplex",
        ),
        missing_member(
            "/known/notices/0/pool/instances/0/instanceId",
            "instanceId is missing",
        ),
        missing_member(
            "/known/notices/0/pool/instances/0/lifecycle",
            "lifecycle is missing",
        ),
        missing_member(
            "/known/notices/0/pool/instances/0/hostPort",
            "hostPort is missing",
        ),
    ]
}

#[test]
fn invalid_configuration_file_is_refused_by_the_pinned_member() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("told.json");
    for (pointer, value, refusal_text) in invalid_configuration_members() {
        let invalid = pinned_file_with_member("told.json", pointer, value.as_ref());
        std::fs::write(&path, invalid).unwrap();
        let refusal = refusal_of(&["check", path.to_str().unwrap()]);
        assert!(
            refusal.contains(refusal_text),
            "{pointer} {value:?}: {refusal}"
        );
    }
}

//! The encoding of gNMI paths, extensions and requests.
//!
//! The test guards against a change to the protobuf messages with which existing clients and gateways no longer
//! understand each other.

use crate::managed::{
    commit_extension, commit_with_rollback_after, json_update, parse_path, set_request,
    subscription_request,
};
use crate::FORMS;
use ironstair_gnmi::proto::gnmi;
use ironstair_gnmi::proto::gnmi_ext::{self, commit::Action, extension::Ext, Extension};
use ironstair_pinned_forms::hex;
use prost::Message;
use serde_json::json;

/// The encoded commit extension with the action, in hexadecimal.
fn commit_hex(action: Action) -> String {
    hex(&commit_extension("c1", action)[0].encode_to_vec())
}

fn longer_rollback() -> Action {
    let rollback_duration = Some(prost_types::Duration {
        seconds: 9,
        nanos: 0,
    });
    Action::SetRollbackDuration(gnmi_ext::CommitSetRollbackDuration { rollback_duration })
}

fn master_arbitration() -> Extension {
    let arbitration = gnmi_ext::MasterArbitration {
        role: Some(gnmi_ext::Role { id: "op".into() }),
        election_id: Some(gnmi_ext::Uint128 { high: 1, low: 2 }),
    };
    Extension {
        ext: Some(Ext::MasterArbitration(arbitration)),
    }
}

/// The prefix of a request that concerns the whole fleet.
fn fleet_path() -> gnmi::Path {
    gnmi::Path {
        origin: ironstair_gnmi::FLEET.into(),
        ..Default::default()
    }
}

#[test]
fn paths_and_extensions_of_management_have_the_pinned_bytes() {
    let update = vec![json_update("/settings/advice", json!(70))];
    let set = gnmi::SetRequest {
        prefix: Some(fleet_path()),
        ..set_request(
            update,
            commit_extension("c1", commit_with_rollback_after(60, 0)),
        )
    };
    let get = gnmi::GetRequest {
        path: vec![parse_path("/state/revision[number=3]/who")],
        encoding: gnmi::Encoding::JsonIetf as i32,
        ..Default::default()
    };
    let subscribe =
        subscription_request("/state/engine[name=e1]", gnmi::SubscriptionMode::OnChange);
    let class_path = parse_path("/settings/band[name=lookup]/expected");
    let lines = [
        ("commit", commit_hex(commit_with_rollback_after(60, 5))),
        (
            "confirm",
            commit_hex(Action::Confirm(gnmi_ext::CommitConfirm {})),
        ),
        (
            "cancel",
            commit_hex(Action::Cancel(gnmi_ext::CommitCancel {})),
        ),
        ("set-rollback-duration", commit_hex(longer_rollback())),
        (
            "master-arbitration",
            hex(&master_arbitration().encode_to_vec()),
        ),
        ("path-of-band", hex(&class_path.encode_to_vec())),
        ("path-of-fleet", hex(&fleet_path().encode_to_vec())),
        ("set", hex(&set.encode_to_vec())),
        ("get", hex(&get.encode_to_vec())),
        ("subscribe", hex(&subscribe.encode_to_vec())),
    ];
    let text: String = lines
        .iter()
        .map(|(name, bytes)| format!("{name} {bytes}\n"))
        .collect();
    FORMS.assert_same("gnmi.txt", &text);
}

//! Compares the gateway with yanglint, an independent implementation of YANG: yanglint has to accept the module
//! `ironstair-gateway` and the data of a running gateway, and both have to accept and refuse the same settings. The
//! tests are ignored by default, because they need yanglint; `.ci/run` installs it and runs them.

mod managed;

use ironstair_gnmi::proto::gnmi;
use ironstair_test_cluster::stub::{done_reply, start_engine, Client};
use managed::{
    commit_extension, commit_with_rollback_after, connect_without_tls, current_thread_runtime,
    get_json, json_update, send_set_request, set_request, set_value, start_managed_gateway,
    GnmiClient,
};
use serde_json::{json, Value};
use std::path::{Path, PathBuf};
use std::process::Command;
use tonic::Status;

fn yang_module() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../yang/ironstair-gateway.yang")
}

/// Validates data with yanglint. Returns the errors that it prints, or `None` if it accepts the data.
fn yanglint_errors(dir: &Path, data_type: &str, data: &Value) -> Option<String> {
    let file = dir.join("data.json");
    std::fs::write(&file, data.to_string()).unwrap();
    let output = Command::new("yanglint")
        .args(["-t", data_type])
        .arg(yang_module())
        .arg(&file)
        .output()
        .unwrap();
    (!output.status.success()).then(|| String::from_utf8_lossy(&output.stderr).into_owned())
}

/// A change of one member of the settings.
#[derive(Debug)]
struct Edit {
    /// A JSON pointer into the settings.
    pointer: &'static str,
    /// The new value, or `None` to remove the member.
    value: Option<Value>,
}

impl Edit {
    fn apply(&self, settings: &Value) -> Value {
        let mut edited = settings.clone();
        let (parent, name) = self.pointer.rsplit_once('/').unwrap();
        let Some(Value::Object(members)) = edited.pointer_mut(parent) else {
            panic!("the settings have no object above {}", self.pointer)
        };
        match &self.value {
            Some(value) => members.insert(name.into(), value.clone()),
            None => members.remove(name),
        };
        edited
    }
}

fn removal(pointer: &'static str) -> Edit {
    Edit {
        pointer,
        value: None,
    }
}

fn replacement(pointer: &'static str, value: Value) -> Edit {
    Edit {
        pointer,
        value: Some(value),
    }
}

/// Edits of a class that are refused.
fn refused_class_edits() -> Vec<Edit> {
    vec![
        replacement("/band", json!([])),
        removal("/band/0/expected"),
        replacement("/band/0/expected", json!(0)),
        replacement("/band/0/expected", json!(3_600_001)),
        replacement("/band/0/expected", json!("soon")),
        replacement("/band/0/expected-stretch", json!("1.2345")),
        replacement("/band/0/expected-stretch", json!("-1.0")),
        replacement("/band/0/hard-limit", json!(999)),
        removal("/band/0/hard-limit"),
        replacement("/band/0/payoff", json!("0.0")),
        replacement("/band/0/payoff", json!("1.0000001")),
        removal("/band/0/payoff"),
        replacement("/band/0/threads", json!(0)),
        replacement("/band/0/threads", json!(70_000)),
        replacement("/band/0/repeat", json!("twice")),
        removal("/band/0/repeat"),
        replacement("/band/0/within", json!("zone")),
        replacement("/band/0/window", json!(5)),
        replacement("/band/0/in-order", json!("perhaps")),
        replacement("/band/0/zone", json!(["a", "a"])),
        replacement("/band/0/zone", json!([""])),
        replacement("/band/0/kind", json!(["no name"])),
        replacement("/band/0/name", json!("report")),
        replacement("/band/0/name", json!("1st")),
        removal("/band/0/name"),
        replacement("/band/0/colour", json!("red")),
    ]
}

/// Edits of other settings that are refused.
fn refused_settings_edits() -> Vec<Edit> {
    vec![
        replacement("/gateways", json!(0)),
        removal("/gateways"),
        replacement("/forwards-most", json!(256)),
        replacement("/advice", json!(86_400_001)),
        replacement("/ration", json!({"spare": 1})),
        replacement("/ration", json!({"spare": 1, "share": "11.0", "span": 10})),
        replacement("/ration", json!({"spare": 1, "share": "0.1", "span": 0})),
        removal("/cold"),
        replacement("/cold/from", json!("0.0")),
        replacement("/cold/multiple", json!("0.05")),
        replacement("/cold/span", json!(600_001)),
        replacement("/cold/warm-after", json!(-1)),
        replacement("/log/level", json!("loud")),
        replacement("/log", json!({"colour": true})),
        replacement("/ration", json!({})),
    ]
}

/// Edits of the cells that are refused.
fn refused_cells_edits() -> Vec<Edit> {
    vec![
        replacement("/cells", json!({})),
        replacement("/cells", json!({"cell": []})),
        replacement("/cells", json!({"shard": 1})),
        replacement("/cells", json!({"cell": [{"name": "a"}], "shard": 2})),
        replacement("/cells", json!({"cell": [{"name": "a"}], "shard": 0})),
        replacement("/cells", json!({"cell": [{"name": "a", "weight": "-1.0"}]})),
        replacement("/cells", json!({"cell": [{"name": "a"}, {"name": "a"}]})),
        replacement(
            "/cells",
            json!({"cell": [{"name": "a"}], "engine": [{"name": "e1"}]}),
        ),
        replacement(
            "/cells",
            json!({"cell": [{"name": "a"}], "engine": [{"name": "e1", "cell": "b"}]}),
        ),
        replacement(
            "/cells",
            json!({"cell": [{"name": "a"}], "tenant": [{"name": "t"}]}),
        ),
        replacement(
            "/cells",
            json!({"cell": [{"name": "a"}], "tenant": [{"name": "t", "cell": ["a", "b"]}]}),
        ),
        replacement(
            "/cells",
            json!({"cell": [{"name": "a"}], "turn-back": 5, "lend": "0.5"}),
        ),
        replacement("/cells", json!({"cell": [{"name": "a"}], "lend": "1.5"})),
    ]
}

/// Edits that are accepted.
fn accepted_edits() -> Vec<Edit> {
    vec![
        replacement("/cells", json!({"cell": [{"name": "a"}]})),
        replacement(
            "/cells",
            json!({"cell": [{"name": "a"}, {"name": "b", "weight": "0.0"}], "shard": 2, "lend": "0.5", "engine": [{"name": "e1", "cell": "b"}], "tenant": [{"name": "t 1", "cell": ["b", "a"]}]}),
        ),
        replacement("/band/0/expected", json!(1)),
        replacement("/band/0/payoff", json!("0.000001")),
        replacement("/band/0/expected-stretch", json!("1000.0")),
        removal("/band/0/expected-stretch"),
        removal("/band/0/threads"),
        removal("/advice"),
        replacement("/ration", json!({"spare": 0, "share": "0.0001", "span": 1})),
        removal("/log"),
        replacement("/log/level", json!("debug")),
    ]
}

/// Makes one change that takes effect for good, and one that waits for its confirmation.
async fn make_changes(gnmi_client: &mut GnmiClient) {
    set_value(gnmi_client, "/settings/advice", json!(70))
        .await
        .unwrap();
    let update = vec![json_update("/settings/advice", json!(80))];
    let unconfirmed = set_request(
        update,
        commit_extension("waits", commit_with_rollback_after(600, 0)),
    );
    send_set_request(gnmi_client, unconfirmed).await.unwrap();
}

/// The number of requests of class `lookup` that were answered.
fn settled_lookups(state: &Value) -> &Value {
    let classes = state["band"].as_array().unwrap();
    &classes
        .iter()
        .find(|class| class["name"] == "lookup")
        .unwrap()["settled"]
}

#[test]
#[ignore = "needs yanglint, which .ci/run installs"]
fn yanglint_accepts_the_module_and_the_data_of_a_running_gateway() {
    // The gateway's own encoder and its tests may share an error about YANG, which other management tools then reject.
    let module = Command::new("yanglint").arg(yang_module()).status();
    assert!(module.unwrap().success());
    let (engine_address, _) = start_engine(|line, _| (done_reply(line, "a\tb\tc\n"), false));
    let (gateway, gnmi_address) = start_managed_gateway("yang-data", &[("e1", engine_address)]);
    let mut query_client = Client::connect(&gateway);
    for call in 1..9 {
        query_client.send_call(call);
        query_client.receive_rows();
    }
    current_thread_runtime().block_on(async {
        let mut gnmi_client = connect_without_tls(gnmi_address).await;
        make_changes(&mut gnmi_client).await;

        let all = get_json(&mut gnmi_client, "/").await.unwrap();

        assert_eq!(yanglint_errors(&gateway.dir, "data", &all), None, "{all:#}");
        let state = &all["ironstair-gateway:state"];
        assert_eq!(state["engine"][0]["name"], json!("e1"));
        assert_eq!(state["revision"][1]["outcome"], json!("unconfirmed"));
        assert_eq!(settled_lookups(state), &json!("8"));
        // yanglint does validate the data: it refuses them with one value that the module does not allow.
        let mut invalid = all.clone();
        invalid["ironstair-gateway:state"]["engine"][0]["inflight"] = json!("many");
        assert!(yanglint_errors(&gateway.dir, "data", &invalid).is_some());
    });
}

/// Whether every reason of a refusal is about the state of the running gateway: settings that cannot change in service,
/// or engines that are not ready. The YANG module cannot express these.
fn is_about_the_running_gateway(refusal: &Status) -> bool {
    let runtime_reasons = [
        "cannot change in service",
        "no engine of the target cells is ready",
    ];
    let mut reasons = refusal.message().split("; ");
    reasons.all(|reason| runtime_reasons.iter().any(|text| reason.contains(text)))
}

#[test]
#[ignore = "needs yanglint, which .ci/run installs"]
fn gateway_refuses_and_accepts_the_same_settings_as_yanglint() {
    // A management tool that validates settings against the YANG module must not accept settings that the gateway
    // refuses, or refuse settings that it accepts.
    let (gateway, gnmi_address) = start_managed_gateway("yang-cases", &[]);
    let edits = [
        refused_class_edits(),
        refused_settings_edits(),
        refused_cells_edits(),
        accepted_edits(),
    ];
    current_thread_runtime().block_on(async {
        let mut gnmi_client = connect_without_tls(gnmi_address).await;
        let all = get_json(&mut gnmi_client, "/").await.unwrap();
        let settings = &all["ironstair-gateway:settings"];
        let (mut refused_count, mut accepted_count) = (0, 0);
        for edit in edits.into_iter().flatten() {
            let edited = edit.apply(settings);
            let config = json!({"ironstair-gateway:settings": edited});
            let yanglint_errors_found = yanglint_errors(&gateway.dir, "config", &config);
            let request = gnmi::SetRequest {
                replace: vec![json_update("/settings", edited)],
                ..Default::default()
            };
            let gateway_result = send_set_request(&mut gnmi_client, request).await;
            let is_refused = match &gateway_result {
                Ok(()) => false,
                Err(refusal) => !is_about_the_running_gateway(refusal),
            };
            assert_eq!(
                yanglint_errors_found.is_some(),
                is_refused,
                "{edit:?}: {yanglint_errors_found:?}, {gateway_result:?}"
            );
            match yanglint_errors_found {
                Some(_) => refused_count += 1,
                None => accepted_count += 1,
            }
        }
        assert!(
            refused_count >= 54 && accepted_count >= 11,
            "{refused_count} refused, {accepted_count} accepted"
        );
    });
}

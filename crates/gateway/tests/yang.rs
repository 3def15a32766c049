//! yanglint, an independent implementation of YANG, judges the module `ironstair-gateway` and the data of a running
//! gateway: both have to accept and to refuse the same. `.ci/run` installs yanglint; without it the tests are ignored.

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

/// The errors that yanglint prints about the data, and nothing when it accepts them.
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

/// One member of the settings that is replaced, or removed without a value.
#[derive(Debug)]
struct Edit {
    /// A JSON pointer into the settings.
    pointer: &'static str,
    value: Option<Value>,
}

impl Edit {
    fn apply(&self, settings: &Value) -> Value {
        let mut edited = settings.clone();
        let (parent, name) = self.pointer.rsplit_once('/').unwrap();
        let Some(Value::Object(members)) = edited.pointer_mut(parent) else {
            panic!("{}", self.pointer)
        };
        match &self.value {
            Some(value) => members.insert(name.into(), value.clone()),
            None => members.remove(name),
        };
        edited
    }
}

fn removed(pointer: &'static str) -> Edit {
    Edit {
        pointer,
        value: None,
    }
}

fn replaced(pointer: &'static str, value: Value) -> Edit {
    Edit {
        pointer,
        value: Some(value),
    }
}

/// Edits of a class that are refused.
fn refused_class_edits() -> Vec<Edit> {
    vec![
        replaced("/band", json!([])),
        removed("/band/0/expected"),
        replaced("/band/0/expected", json!(0)),
        replaced("/band/0/expected", json!(3_600_001)),
        replaced("/band/0/expected", json!("soon")),
        replaced("/band/0/expected-stretch", json!("1.2345")),
        replaced("/band/0/expected-stretch", json!("-1.0")),
        replaced("/band/0/hard-limit", json!(999)),
        removed("/band/0/hard-limit"),
        replaced("/band/0/payoff", json!("0.0")),
        replaced("/band/0/payoff", json!("1.0000001")),
        removed("/band/0/payoff"),
        replaced("/band/0/threads", json!(0)),
        replaced("/band/0/threads", json!(70_000)),
        replaced("/band/0/repeat", json!("twice")),
        removed("/band/0/repeat"),
        replaced("/band/0/within", json!("zone")),
        replaced("/band/0/window", json!(5)),
        replaced("/band/0/in-order", json!("perhaps")),
        replaced("/band/0/zone", json!(["a", "a"])),
        replaced("/band/0/zone", json!([""])),
        replaced("/band/0/kind", json!(["no name"])),
        replaced("/band/0/name", json!("report")),
        replaced("/band/0/name", json!("1st")),
        removed("/band/0/name"),
        replaced("/band/0/colour", json!("red")),
    ]
}

/// Edits of other settings that are refused.
fn refused_settings_edits() -> Vec<Edit> {
    vec![
        replaced("/gateways", json!(0)),
        removed("/gateways"),
        replaced("/forwards-most", json!(256)),
        replaced("/advice", json!(86_400_001)),
        replaced("/ration", json!({"spare": 1})),
        replaced("/ration", json!({"spare": 1, "share": "11.0", "span": 10})),
        replaced("/ration", json!({"spare": 1, "share": "0.1", "span": 0})),
        removed("/cold"),
        replaced("/cold/from", json!("0.0")),
        replaced("/cold/multiple", json!("0.05")),
        replaced("/cold/span", json!(600_001)),
        replaced("/cold/warm-after", json!(-1)),
        replaced("/log/level", json!("loud")),
        replaced("/log", json!({"colour": true})),
        replaced("/ration", json!({})),
    ]
}

/// Edits of the cells that are refused.
fn refused_cells_edits() -> Vec<Edit> {
    vec![
        replaced("/cells", json!({})),
        replaced("/cells", json!({"cell": []})),
        replaced("/cells", json!({"shard": 1})),
        replaced("/cells", json!({"cell": [{"name": "a"}], "shard": 2})),
        replaced("/cells", json!({"cell": [{"name": "a"}], "shard": 0})),
        replaced("/cells", json!({"cell": [{"name": "a", "weight": "-1.0"}]})),
        replaced("/cells", json!({"cell": [{"name": "a"}, {"name": "a"}]})),
        replaced(
            "/cells",
            json!({"cell": [{"name": "a"}], "engine": [{"name": "e1"}]}),
        ),
        replaced(
            "/cells",
            json!({"cell": [{"name": "a"}], "engine": [{"name": "e1", "cell": "b"}]}),
        ),
        replaced(
            "/cells",
            json!({"cell": [{"name": "a"}], "tenant": [{"name": "t"}]}),
        ),
        replaced(
            "/cells",
            json!({"cell": [{"name": "a"}], "tenant": [{"name": "t", "cell": ["a", "b"]}]}),
        ),
        replaced(
            "/cells",
            json!({"cell": [{"name": "a"}], "turn-back": 5, "lend": "0.5"}),
        ),
        replaced("/cells", json!({"cell": [{"name": "a"}], "lend": "1.5"})),
    ]
}

/// Edits that are accepted.
fn accepted_edits() -> Vec<Edit> {
    vec![
        replaced("/cells", json!({"cell": [{"name": "a"}]})),
        replaced(
            "/cells",
            json!({"cell": [{"name": "a"}, {"name": "b", "weight": "0.0"}], "shard": 2, "lend": "0.5", "engine": [{"name": "e1", "cell": "b"}], "tenant": [{"name": "t 1", "cell": ["b", "a"]}]}),
        ),
        replaced("/band/0/expected", json!(1)),
        replaced("/band/0/payoff", json!("0.000001")),
        replaced("/band/0/expected-stretch", json!("1000.0")),
        removed("/band/0/expected-stretch"),
        removed("/band/0/threads"),
        removed("/advice"),
        replaced("/ration", json!({"spare": 0, "share": "0.0001", "span": 1})),
        removed("/log"),
        replaced("/log/level", json!("debug")),
    ]
}

/// Makes one change that is in force, and one that waits for its confirmation.
async fn make_changes(client: &mut GnmiClient) {
    set_value(client, "/settings/advice", json!(70))
        .await
        .unwrap();
    let update = vec![json_update("/settings/advice", json!(80))];
    let unconfirmed = set_request(
        update,
        commit_extension("waits", commit_with_rollback_after(600, 0)),
    );
    send_set_request(client, unconfirmed).await.unwrap();
}

fn completed_lookups(state: &Value) -> &Value {
    let classes = state["band"].as_array().unwrap();
    &classes.iter().find(|c| c["name"] == "lookup").unwrap()["settled"]
}

#[test]
#[ignore = "needs yanglint, which .ci/run installs"]
fn yanglint_accepts_the_module_and_the_data_of_a_running_gateway() {
    let module = Command::new("yanglint").arg(yang_module()).status();
    assert!(module.unwrap().success());
    let (at_engine, _) = start_engine(|line, _| (done_reply(line, "a\tb\tc\n"), false));
    let (gateway, at) = start_managed_gateway("yang-data", &[("e1", at_engine)]);
    let mut asker = Client::connect(&gateway);
    for call in 1..9 {
        asker.send_call(call);
        asker.receive_rows();
    }
    current_thread_runtime().block_on(async {
        let mut client = connect_without_tls(at).await;
        make_changes(&mut client).await;

        let all = get_json(&mut client, "/").await.unwrap();

        assert_eq!(yanglint_errors(&gateway.dir, "data", &all), None, "{all:#}");
        let state = &all["ironstair-gateway:state"];
        assert_eq!(state["engine"][0]["name"], json!("e1"));
        assert_eq!(state["revision"][1]["outcome"], json!("unconfirmed"));
        assert_eq!(completed_lookups(state), &json!("8"));
        // yanglint can refuse: the same data with a value that the module does not allow.
        let mut invalid = all.clone();
        invalid["ironstair-gateway:state"]["engine"][0]["inflight"] = json!("many");
        assert!(yanglint_errors(&gateway.dir, "data", &invalid).is_some());
    });
}

/// Whether each reason of a refusal is about the running gateway: terms that are fixed in service, engines that are
/// not ready. The YANG module cannot express these.
fn is_about_the_running_gateway(refusal: &Status) -> bool {
    let of_now = ["cannot change in service", "no engine there is ready"];
    let mut reasons = refusal.message().split("; ");
    reasons.all(|reason| of_now.iter().any(|text| reason.contains(text)))
}

#[test]
#[ignore = "needs yanglint, which .ci/run installs"]
fn gateway_refuses_and_accepts_the_settings_that_yanglint_does() {
    let (gateway, at) = start_managed_gateway("yang-cases", &[]);
    let edits = [
        refused_class_edits(),
        refused_settings_edits(),
        refused_cells_edits(),
        accepted_edits(),
    ];
    current_thread_runtime().block_on(async {
        let mut client = connect_without_tls(at).await;
        let all = get_json(&mut client, "/").await.unwrap();
        let settings = &all["ironstair-gateway:settings"];
        let (mut refused, mut accepted) = (0, 0);
        for edit in edits.into_iter().flatten() {
            let edited = edit.apply(settings);
            let config = json!({"ironstair-gateway:settings": edited});
            let judged = yanglint_errors(&gateway.dir, "config", &config);
            let request = gnmi::SetRequest {
                replace: vec![json_update("/settings", edited)],
                ..Default::default()
            };
            let ours = send_set_request(&mut client, request).await;
            let is_refused = match &ours {
                Ok(()) => false,
                Err(refusal) => !is_about_the_running_gateway(refusal),
            };
            assert_eq!(
                judged.is_some(),
                is_refused,
                "{edit:?}: {judged:?}, {ours:?}"
            );
            match judged {
                Some(_) => refused += 1,
                None => accepted += 1,
            }
        }
        assert!(
            refused >= 54 && accepted >= 11,
            "{refused} refused, {accepted} accepted"
        );
    });
}

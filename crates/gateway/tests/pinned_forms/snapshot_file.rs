//! The snapshot file that a gateway writes for its next process.
//!
//! The test guards against a renamed snapshot file, which the next version of the program would not find.

use crate::managed::start_managed_gateway_with;
use ironstair_test_cluster::cluster::wait_until;
use ironstair_test_cluster::stub::{done_reply, engine_list_answer, start_engine};
use serde_json::json;
use std::path::PathBuf;

#[test]
fn snapshot_is_written_to_the_file_of_the_pinned_name() {
    let (engine_address, _) = start_engine(|line, _| (done_reply(line, "a\tb\tc\n"), false));
    let mut folder = PathBuf::new();
    let engines = [("e1", engine_address)];
    let (gateway, _) = start_managed_gateway_with("pinned-kept", &engines, |operator, dir| {
        folder = dir.join("kept");
        operator["recovery"] = json!({"state": folder});
    });
    let file_names = || -> Vec<String> {
        let all = std::fs::read_dir(&folder).into_iter().flatten().flatten();
        all.map(|entry| entry.file_name().into_string().unwrap())
            .collect()
    };
    let snapshot = || {
        let bytes = std::fs::read(folder.join("gateway.kept")).unwrap();
        ironstair_recovery::decode(&bytes).unwrap()
    };

    *gateway.name_answer.lock().unwrap() = engine_list_answer(2, &[("e1", engine_address, 0)]);
    wait_until("the snapshot file is written", || {
        file_names() == ["gateway.kept"]
    });
    wait_until("the snapshot contains the engine", || {
        snapshot().engines.len() == 1
    });

    let snapshot = snapshot();
    assert_eq!(
        (snapshot.gateway.as_str(), snapshot.ended_cleanly),
        ("n0", false)
    );
    let engine = &snapshot.engines[0];
    assert_eq!(
        (engine.name.as_str(), engine.address, engine.draining),
        ("e1", engine_address, false)
    );
}

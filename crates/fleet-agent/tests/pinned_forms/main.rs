//! Guards against a change of the messages between gateways of one fleet and of the status JSON for operators. The
//! samples under `pinned/` hold each message as protobuf bytes in hex, with its JSON body as text. The tests send each
//! sample request by its full method path to a running listener, which must decode it to the value in `cases` and
//! answer with the sample's bytes. The encoding of the Raft library's messages is pinned in `ironstair-raft-replica`.

mod cases;
mod messages;
mod status;

use ironstair_coordination::record::ChangeProposal;
use serde_json::{json, Value as Json};
use slog::{o, Discard, Logger};
use std::path::Path;

fn read_sample(file: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/pinned")
        .join(file);
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

fn log() -> Logger {
    Logger::root(Discard, o!())
}

/// A policy of the fleet.
fn document(expected: u32) -> Json {
    json!({
        "band": [{"name": "short", "expected": expected, "hard-limit": 1000, "payoff": "1.0", "repeat": "repeatable"}],
        "gateways": 2,
        "forwards-most": 2,
        "cold": {"from": "0.5", "warm-after": 100, "multiple": "2.0", "span": 1000},
    })
}

fn proposal(base_revision: u64, commit: Option<(String, f64)>) -> ChangeProposal<Json> {
    ChangeProposal {
        token: 42,
        author: "operator".into(),
        created_at: 1_700_000_000_000.5,
        summary: "a new limit".into(),
        base_revision,
        document: document(60),
        commit,
    }
}

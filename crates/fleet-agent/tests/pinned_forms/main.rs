//! Pins what gateways of one fleet send to each other, as protobuf bytes in hex with the JSON body in plain text, and
//! the JSON of a fleet's status that an operator is shown. Each sample request is sent by its full method path to the
//! running listener, which must read the value here from it and answer with the sample's bytes. The bytes of the
//! Raft library themselves are pinned by the voter's package.

mod cases;
mod messages;
mod status;

use ironstair_coordination::record::ChangeProposal;
use serde_json::{json, Value as Json};
use slog::{o, Discard, Logger};
use std::path::Path;

fn sample(file: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/pinned")
        .join(file);
    std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

fn log() -> Logger {
    Logger::root(Discard, o!())
}

/// The settings that a fleet agrees on.
fn document(expected: u32) -> Json {
    json!({
        "band": [{"name": "short", "expected": expected, "hard-limit": 1000, "payoff": "1.0", "repeat": "repeatable"}],
        "gateways": 2,
        "forwards-most": 2,
        "cold": {"from": "0.5", "warm-after": 100, "multiple": "2.0", "span": 1000},
    })
}

fn proposal(base_revision: u64, commit: Option<(String, f64)>) -> ChangeProposal<Json> {
    let (who, what) = ("operator".into(), "a new limit".into());
    ChangeProposal {
        token: 42,
        author: who,
        created_at: 1_700_000_000_000.5,
        summary: what,
        base_revision,
        document: document(60),
        commit,
    }
}

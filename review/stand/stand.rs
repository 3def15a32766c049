//! The stand-ins and checks of the three cases: `stand CASE ROOT FOLDER`.

mod case1;
mod case2;
mod case3;
mod common;

use common::{Record, TemporaryFolder};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};

/// What a case needs of its surroundings.
pub struct Setting {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub temporary: PathBuf,
    pub record: Record,
    /// The process id of the gateway that runs now.
    pub gateway_pid: Arc<Mutex<Option<u32>>>,
}

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, folder] = &arguments[..] else {
        eprintln!("usage: stand CASE ROOT FOLDER");
        std::process::exit(2);
    };
    let folder = PathBuf::from(folder);
    let record = Record::create(&folder.join("record.txt"));
    let temporary = TemporaryFolder::create();
    let setting = Setting {
        root: root.into(),
        folder,
        temporary: temporary.0.clone(),
        record: record.clone(),
        gateway_pid: Arc::default(),
    };
    common::start_watchdog(record.clone(), setting.gateway_pid.clone());
    record.line(&format!(
        "start  case {case}, trouble {}",
        common::trouble()
    ));
    let verdict = match case.as_str() {
        "1" => case1::run(&setting),
        "2" => case2::run(&setting),
        "3" => case3::run(&setting),
        _ => Verdict::CouldNotRun,
    };
    let (status, text) = match verdict {
        Verdict::Held => (0, "the rule held"),
        Verdict::Broken => (1, "the rule was broken"),
        Verdict::CouldNotRun => (2, "the case could not run"),
    };
    record.line(&format!("result {text}"));
    println!("{text}");
    drop(temporary);
    std::process::exit(status);
}

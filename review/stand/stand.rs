//! The stand-ins and checks of the three cases: `stand CASE ROOT RECORD`.

mod case1;
mod case2;
mod case3;
mod common;

use common::{Record, TemporaryFolder};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};

/// What a case needs of its surroundings.
pub struct Setting {
    pub root: PathBuf,
    pub temporary: PathBuf,
    pub record: Record,
}

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, record] = &arguments[..] else {
        eprintln!("usage: stand CASE ROOT RECORD");
        std::process::exit(2);
    };
    let record = Record::create(Path::new(record));
    let temporary = TemporaryFolder::create();
    let setting = Setting {
        root: root.into(),
        temporary: temporary.0.clone(),
        record: record.clone(),
    };
    common::start_watchdog(record.clone(), temporary.0.clone());
    record.line(&format!(
        "start  case {case}, trouble {}",
        common::trouble()
    ));
    let run = || match case.as_str() {
        "1" => case1::run(&setting),
        "2" => case2::run(&setting),
        "3" => case3::run(&setting),
        _ => Verdict::CouldNotRun,
    };
    let verdict = catch_unwind(AssertUnwindSafe(run)).unwrap_or(Verdict::CouldNotRun);
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

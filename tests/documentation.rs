//! Checks that every file and function of this repository that the pages name exists.

use std::path::{Path, PathBuf};

/// The pages whose paths are checked.
const PAGES: [&str; 17] = [
    "README.md",
    "CONTRIBUTING.md",
    "docs/architecture.md",
    "docs/assumptions.md",
    "docs/design.md",
    "docs/design/cells.md",
    "docs/design/crossings.md",
    "docs/design/fleet.md",
    "docs/design/management.md",
    "docs/design/recovery.md",
    "docs/migration.md",
    "docs/on-call.md",
    "docs/operate/cells.md",
    "docs/operate/fleet.md",
    "docs/operate/management.md",
    "docs/operate/recovery.md",
    "docs/ROADMAP.md",
];
/// The beginnings of the paths that are checked.
const ROOTS: [&str; 8] = [
    "crates/", "src/", "docs/", "tests/", "deploy/", "yang/", "journal/", ".ci/",
];
/// If fewer paths than this are found, the pages are not parsed correctly.
const LEAST_PATHS: usize = 60;

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

fn read(path: &Path) -> String {
    std::fs::read_to_string(path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

/// The paths that a page names in backticks, each with the function after `::`, if there is one.
fn named_paths(page: &str) -> Vec<(String, Option<String>)> {
    let quoted = page.split('`').skip(1).step_by(2);
    let paths = quoted
        .filter(|text| ROOTS.iter().any(|r| text.starts_with(r)) && !text.contains([' ', '*']));
    let parts = paths.map(|text| match text.split_once("::") {
        Some((path, function)) => (path.to_owned(), Some(function.to_owned())),
        None => (text.to_owned(), None),
    });
    parts.collect()
}

/// Whether the source declares the name, which is `function` or `Type::function`.
fn declares(source: &str, name: &str) -> bool {
    let last = name.rsplit("::").next().unwrap_or(name);
    ["fn ", "struct ", "enum ", "trait ", "const ", "type "]
        .iter()
        .any(|kind| source.contains(&format!("{kind}{last}")))
}

#[test]
fn every_path_that_the_pages_name_is_there() {
    let mut missing = Vec::new();
    let mut found = 0;
    for page in PAGES {
        for (path, function) in named_paths(&read(&root().join(page))) {
            let file = root().join(&path);
            let is_there = match &function {
                Some(function) => file.is_file() && declares(&read(&file), function),
                None => file.exists(),
            };
            found += 1;
            if !is_there {
                missing.push(format!("{page}: {path} {}", function.unwrap_or_default()));
            }
        }
    }
    assert!(
        missing.is_empty(),
        "named and not there:\n{}",
        missing.join("\n")
    );
    assert!(found >= LEAST_PATHS, "only {found} paths found");
}

#[test]
fn a_name_is_found_only_where_it_is_declared() {
    assert!(declares("pub async fn serve(x: u8) {}", "serve"));
    assert!(declares("impl A {\n    fn run(&self) {}\n}", "A::run"));
    assert!(!declares("serve(1);", "serve"));
    let page = "see `crates/a/src/b.rs::run`, `cargo test` and `docs/x.md`";
    let run = ("crates/a/src/b.rs".to_owned(), Some("run".to_owned()));
    assert_eq!(named_paths(page), [run, ("docs/x.md".to_owned(), None)]);
}

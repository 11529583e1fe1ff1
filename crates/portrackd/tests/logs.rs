//! Checks that docs/LOGS.md lists exactly the log events of the gateway daemon.

use std::collections::BTreeSet;
use std::path::Path;

fn sources() -> Vec<String> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = vec![root.join("src/gateway.rs")];
    let parts = ["gateway", "http1", "store"];
    let mut folders = Vec::from(parts.map(|part| root.join("../portrack/src").join(part)));
    while let Some(folder) = folders.pop() {
        let entries = std::fs::read_dir(folder).expect("the gateway's sources");
        for path in entries.map(|entry| entry.expect("a file").path()) {
            if path.is_dir() { folders.push(path) } else { files.push(path) }
        }
    }
    files.iter().map(|file| std::fs::read_to_string(file).expect("readable")).collect()
}

/// Extracts event names: the literal at the end of a log call, or the word after `event=` in a line that is
/// formatted by hand.
fn events_in(source: &str) -> BTreeSet<String> {
    let mut events = BTreeSet::new();
    for rest in source.split(';').skip(1) {
        let Some(literal) = rest.trim_start().strip_prefix('"') else { continue };
        let Some((name, after)) = literal.split_once('"') else { continue };
        let is_event_name = name.chars().all(|c| c.is_ascii_lowercase() || c == '_');
        if is_event_name && after.trim_start().starts_with(')') {
            events.insert(name.to_owned());
        }
    }
    for line in source.split("event=").skip(1) {
        events.insert(line.chars().take_while(|c| c.is_ascii_lowercase() || *c == '_').collect());
    }
    events
}

#[test]
fn documented_log_events_match_the_code() {
    let code: BTreeSet<String> = sources().iter().flat_map(|text| events_in(text)).collect();
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/LOGS.md");
    let page = std::fs::read_to_string(page).expect("the page");
    let rows = page.lines().filter(|line| line.starts_with("| `"));
    let cells = rows.filter_map(|line| line.split('|').nth(1));
    let documented: BTreeSet<String> = cells
        .flat_map(|cell| cell.split(',').map(|name| name.trim().trim_matches('`').to_owned()))
        .collect();
    assert_eq!(documented, code);
}

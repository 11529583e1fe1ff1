//! Pages that hold figures of the code must not drift from it.

use portrack::settings::KEYS;
use std::process::Command;

fn page(name: &str) -> String {
    let file = format!("{}/../../docs/{name}", env!("CARGO_MANIFEST_DIR"));
    std::fs::read_to_string(&file).unwrap_or_else(|e| panic!("{file}: {e}"))
}

#[test]
fn the_capacity_page_has_the_encoders_bytes() {
    let output = Command::new(env!("CARGO_BIN_EXE_portrack-bench"))
        .args(["capacity", "--bytes"])
        .output()
        .unwrap();
    let table = String::from_utf8(output.stdout).unwrap();
    assert!(table.lines().count() > 15, "{table}");
    let page = page("CAPACITY.md");
    for row in table.lines() {
        assert!(page.contains(row), "docs/CAPACITY.md lacks the row {row}");
    }
}

#[test]
fn the_settings_page_has_every_key() {
    let page = page("SETTINGS.md");
    for key in KEYS {
        let row = format!(
            "| `{}` | {} | {} | {} to {} | {} |",
            key.name, key.unit, key.default, key.min, key.max, key.meaning
        );
        assert!(page.contains(&row), "docs/SETTINGS.md lacks the row {row}");
    }
}

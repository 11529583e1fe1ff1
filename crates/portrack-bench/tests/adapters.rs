//! The gateway's placement of adapters against baselines.

use std::process::Command;

fn report() -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_portrack-bench"))
        .args(["adapters", "--seeds", "1", "--seconds", "4"])
        .output()
        .expect("it runs");
    String::from_utf8(output.stdout).expect("text")
}

#[test]
fn the_same_traces_give_the_same_table_and_the_gateway_serves_no_less_than_random_homes() {
    let text = report();
    assert_eq!(text, report(), "fixed seeds");
    let in_time = |policy: &str| -> Vec<f64> {
        let rows = text.lines().filter(|line| line.contains(policy));
        rows.map(|row| {
            row.split('|').nth(5).and_then(|cell| cell.trim().parse().ok()).expect("a share")
        })
        .collect()
    };
    let (ours, random) = (in_time("portrack's gateway"), in_time("LRU, random"));
    assert_eq!((ours.len(), random.len()), (2, 2), "both shapes");
    assert!(ours[0] >= random[0] - 0.02 && ours[1] >= random[1] - 0.02, "{text}");
}

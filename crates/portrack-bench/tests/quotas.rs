//! Ways to count quotas: what the gateway's lets in and refuses.

use std::process::Command;

/// Most in a window over what may be, and the share refused inside the quota, by trouble.
fn figures(nodes: usize, seeds: usize, way: &str) -> Vec<(String, f64, f64)> {
    let output = Command::new(env!("CARGO_BIN_EXE_portrack-bench"))
        .args(["quotas", "--seeds", &seeds.to_string(), "--nodes", &nodes.to_string()])
        .output()
        .expect("it runs");
    let text = String::from_utf8(output.stdout).expect("text");
    let rows = text.lines().filter(|line| line.contains(way));
    let cells = |row: &str| -> Vec<String> {
        row.split('|').map(|cell| cell.trim().trim_end_matches('%').to_owned()).collect()
    };
    let figures = rows.map(cells).map(|cells| {
        let number = |n: usize| cells[n].parse().expect("a number");
        (cells[1].clone(), number(3), number(4))
    });
    figures.collect()
}

/// Equal shares of a quota refused 57% of what a small organisation was allowed on calm days at 72 nodes.
#[test]
fn in_no_window_more_than_allowed_and_little_refused_inside_a_quota_at_any_size() {
    for (nodes, seeds) in [(6, 8), (24, 4), (72, 3), (360, 1)] {
        let figures = figures(nodes, seeds, "accountants of each hall");
        assert_eq!(figures.len(), 10, "all troubles");
        for (trouble, most, refused) in figures {
            assert!(most <= 1.0, "{nodes} nodes, {trouble}: {most} of what may be");
            let bound = match trouble.as_str() {
                "calm" => 0.5,
                "hot organisation" => 3.0,
                _ => 12.0,
            };
            assert!(refused <= bound, "{nodes} nodes, {trouble}: {refused}% refused inside");
        }
    }
}

#[test]
fn other_ways_break_the_bound_or_refuse_more() {
    let calm = |way: &str| figures(72, 2, way)[0].2;
    assert!(calm("equal shares") > 10.0 && calm("shares by demand") > 5.0);
    let most =
        figures(72, 2, "one late count").iter().map(|(_, most, _)| *most).fold(0.0, f64::max);
    assert!(most > 1.0, "{most}");
}

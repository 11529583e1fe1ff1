//! The credit of a day by cause.

use std::path::{Path, PathBuf};
use std::process::Command;

const REPORT: &str = r#"{"G": 0.8, "parts": [["whole day", 0.44, 0.9], ["worst zone", 0.2, 0.99]],
 "prices": [["machines", 3.0, 0.017], ["orders", 9.0, 0.0001]], "breaks": {},
 "windows": [{"name": "0", "n": 10, "late": 2, "refused": 1, "failed": 0, "worth": 0.7},
             {"name": "2", "n": 10, "late": 0, "refused": 0, "failed": 0, "worth": 1.0}]}"#;

const LOG: &str = "\
 1.0 n1 time_ms=1 level=info event=request request=a end=answered adapter=\"\" adapter_state=\"\"
 1.1 n1 time_ms=2 level=info event=request request=b end=not_loaded adapter_state=expected_in_0ms_after_9ms
 1.2 n1 time_ms=3 level=info event=request request=c end=not_loaded adapter_state=expected_in_7ms_after_8ms
 1.3 n1 time_ms=4 level=info event=order server=s end=Busy
";

fn file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("portrack-credit-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("written");
    path
}

/// What the program prints of a report and a log.
fn credit(report: &Path, log: &Path) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_portrack-bench"))
        .arg("credit")
        .arg(report)
        .arg("--log")
        .arg(log)
        .output()
        .expect("it runs");
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[test]
fn losses_come_the_largest_first_and_refusals_are_counted_by_cause() {
    let (report, log) = (file("report.json", REPORT), file("day.log", LOG));
    let text = credit(&report, &log);
    let expected = "\
worth 0.8000; broken rules: none
  0.0440  not earned: whole day (0.900)
  0.0170  price: machines
  0.0020  not earned: worst zone (0.990)
window of second 0: worth 0.700, 2 late, 1 refused, 0 failed of 10
window of second 2: worth 1.000, 0 late, 0 refused, 0 failed of 10
       2  not_loaded, expected_in
";
    assert_eq!(text, expected);
    let _ = (std::fs::remove_file(report), std::fs::remove_file(log));
}

#[test]
fn a_report_that_cannot_be_read_is_named() {
    let report = file("bad.json", "{");
    let output = Command::new(env!("CARGO_BIN_EXE_portrack-bench"))
        .arg("credit")
        .arg(&report)
        .output()
        .expect("it runs");
    assert!(!output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).contains("bad.json"));
    let _ = std::fs::remove_file(report);
}

/// A day of one route: 30 streams of two adapters at two servers, and the loads for them.
fn busy_log() -> String {
    let mut log = String::new();
    for n in 0..30 {
        let (adapter, server) = if n < 20 { ("a1", "s1") } else { ("a2", "s2") };
        let ended = 1_000 + n * 10;
        log.push_str(&format!(
            " 2.0 n1 time_ms={ended} level=info event=request request=r{n} route=chat end=answered \
             server={server} adapter={adapter} adapter_state=\"\" sent_ms=50 first_ms={} \
             pause_ms=40 took_ms=500\n",
            100 + n
        ));
    }
    let order = |at: u64, server: &str, adapter: &str, evicted: &str, cold: bool| {
        format!(
            " 1.0 n2 time_ms={at} level=info event=order server={server} adapter={adapter} \
             version=1 evicted={evicted} cold={cold} end=Done\n"
        )
    };
    log.push_str(&order(400, "s1", "a1", "\"\"", true));
    log.push_str(&order(450, "s2", "a1", "\"\"", true));
    log.push_str(&order(460, "s2", "a2", "a1", true));
    log.push_str(&order(470, "s2", "a1", "a2", false));
    log
}

#[test]
fn the_log_tells_delays_places_and_which_loads_were_needed() {
    let (report, log) = (file("busy.json", REPORT), file("busy.log", &busy_log()));
    let text = credit(&report, &log);
    let expected = "\
route chat: 30 answered; p50/p90 ms: sent after 50/50, first part 65/77 later, longest pause 40/40
     1.0  requests at servers on average, 1 at most
     1.0  places in use on average, 1 at most
     1.0  different adapters in use on average, 1 at most
       2  loads fetched: the first of this version
       1  loads fetched: a copy beside another server's
       1  loads from what the server has at hand
       2  adapters asked for: the least fetches
";
    assert!(text.ends_with(expected), "{text}");
    let _ = (std::fs::remove_file(report), std::fs::remove_file(log));
}

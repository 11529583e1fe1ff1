//! Tests of the settings file of a gateway daemon.

use portrack::gateway::GatewaySettings;
use std::path::Path;

const VALID: &str = r#"node = "n1"
hall = "a"
callers = "10.0.0.1:8000"
readiness = "10.0.0.1:8001"
members = "10.0.0.1:7000"
seeds = ["10.0.0.2:9000"]
store = "10.0.0.9:8142"
some_new_field = { with = "a table" }

[bounds]
retry_slack = 54
stop_within_s = 8
"#;

fn parse(text: &str) -> Result<GatewaySettings, String> {
    GatewaySettings::parse(Path::new("local.toml"), text).map_err(|error| error.to_string())
}

#[test]
fn unknown_fields_are_ignored_and_missing_bounds_have_defaults() {
    let settings = parse(VALID).expect("valid settings");
    assert_eq!(settings.node, "n1");
    assert!((settings.bounds.retry_slack - 54.0).abs() < 1e-9);
    assert_eq!(settings.bounds.order_quiet_ms, 3_000);
    assert_eq!(settings.metrics, None);
}

#[test]
fn the_propagation_bound_is_the_shorter_of_the_two_bounds() {
    let within = |bounds: &str| {
        let settings = parse(&VALID.replace("retry_slack = 54", bounds)).expect("valid settings");
        settings.bounds.news_within().as_millis()
    };
    assert_eq!(within("retry_slack = 54"), 2_000);
    assert_eq!(within("drain_ms = 3000"), 2_000);
    assert_eq!(within("drain_ms = 3000\nconfig_within_ms = 3000"), 3_000);
}

#[test]
fn invalid_settings_are_rejected_with_file_line_and_key() {
    let invalid = [
        (VALID.replace("\"10.0.0.1:8000\"", "\"somewhere\""), "local.toml:3", "callers"),
        (VALID.replace("stop_within_s = 8", "stop_within_s = 0"), "local.toml:12", "stop_within_s"),
        (VALID.replace("retry_slack = 54", "retry_slack = -1"), "local.toml:11", "retry_slack"),
        (VALID.replace("retry_slack = 54", "drain_ms = 0"), "local.toml:11", "drain_ms"),
        (
            VALID.replace("stop_within_s = 8", "config_within_ms = 1"),
            "local.toml:12",
            "config_within_ms",
        ),
        (VALID.replace("store = \"10.0.0.9:8142\"", "store = \"x\""), "local.toml:7", "store"),
        (VALID.replace("node = \"n1\"\n", ""), "local.toml", "node"),
        (VALID.replace("hall = \"a\"", "hall = 3"), "local.toml:2", "hall"),
    ];
    for (text, place, key) in invalid {
        let error = parse(&text).expect_err(key);
        assert!(error.contains(place) && error.contains(key), "{error}");
    }
}

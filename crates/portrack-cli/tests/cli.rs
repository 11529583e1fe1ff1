//! Runs the command line tool against a real daemon.

use portrack_standins::world::{World, WorldConfig};
use std::process::{Command, Output, Stdio};
use std::time::Duration;

/// Runs `portrack` without blocking the daemons of the test process.
async fn portrack(world: &World, args: &[&str]) -> Output {
    let node = world.daemon("a1").operators().to_string();
    let mut command = Command::new(env!("CARGO_BIN_EXE_portrack"));
    command.args(["--node", &node]).args(args);
    let mut child =
        command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().expect("the program starts");
    while child.try_wait().expect("the process can be polled").is_none() {
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    child.wait_with_output().expect("the output can be read")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[actix_rt::test]
async fn operators_can_change_explain_and_audit_settings() {
    let folder = std::env::temp_dir().join(format!("portrack-cli-{}", std::process::id()));
    let config = WorldConfig {
        daemons: vec![1],
        engines: vec![1],
        services: vec![1],
        ..WorldConfig::default()
    };
    let world = World::start(config, folder.clone()).await.unwrap();
    let revision = world.add_adapter("ana", "v1").await;
    assert!(world.settled(revision).await);

    let set =
        portrack(&world, &["set", "fleet/hall:a", "stall_weight", "70", "--why", "rain"]).await;
    assert_eq!(set.status.code(), Some(0), "{}", text(&set.stderr));
    for _ in 0..200 {
        if world.daemon("a1").status().revision > revision {
            break;
        }
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    let explained = portrack(&world, &["explain", "fleet/hall:a", "stall_weight"]).await;
    assert!(text(&explained.stdout).contains("70     percent  fleet/hall:a"), "{explained:?}");

    let bad = portrack(&world, &["set", "fleet", "stall_weight", "700"]).await;
    assert_eq!(bad.status.code(), Some(2));
    assert!(text(&bad.stderr).contains("must lie between 0 and 100"), "{bad:?}");

    let add = ["adapter", "add", "bea", "v1", "--base", "base-7b", "--weights", "store://bea"];
    assert_eq!(portrack(&world, &add).await.status.code(), Some(0));
    let audit = portrack(&world, &["audit", "--last", "2"]).await;
    let trail = text(&audit.stdout);
    assert!(
        trail.contains("fleet/hall:a stall_weight") && trail.contains("adapter bea"),
        "{trail}"
    );
    assert!(trail.contains("rain"), "{trail}");

    let file = folder.join("fleet.toml");
    std::fs::write(&file, "[tree.\"fleet\"]\nqueue_len = 9\n").unwrap();
    let shown = portrack(&world, &["apply", file.to_str().unwrap(), "--dry-run"]).await;
    assert!(text(&shown.stdout).contains("+ fleet queue_len: 9"), "{shown:?}");

    let status = portrack(&world, &["--output", "json", "status"]).await;
    let report: serde_json::Value = serde_json::from_slice(&status.stdout).unwrap();
    assert_eq!(report["node"], "a1");
}

//! Tests of the daemon binary: the check of the settings and the loss of a process.

use portrack_standins::expect;
use portrack_standins::world::{World, WorldConfig};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::Duration;

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("portrackd-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

/// Runs `portrackd --check-settings` on a file with this text.
fn check(name: &str, text: &str) -> Output {
    let folder = folder(name);
    std::fs::write(folder.join("portrackd.toml"), text).unwrap();
    Command::new(env!("CARGO_BIN_EXE_portrackd"))
        .args(["--settings", "portrackd.toml", "--check-settings"])
        .current_dir(folder)
        .output()
        .unwrap()
}

const VALID_SETTINGS: &str = r#"cluster = "c"
node = "a1"
hall = "a"
region = "r"
callers = "127.0.0.1:0"
operators = "127.0.0.1:0"
members = "127.0.0.1:0"
key_file = "keys"

[platform]
key_value = "http://127.0.0.1:1"
node_list = "http://127.0.0.1:1/nodes"
"#;

fn check_error(name: &str, text: &str) -> String {
    let output = check(name, text);
    assert_eq!(output.status.code(), Some(2));
    String::from_utf8(output.stderr).unwrap()
}

#[test]
fn valid_settings_pass_the_check() {
    let output = check("good", VALID_SETTINGS);
    assert_eq!(output.status.code(), Some(0));
}

#[test]
fn invalid_settings_are_reported_with_file_line_and_key() {
    let unknown = VALID_SETTINGS.replace("[platform]", "colour = \"red\"\n\n[platform]");
    insta::assert_snapshot!(check_error("unknown", &unknown), @r#"portrackd: portrackd.toml:10: unknown field `colour`, expected one of `cluster`, `node`, `hall`, `region`, `callers`, `operators`, `members`, `key_file`, `token_file`, `platform`, `peers`, `log`"#);
    let address = VALID_SETTINGS.replace("callers = \"127.0.0.1:0\"", "callers = \"nowhere\"");
    insta::assert_snapshot!(check_error("address", &address), @"portrackd: portrackd.toml:5: callers: invalid socket address syntax");
    let open =
        VALID_SETTINGS.replace("operators = \"127.0.0.1:0\"", "operators = \"0.0.0.0:9090\"");
    insta::assert_snapshot!(check_error("open", &open), @"portrackd: portrackd.toml:6: operators: is not loopback: name a token_file, or bind it to 127.0.0.1");
    let url = VALID_SETTINGS.replace("\"http://127.0.0.1:1\"", "\"ftp://x\"");
    insta::assert_snapshot!(check_error("url", &url), @r#"portrackd: portrackd.toml:11: key_value: "ftp://x" is no http URL"#);
    let name = VALID_SETTINGS.replace("node = \"a1\"", "node = \"a 1\"");
    insta::assert_snapshot!(check_error("name", &name), @"portrackd: portrackd.toml:2: node: a name has letters, digits, '-', '_', '.', not ' '");
}

/// A daemon process, killed on drop.
struct Daemon {
    child: Child,
    callers: SocketAddr,
    members: SocketAddr,
}

impl Daemon {
    fn start(world: &World, folder: &Path, name: &str) -> Self {
        let file = folder.join(format!("{name}.toml"));
        std::fs::write(&file, world.bootstrap_text("a", name, None)).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_portrackd"))
            .arg("--settings")
            .arg(&file)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
        let address = |key: &str| {
            let pair = line.split_whitespace().find_map(|pair| pair.strip_prefix(key));
            pair.unwrap().parse().unwrap()
        };
        let (callers, members) = (address("callers="), address("members="));
        Self { child, callers, members }
    }

    fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

fn client() -> awc::Client {
    awc::Client::builder().timeout(Duration::from_secs(30)).finish()
}

/// Sends a completion; returns the text of the complete response, or the error.
async fn complete(callers: SocketAddr, prompt: String, tokens: usize) -> Result<String, String> {
    let url = format!("http://{callers}/v1/completions");
    let body = json!({ "model": "ana", "prompt": prompt, "max_tokens": tokens });
    let sent = client().post(url).send_json(&body).await;
    let mut response = sent.map_err(|e| e.to_string())?;
    let answer = response.body().await.map_err(|e| e.to_string())?;
    let answer: Value = serde_json::from_slice(&answer).map_err(|e| e.to_string())?;
    let text = answer["choices"][0]["text"].as_str();
    text.map(str::to_owned).ok_or_else(|| answer.to_string())
}

async fn wait_until_served(callers: SocketAddr) {
    for round in 0..200 {
        if complete(callers, format!("up {round}"), 1).await.is_ok() {
            return;
        }
        actix_rt::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("the daemon did not serve within 200 attempts");
}

#[actix_rt::test]
async fn a_killed_daemon_loses_only_its_own_connections() {
    let folder = folder("kill");
    let config = WorldConfig {
        daemons: vec![0],
        engines: vec![2],
        services: vec![1],
        ..WorldConfig::default()
    };
    let world = World::start(config, folder.clone()).await.unwrap();
    world.add_adapter("ana", "v1").await;
    let mut daemons: Vec<Daemon> =
        ["a1", "a2", "a3"].map(|name| Daemon::start(&world, &folder, name)).into();
    let members: Vec<_> = daemons.iter().map(|daemon| daemon.members).collect();
    world.publish_daemons(&[("a1", members[0]), ("a2", members[1]), ("a3", members[2])]);
    for daemon in &daemons {
        wait_until_served(daemon.callers).await;
    }
    let requests: Vec<_> = (0..12)
        .map(|at| {
            let (callers, prompt) = (daemons[at % 3].callers, format!("request {at}"));
            (at, actix_rt::spawn(complete(callers, prompt, 150)))
        })
        .collect();
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    daemons[0].kill();
    for (at, request) in requests {
        let result = request.await.unwrap();
        let prompt = json!(format!("request {at}")).to_string();
        match at % 3 {
            0 => assert!(result.is_err(), "a killed daemon cannot complete a response"),
            _ => assert_eq!(result, Ok(expect::answer("ana@v1", &prompt, 150))),
        }
    }
    for daemon in &daemons[1..] {
        wait_until_served(daemon.callers).await;
    }
    let records = world.engines.iter().map(|(_, engine)| engine.record());
    assert_eq!(records.map(|record| record.unloads_in_use()).sum::<usize>(), 0);
}

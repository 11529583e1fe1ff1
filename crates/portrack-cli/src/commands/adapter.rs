//! `adapter add` and `adapter list`.

use crate::args::{AdapterAdd, AdapterCommand};
use crate::client::Client;
use crate::commands::settings::accepted_text;
use crate::failure::Failure;
use crate::output::{Output, table};
use portrack::settings::{AdapterSpec, Edit, Rule, VersionSpec};
use portrack::types::AdapterName;
use std::collections::BTreeMap;

type Adapters = BTreeMap<AdapterName, AdapterSpec>;

/// Runs a subcommand of `adapter`.
pub async fn adapter(
    client: &Client,
    output: Output,
    command: AdapterCommand,
) -> Result<(), Failure> {
    match command {
        AdapterCommand::Add(args) => add(client, output, args).await,
        AdapterCommand::List(_) => list(client, output).await,
    }
}

fn invalid<E: std::fmt::Display>(what: &'static str) -> impl Fn(E) -> Failure {
    move |e| Failure::Input(format!("{what}: {e}"))
}

async fn add(client: &Client, output: Output, args: AdapterAdd) -> Result<(), Failure> {
    let name: AdapterName = args.name.parse().map_err(invalid("adapter"))?;
    let version = args.version.parse().map_err(invalid("version"))?;
    let base = args.base.parse().map_err(invalid("base"))?;
    let all: Adapters = client.get("/v1/adapters").await?;
    let old = all.get(&name);
    if old.is_some_and(|old| old.versions.contains_key(&version)) {
        let what = format!("{name}@{version} already exists; versions are immutable");
        return Err(Failure::Input(what));
    }
    let expected = serde_json::to_string(&old).expect("settings have string keys only");
    let empty = AdapterSpec { base, versions: BTreeMap::new(), rules: Vec::new() };
    let mut spec = old.cloned().unwrap_or(empty);
    spec.versions.insert(version.clone(), VersionSpec { weights: args.weights });
    spec.rules.push(Rule { version, share: args.share, service: None, hall: None, class: None });
    let edit = Edit::Adapter { name, spec: Some(spec) };
    let accepted = client.change(edit, expected, &args.why).await?;
    output.print(&accepted, accepted_text);
    Ok(())
}

async fn list(client: &Client, output: Output) -> Result<(), Failure> {
    let all: Adapters = client.get("/v1/adapters").await?;
    output.print(&all, |all| {
        let mut rows = vec![["adapter", "base", "versions", "rules"].map(String::from).to_vec()];
        for (name, spec) in all {
            let versions: Vec<&str> = spec.versions.keys().map(|v| v.as_str()).collect();
            rows.push(vec![
                name.to_string(),
                spec.base.to_string(),
                versions.join(","),
                spec.rules.len().to_string(),
            ]);
        }
        table(&rows)
    });
    Ok(())
}

//! `get`, `set`, `unset` and `explain`.

use crate::args::{Explain, Get, Set, Unset};
use crate::client::Client;
use crate::failure::Failure;
use crate::output::{Output, table};
use portrack::settings::{Accepted, Edit, Explanation, KEYS, Overrides, TreePath};
use std::collections::BTreeMap;

type Tree = BTreeMap<TreePath, Overrides>;

/// Shows the keys set at nodes.
pub async fn get(client: &Client, output: Output, args: &Get) -> Result<(), Failure> {
    let mut tree: Tree = client.get("/v1/settings").await?;
    if let Some(path) = &args.path {
        let path = parse(path)?;
        tree.retain(|node, _| *node == path);
    }
    output.print(&tree, text);
    Ok(())
}

fn text(tree: &Tree) -> String {
    let mut rows = Vec::new();
    for (path, set) in tree {
        for key in KEYS {
            if let Some(value) = set.get(key.name) {
                rows.push(vec![
                    path.to_string(),
                    key.name.into(),
                    value.to_string(),
                    key.unit.into(),
                ]);
            }
        }
    }
    table(&rows)
}

fn parse(path: &str) -> Result<TreePath, Failure> {
    path.parse().map_err(|e| Failure::Input(format!("{path}: {e}")))
}

/// Sets a key.
pub async fn set(client: &Client, output: Output, args: Set) -> Result<(), Failure> {
    change(client, output, &args.path, args.key, Some(args.value), &args.why).await
}

/// Unsets a key.
pub async fn unset(client: &Client, output: Output, args: Unset) -> Result<(), Failure> {
    change(client, output, &args.path, args.key, None, &args.why).await
}

async fn change(
    client: &Client,
    output: Output,
    path: &str,
    key: String,
    value: Option<u64>,
    why: &str,
) -> Result<(), Failure> {
    let path = parse(path)?;
    let tree: Tree = client.get("/v1/settings").await?;
    let seen = tree.get(&path).and_then(|set| set.get(&key));
    let expected = seen.map_or_else(|| "null".to_owned(), |seen| seen.to_string());
    let accepted = client.change(Edit::Set { path, key, value }, expected, why).await?;
    output.print(&accepted, accepted_text);
    Ok(())
}

/// Formats an accepted change as one line.
pub fn accepted_text(accepted: &Accepted) -> String {
    let record = &accepted.record;
    format!(
        "accepted at revision {}: {}: {} -> {} (change {})\n",
        accepted.revision, record.what, record.before, record.after, record.id
    )
}

/// Shows where values come from.
pub async fn explain(client: &Client, output: Output, args: &Explain) -> Result<(), Failure> {
    let path = parse(&args.path)?;
    let key = args.key.as_ref().map(|key| format!("&key={key}")).unwrap_or_default();
    let all: Vec<Explanation> = client.get(&format!("/v1/explain?path={path}{key}")).await?;
    output.print(&all, |all| {
        let mut rows =
            vec![["key", "value", "unit", "from", "set on the way"].map(String::from).to_vec()];
        for one in all {
            let chain: Vec<String> = one.chain.iter().map(|(at, v)| format!("{at}={v}")).collect();
            rows.push(vec![
                one.key.clone(),
                one.value.to_string(),
                one.unit.clone(),
                one.from.clone(),
                chain.join(" "),
            ]);
        }
        table(&rows)
    });
    Ok(())
}

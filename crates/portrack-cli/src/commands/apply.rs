//! `apply`.

use crate::args::Apply;
use crate::client::Client;
use crate::commands::settings::accepted_text;
use crate::failure::Failure;
use crate::output::Output;
use portrack::settings::{AdapterSpec, Edit, Overrides, PlainService, SettingsFile, TreePath};
use portrack::types::{AdapterName, ServiceName};
use std::collections::BTreeMap;

/// The settings in force that a settings file can contain.
struct InForce {
    tree: BTreeMap<TreePath, Overrides>,
    services: BTreeMap<ServiceName, PlainService>,
    adapters: BTreeMap<AdapterName, AdapterSpec>,
}

impl InForce {
    async fn read(client: &Client) -> Result<Self, Failure> {
        Ok(Self {
            tree: client.get("/v1/settings").await?,
            services: client.get("/v1/services").await?,
            adapters: client.get("/v1/adapters").await?,
        })
    }

    /// The current value that an edit would replace, as JSON.
    fn value(&self, edit: &Edit) -> String {
        let json = match edit {
            Edit::Set { path, key, .. } => {
                let set = self.tree.get(path).and_then(|set| set.get(key));
                serde_json::to_string(&set)
            }
            Edit::Service { name, .. } => serde_json::to_string(&self.services.get(name)),
            Edit::Adapter { name, .. } => serde_json::to_string(&self.adapters.get(name)),
        };
        json.expect("settings have string keys only")
    }
}

/// Shows the differences, then applies them one by one.
pub async fn apply(client: &Client, output: Output, args: &Apply) -> Result<(), Failure> {
    let file = SettingsFile::read(&args.file).map_err(|e| Failure::Input(e.to_string()))?;
    let in_force = InForce::read(client).await?;
    let differences = file.differences(|edit| in_force.value(edit));
    if output == Output::Text {
        println!("{} differences", differences.len());
        for difference in &differences {
            let what = difference.edit.what();
            println!("- {what}: {}\n+ {what}: {}", difference.before, difference.edit.after());
        }
    }
    if args.dry_run {
        return Ok(());
    }
    for difference in differences {
        let accepted = client.change(difference.edit, difference.before, &args.why).await?;
        output.print(&accepted, accepted_text);
    }
    Ok(())
}

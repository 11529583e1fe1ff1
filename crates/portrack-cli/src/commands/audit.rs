//! `audit`.

use crate::args::Audit;
use crate::client::Client;
use crate::failure::Failure;
use crate::output::{Output, table};
use portrack::audit::AuditRecord;

/// Shows the latest changes that match the filters, oldest first.
pub async fn audit(client: &Client, output: Output, args: &Audit) -> Result<(), Failure> {
    let mut trail: Vec<AuditRecord> = client.get("/v1/audit").await?;
    trail.retain(|record| args.who.as_ref().is_none_or(|who| record.who == *who));
    trail.retain(|record| args.what.as_ref().is_none_or(|what| record.what.contains(what)));
    let skip = trail.len().saturating_sub(args.last);
    let trail = &trail[skip..];
    output.print(&trail, |trail| {
        let head = ["unix ms", "who", "what", "before", "after", "why", "change"];
        let mut rows = vec![head.map(String::from).to_vec()];
        for record in *trail {
            rows.push(vec![
                record.at_unix_ms.to_string(),
                record.who.clone(),
                record.what.clone(),
                truncate(&record.before),
                truncate(&record.after),
                record.why.clone(),
                record.id.to_string(),
            ]);
        }
        table(&rows)
    });
    Ok(())
}

/// Longest value that is shown in full, in characters.
const MAX_VALUE_CHARS: usize = 40;

fn truncate(value: &str) -> String {
    match value.chars().count() > MAX_VALUE_CHARS {
        true => value.chars().take(MAX_VALUE_CHARS).chain("...".chars()).collect(),
        false => value.to_owned(),
    }
}

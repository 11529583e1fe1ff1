//! Resolves a request to an adapter version; done once, on arrival.

use super::core::Core;
use super::prompt::Prompt;
use crate::http::Meta;
use crate::router::Wanted;
use crate::types::{AdapterVersion, Reason, Refusal};
use std::rc::Rc;
use std::time::Duration;

/// Resolves adapter, version and node class by the rules in force.
pub fn resolve(
    core: &Rc<Core>,
    prompt: &Prompt,
    meta: &Meta,
    service: &str,
) -> Result<Wanted, Refusal> {
    let book = core.book.borrow();
    if book.is_empty() {
        let refusal = Refusal::not_run(Reason::NoSettings, "this node has no settings yet");
        return Err(refusal.after(Duration::from_secs(1)));
    }
    let Some(spec) = book.adapters().get(&prompt.adapter) else {
        let detail = format!("no adapter {} is in force", prompt.adapter);
        return Err(Refusal::not_run(Reason::UnknownAdapter, detail));
    };
    let draw = rand::random();
    let hall = core.bootstrap.hall.as_str();
    let Some(route) = spec.route(prompt.version.as_ref(), service, hall, draw) else {
        let detail = format!("no rule lets {} serve this request here", prompt.adapter);
        return Err(Refusal::not_run(Reason::NotAllowed, detail));
    };
    let adapter = AdapterVersion { adapter: prompt.adapter.clone(), version: route.version };
    Ok(Wanted {
        adapter,
        base: spec.base.clone(),
        node_class: route.class,
        class: meta.class,
        prefix: prompt.prefix,
        tried: Vec::new(),
    })
}

//! The platform's node list. Changes become visible after a configurable lag.

use crate::host::host;
use actix_http::StatusCode;
use actix_rt::task::JoinHandle;
use portrack::http;
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

struct State {
    lag: Duration,
    lists: RefCell<VecDeque<(Instant, Value)>>,
    unavailable: Cell<bool>,
}

impl State {
    fn list(&self) -> Value {
        let lists = self.lists.borrow();
        let old = lists.iter().rev().find(|(at, _)| at.elapsed() >= self.lag);
        old.or_else(|| lists.front()).map(|(_, list)| list.clone()).unwrap_or_default()
    }
}

/// A running stand-in node list.
pub struct Nodes {
    address: SocketAddr,
    state: Rc<State>,
    task: JoinHandle<()>,
}

impl Nodes {
    /// Serves a node list on `address` that shows changes after `lag`.
    pub async fn start(address: SocketAddr, lag: Duration) -> std::io::Result<Self> {
        let state =
            Rc::new(State { lag, lists: RefCell::default(), unavailable: Cell::new(false) });
        let shared = state.clone();
        let (address, task) = host(address, move |_| {
            let shared = shared.clone();
            async move {
                match shared.unavailable.get() {
                    true => http::plain(StatusCode::SERVICE_UNAVAILABLE, "unavailable\n"),
                    false => http::json(StatusCode::OK, &shared.list()),
                }
            }
        })
        .await?;
        Ok(Self { address, state, task })
    }

    /// The list's URL.
    pub fn url(&self) -> String {
        format!("http://{}/v1/nodes", self.address)
    }

    /// Replaces the list. Readers see the new one after the lag.
    pub fn set(&self, list: Value) {
        let mut lists = self.state.lists.borrow_mut();
        lists.push_back((Instant::now(), list));
        while lists.len() > 2 && lists[1].0.elapsed() >= self.state.lag {
            lists.pop_front();
        }
    }

    /// Makes the list answer with errors, or available again.
    pub fn set_unavailable(&self, unavailable: bool) {
        self.state.unavailable.set(unavailable);
    }

    /// Stops the listener.
    pub fn stop(&self) {
        self.task.abort();
    }
}

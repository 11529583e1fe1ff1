//! The platform's node list, which lags.

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
    away: Cell<bool>,
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
    /// Starts a list on `address` that shows changes after `lag`.
    pub async fn start(address: SocketAddr, lag: Duration) -> std::io::Result<Self> {
        let state = Rc::new(State { lag, lists: RefCell::default(), away: Cell::new(false) });
        let shared = state.clone();
        let (address, task) = host(address, move |_| {
            let shared = shared.clone();
            async move {
                match shared.away.get() {
                    true => http::plain(StatusCode::SERVICE_UNAVAILABLE, "away\n"),
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

    /// Replaces the list; seen after the lag.
    pub fn set(&self, list: Value) {
        let mut lists = self.state.lists.borrow_mut();
        lists.push_back((Instant::now(), list));
        while lists.len() > 2 && lists[1].0.elapsed() >= self.state.lag {
            lists.pop_front();
        }
    }

    /// Stops answering, or answers again.
    pub fn set_away(&self, away: bool) {
        self.state.away.set(away);
    }

    /// Ends it.
    pub fn stop(&self) {
        self.task.abort();
    }
}

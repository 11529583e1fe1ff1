//! Keeps the settings up to date: two daemons per hall watch the key-value service, the others fetch
//! from daemons with newer settings.

use super::core::Core;
use crate::membership::Member;
use crate::node::Input;
use crate::settings::{Applied, decode};
use crate::store::KvEntry;
use crate::types::NodeName;
use crate::wire::FetchEntry;
use rand::Rng;
use std::rc::Rc;
use std::time::Duration;

/// Timeout of one watch call.
const WATCH_TIMEOUT: Duration = Duration::from_secs(25);
/// Interval between checks for daemons with newer settings.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// A new daemon fetches only from other daemons for this long before it calls the platform.
const PLATFORM_DELAY: Duration = Duration::from_millis(1_500);
/// First pause after a failed call; doubles up to `MAX_RETRY_PAUSE`, with jitter.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Largest pause after failed calls, before jitter.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(10);
/// The platform counts as reachable if it responded within this.
const SEEN_WITHIN: Duration = Duration::from_secs(35);

impl Core {
    /// Applies entries. Returns how many were newer.
    pub(super) fn apply_entries(self: &Rc<Self>, entries: Vec<FetchEntry>) -> usize {
        let mut newer = 0;
        for entry in entries {
            let key = entry.key.clone();
            let accepted_at = decode(&entry.value).map(|e| e.change.at_unix_ms).ok();
            let applied = self.book.borrow_mut().apply(entry);
            match applied {
                Applied::Newer => {
                    newer += 1;
                    self.record_delay(accepted_at);
                }
                Applied::Older => {}
                Applied::Refused(why) => {
                    self.metrics.settings_refused.inc();
                    log::error!(key = key.as_str(), why = why.as_str(); "settings-refused");
                }
            }
        }
        if newer > 0 {
            self.settings_changed();
            let mark = self.book.borrow().mark();
            log::info!(entries = newer, revision = mark.revision; "settings-in-force");
        }
        self.report_settings();
        newer
    }

    fn record_delay(&self, accepted_at: Option<u64>) {
        let Some(accepted_at) = accepted_at else { return };
        let millis = self.unix_ms().saturating_sub(accepted_at);
        self.metrics.settings_delay.observe(Duration::from_millis(millis).as_secs_f64());
    }

    /// Passes the revision of the settings in force to the node, which reports it to the others.
    pub(super) fn report_settings(self: &Rc<Self>) {
        let (mark, platform) = (self.book.borrow().mark(), self.sees_platform());
        self.feed(Input::Settings { mark, platform });
    }

    /// Whether the platform is reachable. Daemons that are no watchers rely on the watchers' reports.
    pub fn sees_platform(&self) -> bool {
        let node = self.node.borrow();
        let seen = self.platform_seen.get();
        if seen.is_some_and(|at| self.now().since(at) < SEEN_WITHIN) {
            return true;
        }
        if node.members().is_watcher() {
            return false;
        }
        let watchers = node.members().watchers();
        let mut members = watchers.iter().filter_map(|watcher| node.members().get(watcher));
        members.any(|member| member.is_reachable() && member.platform)
    }

    /// Watches the settings whenever this daemon is a watcher.
    pub(super) async fn watch_settings(self: Rc<Self>) {
        actix_rt::time::sleep(PLATFORM_DELAY).await;
        let mut listed = false;
        let mut pause = RETRY_PAUSE;
        loop {
            let needed = self.node.borrow().members().is_watcher() || self.book.borrow().is_empty();
            if !needed {
                listed = false;
                actix_rt::time::sleep(CHECK_INTERVAL).await;
                continue;
            }
            let answered = match listed {
                true => self.watch_once().await,
                false => self.list_once().await,
            };
            listed = answered;
            if answered {
                pause = RETRY_PAUSE;
                self.record_platform_response();
                continue;
            }
            let jitter = rand::rng().random_range(0.5..1.5);
            actix_rt::time::sleep(pause.mul_f64(jitter)).await;
            pause = (pause * 2).min(MAX_RETRY_PAUSE);
        }
    }

    async fn list_once(self: &Rc<Self>) -> bool {
        match self.etcd_list().await {
            Some(entries) => {
                self.record_platform_response();
                self.apply_entries(entries);
                true
            }
            None => false,
        }
    }

    async fn etcd_list(&self) -> Option<Vec<FetchEntry>> {
        use crate::store::Kv as _;
        let prefix = self.store.entries_prefix();
        let list = self.etcd.list(&prefix).await.ok()?;
        self.seen_revision.set(list.revision);
        Some(to_entries(&prefix, list.entries))
    }

    async fn watch_once(self: &Rc<Self>) -> bool {
        use crate::store::Kv as _;
        let prefix = self.store.entries_prefix();
        let from = self.seen_revision.get() + 1;
        let Ok(changed) = self.etcd.watch(&prefix, from, WATCH_TIMEOUT).await else { return false };
        let highest = changed.iter().map(|held| held.revision).max();
        self.seen_revision.set(highest.unwrap_or(0).max(self.seen_revision.get()));
        self.apply_entries(to_entries(&prefix, changed));
        true
    }

    /// Reads the settings at once after an accepted change, without waiting for the watch.
    pub(super) fn refresh_soon(self: &Rc<Self>) {
        let core = self.clone();
        actix_rt::spawn(async move {
            core.list_once().await;
        });
    }

    /// Fetches from daemons that have newer settings.
    pub(super) async fn follow_members(self: Rc<Self>) {
        loop {
            if let Some(node) = self.newer_member() {
                self.fetch_from(&node).await;
            }
            actix_rt::time::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Returns a random reachable daemon whose settings differ and have no lower revision.
    fn newer_member(&self) -> Option<NodeName> {
        let node = self.node.borrow();
        let mark = self.book.borrow().mark();
        let better = |member: &&Member| {
            let theirs = member.settings;
            member.is_reachable()
                && theirs.revision > 0
                && theirs.revision >= mark.revision
                && theirs.digest != mark.digest
        };
        let all: Vec<&Member> = node.members().iter().filter(better).collect();
        if all.is_empty() {
            return None;
        }
        let chosen = all[rand::rng().random_range(0..all.len())];
        Some(chosen.peer.node.clone())
    }
}

fn to_entries(prefix: &str, held: Vec<KvEntry>) -> Vec<FetchEntry> {
    let entries = held.into_iter().filter_map(|held| {
        let key = held.key.strip_prefix(prefix)?.to_owned();
        Some(FetchEntry { key, revision: held.revision, value: held.value })
    });
    entries.collect()
}

//! Leases that are not renewed.

use super::state::Store;
use std::cell::RefCell;
use std::time::Duration;
use tokio::sync::Notify;

/// Between looks for lapsed leases.
const LAPSE_EVERY: Duration = Duration::from_millis(100);

/// Ends leases that were not renewed, for ever; wakes those who wait for changes.
pub async fn lapse_always(store: &RefCell<Store>, changed: &Notify) {
    loop {
        actix_rt::time::sleep(LAPSE_EVERY).await;
        if store.borrow_mut().lapse() {
            changed.notify_waiters();
        }
    }
}

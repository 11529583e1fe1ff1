//! Expiry of leases that are not renewed.

use super::state::Store;
use std::cell::RefCell;
use std::time::Duration;
use tokio::sync::Notify;

/// Interval between checks for expired leases.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);

/// Ends expired leases until the task is aborted, and wakes the waiting watches.
pub async fn lapse_always(store: &RefCell<Store>, changed: &Notify) {
    loop {
        actix_rt::time::sleep(EXPIRY_INTERVAL).await;
        if store.borrow_mut().lapse() {
            changed.notify_waiters();
        }
    }
}

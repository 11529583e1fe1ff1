//! The engine's step loop. A step takes longer with more requests in the batch.

use super::state::EngineState;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// Pause between steps while no request runs.
const IDLE_PAUSE: Duration = Duration::from_millis(2);

/// Runs steps until the task is aborted.
pub async fn run(state: Rc<RefCell<EngineState>>) {
    loop {
        let pause = {
            let mut state = state.borrow_mut();
            state.step();
            state.record_status();
            let batch_size = u32::try_from(state.running.len()).unwrap_or(u32::MAX);
            match batch_size {
                0 => IDLE_PAUSE,
                _ => state.config.step + state.config.step_each * batch_size,
            }
        };
        actix_rt::time::sleep(pause).await;
    }
}

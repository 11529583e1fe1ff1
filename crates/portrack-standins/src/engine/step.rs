//! The engine's loop: one step after the other, slower the deeper the batch.

use super::state::EngineState;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// Pause of an idle engine.
const IDLE: Duration = Duration::from_millis(2);

/// Steps for ever.
pub async fn run(state: Rc<RefCell<EngineState>>) {
    loop {
        let pause = {
            let mut state = state.borrow_mut();
            state.step();
            state.remember();
            let depth = u32::try_from(state.running.len()).unwrap_or(u32::MAX);
            match depth {
                0 => IDLE,
                _ => state.config.step + state.config.step_each * depth,
            }
        };
        actix_rt::time::sleep(pause).await;
    }
}

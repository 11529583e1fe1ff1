//! An engine that reads prompts in pieces between the steps of its streams.

use std::collections::VecDeque;

/// Prompt tokens read in a millisecond, and those of one piece.
pub const PACE: f64 = 20.0;
const PIECE: f64 = 2_048.0;
/// A step without reading, in milliseconds, and the steps of one event.
const STEP: f64 = 11.0;
const STEPS: usize = 3;

/// One server.
#[derive(Default)]
pub struct Engine {
    queue: VecDeque<(usize, f64)>,
    now: f64,
    steps: VecDeque<f64>,
    /// Requests there.
    pub running: usize,
    /// Events, and those that waited for more than 300 ms.
    pub events: (u64, u64),
}

impl Engine {
    /// A request arrives.
    pub fn arrive(&mut self, request: usize, tokens: u32) {
        self.queue.push_back((request, tokens.into()));
        self.running += 1;
    }

    /// Reads until then; tells which prompts are read.
    pub fn until(&mut self, now: f64) -> Vec<usize> {
        let mut read = Vec::new();
        while self.now < now {
            let (mut piece, mut took) = (PIECE, STEP);
            while let Some((request, tokens)) = self.queue.front_mut() {
                let part = tokens.min(piece);
                (piece, took, *tokens) = (piece - part, took + part / PACE, *tokens - part);
                if *tokens > 0.0 {
                    break;
                }
                read.push(*request);
                self.queue.pop_front();
            }
            self.now += took;
            self.steps.push_back(took);
            if self.steps.len() > STEPS {
                self.steps.pop_front();
            }
            let pause = self.steps.iter().sum::<f64>() > 300.0;
            self.events = (self.events.0 + 1, self.events.1 + u64::from(pause));
        }
        self.running -= read.len();
        read
    }
}

//! Slots, running requests and the fence of one engine.

use super::config::EngineConfig;
use super::record::{EngineRecord, OrderSeen, RunSeen};
use super::stream::{Shared, StreamState};
use crate::expect;
use portrack::engine::{RunningStatus, Status};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Instant;

/// Ended streams that can still be resumed.
const ENDED_KEPT: usize = 256;

/// Everything that a restart empties, and the record, which it does not.
pub struct EngineState {
    pub config: EngineConfig,
    pub epoch: u64,
    pub fence: u64,
    pub leaving: bool,
    pub loaded: BTreeSet<String>,
    pub loading: BTreeSet<String>,
    pub running: BTreeMap<String, Shared>,
    pub ended: VecDeque<Shared>,
    pub record: EngineRecord,
    pub fail_loads: usize,
    pub break_streams: usize,
    history: VecDeque<(Instant, Status)>,
}

/// A request as it comes.
pub struct Arrival {
    pub id: String,
    pub model: String,
    pub prompt: String,
    pub chat: bool,
    pub tokens: usize,
}

/// Why a request is refused, always before it runs.
pub enum Refused {
    Missing,
    Full,
    Repeated,
}

impl EngineState {
    pub fn new(config: EngineConfig) -> Self {
        Self {
            config,
            epoch: 1,
            fence: 0,
            leaving: false,
            loaded: BTreeSet::new(),
            loading: BTreeSet::new(),
            running: BTreeMap::new(),
            ended: VecDeque::new(),
            record: EngineRecord::default(),
            fail_loads: 0,
            break_streams: 0,
            history: VecDeque::new(),
        }
    }

    /// Accepts a higher fence. `Err` has the highest.
    pub fn raise(&mut self, fence: u64) -> Result<(), u64> {
        let done = fence > self.fence;
        self.note("fence", "", fence, done);
        if !done {
            return Err(self.fence);
        }
        self.fence = fence;
        Ok(())
    }

    fn note(&mut self, kind: &'static str, adapter: &str, fence: u64, done: bool) {
        let in_use = self.running.values().filter(|s| s.model == adapter).count();
        let adapter = adapter.to_owned();
        self.record.orders.push(OrderSeen { kind, adapter, fence, done, in_use });
    }

    fn fenced(&self, fence: u64) -> bool {
        self.config.checks_fence && fence < self.fence
    }

    /// Begins a load. `Err(Some)` is the fence that forbids it, `Err(None)` a failure.
    pub fn begin_load(&mut self, adapter: &str, fence: u64) -> Result<(), Option<u64>> {
        if self.fenced(fence) {
            self.note("load", adapter, fence, false);
            return Err(Some(self.fence));
        }
        let used = self.loaded.len() + self.loading.len();
        let known = self.loaded.contains(adapter) || self.loading.contains(adapter);
        if known || used >= self.config.slots || self.fail_loads > 0 {
            self.fail_loads = self.fail_loads.saturating_sub(1);
            self.note("load", adapter, fence, false);
            return Err(None);
        }
        self.loading.insert(adapter.to_owned());
        self.note("load", adapter, fence, true);
        Ok(())
    }

    /// Ends a load that was begun in `epoch`.
    pub fn end_load(&mut self, adapter: &str, epoch: u64) -> bool {
        if epoch != self.epoch || !self.loading.remove(adapter) {
            return false;
        }
        self.loaded.insert(adapter.to_owned());
        true
    }

    /// Unloads. An engine does as it is told; the record shows whether it should have been.
    pub fn unload(&mut self, adapter: &str, fence: u64) -> Result<(), Option<u64>> {
        if self.fenced(fence) {
            self.note("unload", adapter, fence, false);
            return Err(Some(self.fence));
        }
        let done = self.loaded.contains(adapter);
        self.note("unload", adapter, fence, done);
        self.loaded.remove(adapter);
        if done { Ok(()) } else { Err(None) }
    }

    /// Takes a request into the batch.
    pub fn begin(&mut self, arrival: Arrival) -> Result<Shared, Refused> {
        if !self.loaded.contains(&arrival.model) {
            self.record.misses += 1;
            return Err(Refused::Missing);
        }
        if self.running.contains_key(&arrival.id) {
            return Err(Refused::Repeated);
        }
        if self.running.len() >= self.config.batch {
            self.record.overfull += 1;
            return Err(Refused::Full);
        }
        let Arrival { id, model, prompt, chat, tokens } = arrival;
        let run =
            RunSeen { id: id.clone(), model: model.clone(), prompt: prompt.clone(), whole: false };
        self.record.runs.push(run);
        let stream = StreamState { id, model, prompt, chat, tokens, ..StreamState::default() };
        let stream = Rc::new(stream);
        self.running.insert(stream.id.clone(), stream.clone());
        Ok(stream)
    }

    /// One step: every running request gets a token.
    pub fn step(&mut self) {
        if self.running.is_empty() {
            return;
        }
        self.record.steps += 1;
        self.record.stepped += self.running.len() as u64;
        let streams: Vec<Shared> = self.running.values().cloned().collect();
        for stream in streams {
            self.advance(&stream);
        }
    }

    fn advance(&mut self, stream: &Shared) {
        let at = stream.made.get();
        if at < stream.tokens {
            let text = expect::token(&stream.model, &stream.prompt, at);
            stream.push(chunk(stream, &text, at + 1 == stream.tokens));
            stream.made.set(at + 1);
            return;
        }
        stream.push("[DONE]".to_owned());
        stream.close();
        self.end(&stream.id, true);
    }

    /// Takes a request out of the batch.
    pub fn end(&mut self, id: &str, whole: bool) {
        let Some(stream) = self.running.remove(id) else { return };
        if let Some(run) = self.record.runs.iter_mut().rev().find(|run| run.id == id) {
            run.whole = whole;
        }
        stream.close();
        self.ended.push_back(stream);
        if self.ended.len() > ENDED_KEPT {
            self.ended.pop_front();
        }
    }

    /// The stream of a request that runs or has ended lately.
    pub fn find(&self, id: &str) -> Option<Shared> {
        let ended = || self.ended.iter().find(|stream| stream.id == id);
        self.running.get(id).or_else(ended).cloned()
    }

    /// Restarts empty: streams are cut off, slots and fence are gone.
    pub fn restart(&mut self) {
        for stream in self.running.values() {
            stream.break_off();
        }
        self.running.clear();
        self.ended.clear();
        self.loaded.clear();
        self.loading.clear();
        self.fence = 0;
        self.epoch += 1;
        self.history.clear();
    }

    fn status_now(&self) -> Status {
        let running = self
            .running
            .values()
            .map(|stream| RunningStatus { id: stream.id.clone(), adapter: stream.model.clone() });
        Status {
            epoch: self.epoch,
            fence: self.fence,
            leaving: self.leaving,
            slots: self.config.slots,
            batch: self.config.batch,
            loaded: self.loaded.iter().cloned().collect(),
            loading: self.loading.iter().cloned().collect(),
            running: running.collect(),
        }
    }

    /// Remembers the status of now for lagging reports.
    pub fn remember(&mut self) {
        let now = Instant::now();
        self.history.push_back((now, self.status_now()));
        let lag = self.config.lag;
        while self.history.get(1).is_some_and(|(at, _)| now.duration_since(*at) >= lag) {
            self.history.pop_front();
        }
    }

    /// The status as reported: load and slots of a moment ago, epoch and fence of now.
    pub fn status(&self) -> Status {
        let now = self.status_now();
        let Some((_, old)) = self.history.front() else { return now };
        Status { epoch: now.epoch, fence: now.fence, leaving: now.leaving, ..old.clone() }
    }
}

fn chunk(stream: &StreamState, text: &str, last: bool) -> String {
    let finish = if last { serde_json::json!("stop") } else { serde_json::Value::Null };
    let (object, choice) = match stream.chat {
        true => (
            "chat.completion.chunk",
            serde_json::json!({ "index": 0, "delta": { "content": text }, "finish_reason": finish }),
        ),
        false => (
            "text_completion",
            serde_json::json!({ "index": 0, "text": text, "finish_reason": finish }),
        ),
    };
    let chunk = serde_json::json!({
        "id": stream.id, "object": object, "model": stream.model, "choices": [choice],
    });
    chunk.to_string()
}

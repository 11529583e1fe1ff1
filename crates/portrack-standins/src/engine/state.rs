//! State of one engine: adapter slots, running requests and fence.

use super::config::EngineConfig;
use super::record::{EngineRecord, OrderSeen, RunSeen};
use super::stream::{SharedStream, StreamState};
use crate::expect;
use portrack::engine::{RunningStatus, Status};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Instant;

/// Most ended streams that are retained for resumption.
const MAX_ENDED_STREAMS: usize = 256;

/// The engine's state. A restart clears requests, slots and fence; the record stays.
pub struct EngineState {
    pub config: EngineConfig,
    pub epoch: u64,
    pub fence: u64,
    pub leaving: bool,
    pub loaded: BTreeSet<String>,
    pub loading: BTreeSet<String>,
    pub running: BTreeMap<String, SharedStream>,
    pub ended: VecDeque<SharedStream>,
    pub record: EngineRecord,
    pub fail_loads: usize,
    pub break_streams: usize,
    history: VecDeque<(Instant, Status)>,
}

/// An incoming request.
pub struct NewRequest {
    pub id: String,
    pub model: String,
    pub prompt: String,
    pub chat: bool,
    pub tokens: usize,
}

/// Why a request is rejected. A rejected request has not run.
pub enum Rejection {
    NotLoaded,
    BatchFull,
    DuplicateId,
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

    /// Accepts a fence above the current one. `Err` holds the current fence.
    pub fn raise_fence(&mut self, fence: u64) -> Result<(), u64> {
        let done = fence > self.fence;
        self.record_order("fence", "", fence, done);
        if !done {
            return Err(self.fence);
        }
        self.fence = fence;
        Ok(())
    }

    fn record_order(&mut self, kind: &'static str, adapter: &str, fence: u64, done: bool) {
        let in_use = self.running.values().filter(|s| s.model == adapter).count();
        let adapter = adapter.to_owned();
        self.record.orders.push(OrderSeen { kind, adapter, fence, done, in_use });
    }

    fn is_stale(&self, fence: u64) -> bool {
        self.config.checks_fence && fence < self.fence
    }

    /// Starts a load. `Err(Some)` holds the fence that forbids it, `Err(None)` is a failure.
    pub fn begin_load(&mut self, adapter: &str, fence: u64) -> Result<(), Option<u64>> {
        if self.is_stale(fence) {
            self.record_order("load", adapter, fence, false);
            return Err(Some(self.fence));
        }
        let used = self.loaded.len() + self.loading.len();
        let known = self.loaded.contains(adapter) || self.loading.contains(adapter);
        if known || used >= self.config.slots || self.fail_loads > 0 {
            self.fail_loads = self.fail_loads.saturating_sub(1);
            self.record_order("load", adapter, fence, false);
            return Err(None);
        }
        self.loading.insert(adapter.to_owned());
        self.record_order("load", adapter, fence, true);
        Ok(())
    }

    /// Completes a load that was started in `epoch`. False if the engine has restarted since.
    pub fn end_load(&mut self, adapter: &str, epoch: u64) -> bool {
        if epoch != self.epoch || !self.loading.remove(adapter) {
            return false;
        }
        self.loaded.insert(adapter.to_owned());
        true
    }

    /// Unloads an adapter even while requests use it. The record shows whether any did.
    pub fn unload(&mut self, adapter: &str, fence: u64) -> Result<(), Option<u64>> {
        if self.is_stale(fence) {
            self.record_order("unload", adapter, fence, false);
            return Err(Some(self.fence));
        }
        let done = self.loaded.contains(adapter);
        self.record_order("unload", adapter, fence, done);
        self.loaded.remove(adapter);
        if done { Ok(()) } else { Err(None) }
    }

    /// Adds a request to the batch.
    pub fn start_request(&mut self, request: NewRequest) -> Result<SharedStream, Rejection> {
        if !self.loaded.contains(&request.model) {
            self.record.misses += 1;
            return Err(Rejection::NotLoaded);
        }
        if self.running.contains_key(&request.id) {
            return Err(Rejection::DuplicateId);
        }
        if self.running.len() >= self.config.batch {
            self.record.full_batch += 1;
            return Err(Rejection::BatchFull);
        }
        let NewRequest { id, model, prompt, chat, tokens } = request;
        let run =
            RunSeen { id: id.clone(), model: model.clone(), prompt: prompt.clone(), whole: false };
        self.record.runs.push(run);
        let stream = StreamState { id, model, prompt, chat, tokens, ..StreamState::default() };
        let stream = Rc::new(stream);
        self.running.insert(stream.id.clone(), stream.clone());
        Ok(stream)
    }

    /// Runs one step, which generates a token for every running request.
    pub fn step(&mut self) {
        if self.running.is_empty() {
            return;
        }
        self.record.steps += 1;
        self.record.stepped += self.running.len() as u64;
        let streams: Vec<SharedStream> = self.running.values().cloned().collect();
        for stream in streams {
            self.advance(&stream);
        }
    }

    fn advance(&mut self, stream: &SharedStream) {
        let at = stream.tokens_made.get();
        if at < stream.tokens {
            let text = expect::token(&stream.model, &stream.prompt, at);
            stream.push(chunk(stream, &text, at + 1 == stream.tokens));
            stream.tokens_made.set(at + 1);
            return;
        }
        stream.push("[DONE]".to_owned());
        stream.close();
        self.end_request(&stream.id, true);
    }

    /// Removes a request from the batch. `whole` says whether it ran to its end.
    pub fn end_request(&mut self, id: &str, whole: bool) {
        let Some(stream) = self.running.remove(id) else { return };
        if let Some(run) = self.record.runs.iter_mut().rev().find(|run| run.id == id) {
            run.whole = whole;
        }
        stream.close();
        self.ended.push_back(stream);
        if self.ended.len() > MAX_ENDED_STREAMS {
            self.ended.pop_front();
        }
    }

    /// The stream of a request that is running or among the last to end.
    pub fn find_stream(&self, id: &str) -> Option<SharedStream> {
        let ended = || self.ended.iter().find(|stream| stream.id == id);
        self.running.get(id).or_else(ended).cloned()
    }

    /// Restarts empty: aborts all streams, clears the slots and resets the fence.
    pub fn restart(&mut self) {
        for stream in self.running.values() {
            stream.abort();
        }
        self.running.clear();
        self.ended.clear();
        self.loaded.clear();
        self.loading.clear();
        self.fence = 0;
        self.epoch += 1;
        self.history.clear();
    }

    fn current_status(&self) -> Status {
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

    /// Stores the current status, so that it can be reported after the lag.
    pub fn record_status(&mut self) {
        let now = Instant::now();
        self.history.push_back((now, self.current_status()));
        let lag = self.config.lag;
        while self.history.get(1).is_some_and(|(at, _)| now.duration_since(*at) >= lag) {
            self.history.pop_front();
        }
    }

    /// The reported status: load and slots lag, epoch, fence and leaving are current.
    pub fn status(&self) -> Status {
        let now = self.current_status();
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

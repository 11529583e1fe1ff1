//! Assembles the chunks of a stream into one response for callers that do not stream.

use crate::engine::Endpoint;
use serde_json::{Map, Value, json};

/// A response that is being assembled.
pub struct Answer {
    endpoint: Endpoint,
    head: Option<Map<String, Value>>,
    text: String,
    finish: Value,
    usage: Option<Value>,
}

impl Answer {
    /// Creates an empty response.
    pub fn new(endpoint: Endpoint) -> Self {
        Self { endpoint, head: None, text: String::new(), finish: Value::Null, usage: None }
    }

    /// Adds a chunk. Returns false if it is not a JSON object.
    pub fn push(&mut self, data: &str) -> bool {
        let Ok(Value::Object(mut chunk)) = serde_json::from_str(data) else { return false };
        let choice = chunk.get("choices").and_then(|choices| choices.get(0)).cloned();
        if let Some(choice) = choice {
            let text = match self.endpoint {
                Endpoint::Chat => &choice["delta"]["content"],
                Endpoint::Text => &choice["text"],
            };
            self.text.push_str(text.as_str().unwrap_or_default());
            if !choice["finish_reason"].is_null() {
                self.finish = choice["finish_reason"].clone();
            }
        }
        if let Some(usage) = chunk.remove("usage").filter(|usage| !usage.is_null()) {
            self.usage = Some(usage);
        }
        if self.head.is_none() {
            chunk.remove("choices");
            self.head = Some(chunk);
        }
        true
    }

    /// Returns the response as one JSON object.
    pub fn finish(self) -> Value {
        let mut answer = self.head.unwrap_or_default();
        let (object, choice) = match self.endpoint {
            Endpoint::Chat => (
                "chat.completion",
                json!({ "index": 0, "finish_reason": self.finish,
                        "message": { "role": "assistant", "content": self.text } }),
            ),
            Endpoint::Text => (
                "text_completion",
                json!({ "index": 0, "finish_reason": self.finish, "text": self.text }),
            ),
        };
        answer.insert("object".into(), object.into());
        answer.insert("choices".into(), json!([choice]));
        if let Some(usage) = self.usage {
            answer.insert("usage".into(), usage);
        }
        Value::Object(answer)
    }
}

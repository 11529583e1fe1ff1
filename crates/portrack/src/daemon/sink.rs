//! Destination of the chunks of a response: streamed to the caller, or assembled into one response.

use super::answer::Answer;
use crate::engine::{Chunk, Endpoint};
use crate::types::Refusal;
use bytes::Bytes;
use tokio::sync::mpsc::Sender;

/// Destination of chunks.
pub enum Sink {
    Stream { sender: Sender<Result<Bytes, std::io::Error>>, forwarded: bool },
    Whole(Answer),
}

impl Sink {
    /// Accepts a chunk. Returns false if the caller is gone.
    pub async fn push(&mut self, chunk: Chunk) -> bool {
        match self {
            Self::Whole(answer) => answer.push(&chunk.data),
            Self::Stream { sender, forwarded } => {
                *forwarded = true;
                let line = Bytes::from(format!("data: {}\n\n", chunk.data));
                sender.send(Ok(line)).await.is_ok()
            }
        }
    }

    /// Ends a complete response. Returns false if the caller is gone.
    pub async fn end(&mut self) -> bool {
        match self {
            Self::Whole(_) => true,
            Self::Stream { sender, .. } => {
                sender.send(Ok(Bytes::from_static(b"data: [DONE]\n\n"))).await.is_ok()
            }
        }
    }

    /// Whether any part of the response was forwarded to the caller.
    pub fn forwarded(&self) -> bool {
        matches!(self, Self::Stream { forwarded: true, .. })
    }

    /// Discards an unfinished response: responses of two engines are never combined.
    pub fn restart(&mut self, endpoint: Endpoint) {
        if let Self::Whole(answer) = self {
            *answer = Answer::new(endpoint);
        }
    }

    /// Reports to the caller that the response is not complete.
    pub async fn fail(self, refusal: Refusal, refused: tokio::sync::oneshot::Sender<Refusal>) {
        let Self::Stream { sender, forwarded: true } = self else {
            let _ = refused.send(refusal);
            return;
        };
        let data = serde_json::json!({
            "type": format!("urn:portrack:{}", refusal.reason.as_str()),
            "detail": refusal.detail,
            "run": refusal.run.as_str(),
        });
        let line = Bytes::from(format!("event: error\ndata: {data}\n\n"));
        let _ = sender.send(Ok(line)).await;
    }
}

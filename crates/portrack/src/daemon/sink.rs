//! Where the chunks of an answer go: on to the caller, or together into one answer.

use super::answer::Answer;
use crate::engine::{Chunk, Endpoint};
use crate::types::Refusal;
use bytes::Bytes;
use tokio::sync::mpsc::Sender;

/// Where chunks go.
pub enum Sink {
    Stream { sender: Sender<Result<Bytes, std::io::Error>>, forwarded: bool },
    Whole(Answer),
}

impl Sink {
    /// Takes a chunk. False if nobody wants it any more.
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

    /// Ends a whole answer. False if nobody wants it any more.
    pub async fn end(&mut self) -> bool {
        match self {
            Self::Whole(_) => true,
            Self::Stream { sender, .. } => {
                sender.send(Ok(Bytes::from_static(b"data: [DONE]\n\n"))).await.is_ok()
            }
        }
    }

    /// True once a caller has got a part of the answer.
    pub fn forwarded(&self) -> bool {
        matches!(self, Self::Stream { forwarded: true, .. })
    }

    /// Forgets what an unfinished answer left behind: answers of two engines are never joined.
    pub fn restart(&mut self, endpoint: Endpoint) {
        if let Self::Whole(answer) = self {
            *answer = Answer::new(endpoint);
        }
    }

    /// Tells the caller that there is no whole answer.
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

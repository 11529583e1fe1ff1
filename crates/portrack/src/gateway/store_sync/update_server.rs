//! Answers peers that request updates of the store, follow it, or ask for a connection to a server.

use super::attempts::LARGE_REPLY_BYTES;
use super::catch_up::{CatchUpReply, NO_PROGRESS_TIMEOUT, REPLY_TIMEOUT};
use super::follower_feed::PeerRequest;
use super::frames::{read_frame, write_bytes, write_large_frame};
use super::large_values::{CompressedValue, PartRequest};
use super::mirror::{MirrorItem, MirrorUpdate};
use super::peer_feed::FeedStart;
use crate::gateway::daemon::GatewayDaemon;
use crate::store::StorePosition;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::SemaphorePermit;

/// Pause after a connection could not be accepted.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Timeout for a peer's request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Large replies that are held for peers at a time. Each takes up to 1.5 MB of a small node's memory.
pub(in crate::gateway) const MAX_LARGE_REPLIES: usize = 16;

impl GatewayDaemon {
    /// Answers catch-up and follow requests of peers. Runs forever.
    pub async fn serve_peers(self: Rc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                actix_rt::time::sleep(ACCEPT_RETRY_PAUSE).await;
                continue;
            };
            let daemon = self.clone();
            actix_rt::spawn(async move { daemon.serve_peer(stream).await });
        }
    }

    async fn serve_peer(&self, mut stream: TcpStream) -> Option<()> {
        let reading = read_frame(&mut stream, REQUEST_TIMEOUT);
        let request = actix_rt::time::timeout(REQUEST_TIMEOUT, reading).await.ok()?.ok()?;
        match request {
            PeerRequest::CatchUp { after, era, takes_parts } => {
                let after = StorePosition::new(era, after);
                let writing = self.send_update(&mut stream, after, takes_parts);
                actix_rt::time::timeout(REPLY_TIMEOUT, writing).await.ok()?
            }
            PeerRequest::Follow { after, question: query, era, takes_parts, rests } => {
                let after = StorePosition::new(era, after);
                let start = FeedStart { after, query, takes_parts, rests };
                self.serve_follower(stream, start).await
            }
            PeerRequest::Tunnel(request) => Box::pin(self.serve_tunnel(stream, request)).await,
        }
    }

    /// Sends a peer everything that changed after a position, and then the large values that it
    /// requests.
    async fn send_update(
        &self,
        stream: &mut TcpStream,
        after: StorePosition,
        takes_parts: bool,
    ) -> Option<()> {
        let (mut reply, mut values) = self.update_after(after, takes_parts);
        let mut permit = None;
        if is_large(&reply.items) {
            // Built anew once its turn has come: those that wait hold nothing.
            drop(reply);
            permit = Some(self.wait_for_permit(stream).await?);
            (reply, values) = self.update_after(after, takes_parts);
        }
        write_large_frame(stream, &reply, NO_PROGRESS_TIMEOUT).await?;
        drop((reply, permit));
        for _ in 0..values.len() {
            let request: PartRequest = read_frame(stream, REPLY_TIMEOUT).await.ok()?;
            let value = values.iter().find(|value| value.announcement.digest == request.digest)?;
            let rest = value.bytes.get(request.offset as usize..)?;
            write_bytes(stream, rest, NO_PROGRESS_TIMEOUT).await?;
        }
        Some(())
    }

    /// Everything that changed after a position. Large values are returned apart from the other items
    /// if the peer takes them so.
    fn update_after(
        &self,
        after: StorePosition,
        takes_parts: bool,
    ) -> (CatchUpReply, Vec<CompressedValue>) {
        let MirrorUpdate { position, is_snapshot: whole, mut items, era_delta: step } =
            self.mirror.borrow().update_since(after);
        let StorePosition { era, revision } = position;
        let values = self.separate_large_values(takes_parts, era, &mut items);
        let large = values.iter().map(|value| value.announcement.clone()).collect();
        let proof_age_ms = self.handler.proof.age_for_peer(self.now());
        let kept = self.mirror.borrow().retained_items();
        let reply = CatchUpReply { revision, proof_age_ms, whole, items, era, kept, step, large };
        (reply, values)
    }

    /// Waits until a large reply may be held. Returns `None` if the peer does not wait for it any more.
    async fn wait_for_permit(&self, stream: &TcpStream) -> Option<SemaphorePermit<'_>> {
        let mut byte = [0];
        tokio::select! {
            permit = self.large_replies.acquire() => permit.ok(),
            // The peer sends nothing before it has the reply, so it has closed the connection.
            _ = stream.peek(&mut byte) => None,
        }
    }
}

fn is_large(items: &[MirrorItem]) -> bool {
    let length = |item: &MirrorItem| item.key.len() + item.value.as_ref().map_or(0, Vec::len);
    items.iter().map(length).sum::<usize>() > LARGE_REPLY_BYTES as usize
}

//! Fetches settings from other daemons over TCP, and serves such fetches.

use super::core::Core;
use crate::types::NodeName;
use crate::wire::{FetchReply, FetchRequest, Kind, MAX_FRAME, WireError, open_frame, seal_frame};
use actix_rt::net::{TcpListener, TcpStream};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Timeout of a whole fetch.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Largest request accepted, in bytes.
const MAX_REQUEST: usize = 64 * 1024;
/// Largest number of fetches served concurrently.
const MAX_CONCURRENT_FETCHES: usize = 8;

/// Why a fetch failed.
#[derive(Debug)]
pub enum FetchError {
    /// The connection broke.
    Broken,
    /// The received frame is invalid.
    Wire(WireError),
}

async fn read_frame(stream: &mut TcpStream, limit: usize) -> Result<Vec<u8>, FetchError> {
    let length = stream.read_u32().await.map_err(|_| FetchError::Broken)?;
    let size = usize::try_from(length).unwrap_or(usize::MAX);
    if size > limit {
        return Err(FetchError::Wire(WireError::TooLarge { size, limit }));
    }
    let mut frame = vec![0; size];
    stream.read_exact(&mut frame).await.map_err(|_| FetchError::Broken)?;
    Ok(frame)
}

impl Core {
    fn count_settings(&self, sent: usize, received: usize) {
        let kind = Kind::Settings.as_str();
        self.metrics.bytes_sent.with_label_values(&[kind]).inc_by(sent as u64);
        self.metrics.bytes_received.with_label_values(&[kind]).inc_by(received as u64);
    }

    /// Fetches newer entries from another daemon and applies them. Returns how many were newer.
    pub(super) async fn fetch_from(self: &Rc<Self>, node: &NodeName) -> Option<usize> {
        let address = self.node.borrow().members().get(node)?.peer.address;
        let exchange = actix_rt::time::timeout(TIMEOUT, self.exchange(address)).await;
        match exchange {
            Ok(Ok(reply)) => Some(self.apply_entries(reply.entries)),
            Ok(Err(FetchError::Wire(error))) => {
                self.metrics.dropped.with_label_values(&[error.label()]).inc();
                None
            }
            Ok(Err(FetchError::Broken)) | Err(_) => None,
        }
    }

    async fn exchange(&self, address: SocketAddr) -> Result<FetchReply, FetchError> {
        let mut stream = TcpStream::connect(address).await.map_err(|_| FetchError::Broken)?;
        let request =
            FetchRequest { cluster: self.link.cluster(), have: self.book.borrow().have() };
        let request = seal_frame(&self.link.ring(), &request).map_err(FetchError::Wire)?;
        stream.write_all(&request).await.map_err(|_| FetchError::Broken)?;
        let frame = read_frame(&mut stream, MAX_FRAME).await?;
        self.count_settings(request.len(), frame.len());
        open_frame(&self.link.ring(), &frame).map_err(FetchError::Wire)
    }

    /// Serves fetches until the task is aborted.
    pub(super) async fn serve_fetches(self: Rc<Self>, listener: TcpListener) {
        let serving = Rc::new(std::cell::Cell::new(0_usize));
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            if serving.get() >= MAX_CONCURRENT_FETCHES {
                continue;
            }
            serving.set(serving.get() + 1);
            let (core, serving) = (self.clone(), serving.clone());
            actix_rt::spawn(async move {
                let served = actix_rt::time::timeout(TIMEOUT, core.serve_fetch(stream)).await;
                if let Ok(Err(FetchError::Wire(error))) = served {
                    core.metrics.dropped.with_label_values(&[error.label()]).inc();
                }
                serving.set(serving.get() - 1);
            });
        }
    }

    async fn serve_fetch(&self, mut stream: TcpStream) -> Result<(), FetchError> {
        let frame = read_frame(&mut stream, MAX_REQUEST).await?;
        let request: FetchRequest =
            open_frame(&self.link.ring(), &frame).map_err(FetchError::Wire)?;
        if request.cluster != self.link.cluster() {
            return Err(FetchError::Wire(WireError::Cluster));
        }
        let reply = FetchReply { entries: self.book.borrow().newer_than(&request.have) };
        let reply = seal_frame(&self.link.ring(), &reply).map_err(FetchError::Wire)?;
        stream.write_all(&reply).await.map_err(|_| FetchError::Broken)?;
        self.count_settings(reply.len(), frame.len());
        Ok(())
    }
}

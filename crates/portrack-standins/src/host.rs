//! The HTTP listener of a stand-in.

use actix_http::Request;
use actix_rt::net::TcpListener;
use actix_rt::task::JoinHandle;
use portrack::http::{Limits, Reply, serve};
use std::future::Future;
use std::net::SocketAddr;

/// Serves `handler` on `address` until the handle is aborted.
pub async fn host<A>(
    address: SocketAddr,
    handler: impl Fn(Request) -> A + Clone + 'static,
) -> std::io::Result<(SocketAddr, JoinHandle<()>)>
where
    A: Future<Output = Reply> + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let task = actix_rt::spawn(serve(listener, Limits::default(), handler));
    Ok((address, task))
}

//! The calls to an engine over HTTP.

use super::call::Call;
use super::status::{FenceAnswer, FenceOrder, LoadOrder, Status, UnloadOrder};
use super::{ChunkCheck, ChunkStream};
use crate::http::{certainly_not_sent, headers};
use crate::owner::{Order, OrderKind, OrderResult, Report};
use crate::types::{Class, Fence, ReservationId, Time};
use awc::error::SendRequestError;
use awc::http::StatusCode;
use awc::{Client, Connector};
use serde::Serialize;
use snafu::Snafu;
use std::time::Duration;

/// The longest wait for a status, a fence or a cancellation.
const SHORT: Duration = Duration::from_secs(2);
/// The longest wait for a load or unload.
const ORDER: Duration = Duration::from_secs(60);
/// The longest wait for the head of a stream.
const HEAD: Duration = Duration::from_secs(30);
/// The longest wait for a connection. Below the owners' start margin, which covers it.
const CONNECT: Duration = Duration::from_millis(400);
/// The largest status taken, in bytes.
const MAX_STATUS: usize = 4 * 1024 * 1024;

/// Why a stream did not open.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum OpenError {
    /// The engine certainly did not run the request.
    #[snafu(display("not run: {why}"))]
    NotRun {
        /// What it said.
        why: String,
    },
    /// The engine did not run the request because it does not hold the adapter.
    #[snafu(display("not run: the adapter is not loaded"))]
    Missing,
    /// The request itself is bad; another engine would say the same.
    #[snafu(display("rejected: {why}"))]
    Rejected {
        /// What it said.
        why: String,
    },
    /// It may have run.
    #[snafu(display("no answer: {why}"))]
    Unknown {
        /// What the connection said.
        why: String,
    },
}

/// Why a stream was not resumed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum ResumeError {
    /// The engine does not know the request any more.
    #[snafu(display("the engine does not know the request any more"))]
    Gone,
    /// The connection broke.
    #[snafu(display("the connection broke"))]
    Lost,
}

/// A client of all engines.
#[derive(Clone)]
pub struct EngineClient {
    control: Client,
    streams: Client,
}

impl Default for EngineClient {
    fn default() -> Self {
        Self::new()
    }
}

impl EngineClient {
    /// A client with its own connections.
    pub fn new() -> Self {
        let connector = || Connector::new().timeout(CONNECT).limit(0);
        let control = Client::builder().connector(connector()).timeout(SHORT).finish();
        let streams = Client::builder()
            .connector(connector().conn_keep_alive(Duration::ZERO))
            .timeout(HEAD)
            .disable_redirects()
            .finish();
        Self { control, streams }
    }

    /// The engine's status as a report; `None` if it does not answer.
    pub async fn status(&self, address: &str, asked_at: Time) -> Option<Report> {
        let sent = self.control.get(format!("{address}/v1/status")).send().await;
        let mut response = sent.ok()?;
        if !response.status().is_success() {
            return None;
        }
        let body = response.body().limit(MAX_STATUS).await.ok()?;
        let status: Status = serde_json::from_slice(&body).ok()?;
        Some(status.report(asked_at))
    }

    /// Asks the engine to accept a fence. `Err` carries the higher one that it has; `None` means
    /// that it does not answer.
    pub async fn raise_fence(&self, address: &str, fence: Fence) -> Option<Result<(), Fence>> {
        let order = FenceOrder { fence: fence.0 };
        let sent = self.control.post(format!("{address}/v1/fence")).send_json(&order).await;
        let mut response = sent.ok()?;
        match response.status() {
            StatusCode::OK => Some(Ok(())),
            StatusCode::CONFLICT => {
                let answer: FenceAnswer = response.json().await.ok()?;
                Some(Err(Fence(answer.fence)))
            }
            _ => None,
        }
    }

    /// Gives an order. `weights` is the adapter's place in the weight store.
    pub async fn order(&self, address: &str, order: &Order, weights: &str) -> OrderResult {
        let lora_name = order.adapter.to_string();
        match order.kind {
            OrderKind::Load => {
                let body = LoadOrder { lora_name, lora_path: weights.to_owned() };
                self.give(address, "load_lora_adapter", order.fence, &body).await
            }
            OrderKind::Unload => {
                let body = UnloadOrder { lora_name };
                self.give(address, "unload_lora_adapter", order.fence, &body).await
            }
        }
    }

    async fn give(
        &self,
        address: &str,
        call: &str,
        fence: Fence,
        body: &impl Serialize,
    ) -> OrderResult {
        let request = self.control.post(format!("{address}/v1/{call}")).timeout(ORDER);
        let sent = request.insert_header((headers::FENCE, fence.to_string())).send_json(body);
        let mut response = match sent.await {
            Ok(response) => response,
            Err(error) if certainly_not_sent(&error) => return OrderResult::Failed,
            Err(_) => return OrderResult::Unknown,
        };
        match response.status() {
            status if status.is_success() => OrderResult::Done,
            StatusCode::CONFLICT => match response.json::<FenceAnswer>().await {
                Ok(answer) => OrderResult::Fenced(Fence(answer.fence)),
                Err(_) => OrderResult::Unknown,
            },
            _ => OrderResult::Failed,
        }
    }

    /// Starts a request and opens its stream.
    pub async fn open(&self, address: &str, call: &Call) -> Result<ChunkStream, OpenError> {
        let url = format!("{address}{}", call.endpoint.path());
        let priority = match call.class {
            Class::Interactive => "0",
            Class::Background => "1",
        };
        let request = self
            .streams
            .post(url)
            .insert_header(("content-type", "application/json"))
            .insert_header((headers::REQUEST_ID, call.id.to_string()))
            .insert_header((headers::PRIORITY, priority))
            .insert_header((headers::FENCE, call.fence.to_string()));
        let response = request.send_body(call.body.clone()).await.map_err(open_error)?;
        if response.status().is_success() {
            return Ok(ChunkStream::new(response, ChunkCheck::new(call.id)));
        }
        Err(refused(response).await)
    }

    /// Opens the stream of a request again where `check` stands.
    pub async fn resume(
        &self,
        address: &str,
        check: ChunkCheck,
    ) -> Result<ChunkStream, ResumeError> {
        let url = format!("{address}/v1/streams/{}", check.id());
        let after = format!("{}/{}", check.id(), check.next());
        let request = self.streams.get(url).insert_header(("last-event-id", after));
        let response = request.send().await.map_err(|_| ResumeError::Lost)?;
        if response.status().is_success() {
            return Ok(ChunkStream::new(response, check));
        }
        Err(ResumeError::Gone)
    }

    /// Cancels a request. True once the engine certainly runs nothing of it.
    pub async fn cancel(&self, address: &str, id: ReservationId) -> bool {
        let sent = self.control.delete(format!("{address}/v1/streams/{id}")).send().await;
        sent.is_ok_and(|response| response.status().is_success())
    }
}

/// Only a connection that never came about proves that the request did not run.
fn open_error(error: SendRequestError) -> OpenError {
    let why = error.to_string();
    match certainly_not_sent(&error) {
        true => OpenError::NotRun { why },
        false => OpenError::Unknown { why },
    }
}

/// An engine's refusal counts as not run only if the engine says so.
async fn refused<S>(mut response: awc::ClientResponse<S>) -> OpenError
where
    S: futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>>,
{
    let status = response.status();
    let said_no = response.headers().get(headers::RUN).is_some_and(|value| value == "no");
    let body = response.body().limit(MAX_STATUS).await.unwrap_or_default();
    let why = format!("{status}: {}", String::from_utf8_lossy(&body));
    if !said_no {
        return OpenError::Unknown { why };
    }
    match status {
        StatusCode::NOT_FOUND => OpenError::Missing,
        StatusCode::BAD_REQUEST | StatusCode::UNPROCESSABLE_ENTITY => OpenError::Rejected { why },
        _ => OpenError::NotRun { why },
    }
}

//! HTTP client for engines.

use super::call::Call;
use super::status::{FenceAnswer, FenceOrder, LoadOrder, Status, UnloadOrder};
use super::{ChunkCheck, ChunkStream};
use crate::http::{certainly_not_sent, headers};
use crate::http1::MalformedResponses;
use crate::http1::checked::checked_connector;
use crate::owner::{Order, OrderKind, OrderResult, Report};
use crate::types::{Class, Fence, ReservationId, Time};
use awc::Client;
use awc::error::SendRequestError;
use awc::http::StatusCode;
use serde::Serialize;
use snafu::Snafu;
use std::time::Duration;

/// Timeout of a status, fence or cancel call.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a load or unload.
const ORDER_TIMEOUT: Duration = Duration::from_secs(60);
/// Timeout for the response head of a stream.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout for connecting. Must stay below the owners' start margin, which includes it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Largest status or error body accepted, in bytes.
const MAX_STATUS: usize = 4 * 1024 * 1024;

/// Why a stream did not open.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum OpenError {
    /// The engine certainly did not run the request.
    #[snafu(display("not run: {why}"))]
    NotRun {
        /// The engine's message or the connection error.
        why: String,
    },
    /// The engine did not run the request because the adapter is not loaded.
    #[snafu(display("not run: the adapter is not loaded"))]
    Missing,
    /// The request is invalid; other engines would reject it too.
    #[snafu(display("rejected: {why}"))]
    Rejected {
        /// The engine's status code and message.
        why: String,
    },
    /// The engine may have run the request.
    #[snafu(display("no answer: {why}"))]
    Unknown {
        /// The connection error or the response.
        why: String,
    },
}

/// Why a stream was not resumed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum ResumeError {
    /// The engine no longer knows the request.
    #[snafu(display("the engine does not know the request any more"))]
    Gone,
    /// The connection broke.
    #[snafu(display("the connection broke"))]
    Lost,
}

/// An HTTP client for all engines.
#[derive(Clone)]
pub struct EngineClient {
    control: Client,
    streams: Client,
}

impl Default for EngineClient {
    fn default() -> Self {
        Self::new(&MalformedResponses::default())
    }
}

impl EngineClient {
    /// Creates a client with its own connection pools, which records bytes that are no response.
    pub fn new(malformed: &MalformedResponses) -> Self {
        let connector = || checked_connector(malformed.clone()).timeout(CONNECT_TIMEOUT).limit(0);
        let control = Client::builder().connector(connector()).timeout(CONTROL_TIMEOUT).finish();
        let streams = Client::builder()
            .connector(connector().conn_keep_alive(Duration::ZERO))
            .timeout(HEAD_TIMEOUT)
            .disable_redirects()
            .finish();
        Self { control, streams }
    }

    /// Fetches the engine's status as a report; `None` if there is no valid response.
    pub async fn status(&self, address: &str, asked_at: Time) -> Option<Report> {
        let sent = self.control.get(format!("{address}/v1/status")).send().await;
        let mut response = sent.ok()?.timeout(CONTROL_TIMEOUT);
        if !response.status().is_success() {
            return None;
        }
        let body = response.body().limit(MAX_STATUS).await.ok()?;
        let status: Status = serde_json::from_slice(&body).ok()?;
        Some(status.report(asked_at))
    }

    /// Asks the engine to accept a fence. `Err` contains the higher fence that the engine has already
    /// accepted; `None` means that there is no valid response.
    pub async fn raise_fence(&self, address: &str, fence: Fence) -> Option<Result<(), Fence>> {
        let order = FenceOrder { fence: fence.0 };
        let sent = self.control.post(format!("{address}/v1/fence")).send_json(&order).await;
        let mut response = sent.ok()?.timeout(CONTROL_TIMEOUT);
        match response.status() {
            StatusCode::OK => Some(Ok(())),
            StatusCode::CONFLICT => {
                let answer: FenceAnswer = response.json().await.ok()?;
                Some(Err(Fence(answer.fence)))
            }
            _ => None,
        }
    }

    /// Sends an order. `weights` is the location of the adapter in the weight store.
    pub async fn order(&self, address: &str, order: &Order, weights: &str) -> OrderResult {
        let lora_name = order.adapter.to_string();
        match order.kind {
            OrderKind::Load => {
                let body = LoadOrder { lora_name, lora_path: weights.to_owned() };
                self.send_order(address, "load_lora_adapter", order.fence, &body).await
            }
            OrderKind::Unload => {
                let body = UnloadOrder { lora_name };
                self.send_order(address, "unload_lora_adapter", order.fence, &body).await
            }
        }
    }

    async fn send_order(
        &self,
        address: &str,
        call: &str,
        fence: Fence,
        body: &impl Serialize,
    ) -> OrderResult {
        let request = self.control.post(format!("{address}/v1/{call}")).timeout(ORDER_TIMEOUT);
        let sent = request.insert_header((headers::FENCE, fence.to_string())).send_json(body);
        let mut response = match sent.await {
            Ok(response) => response.timeout(CONTROL_TIMEOUT),
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

    /// Starts a request and opens its response stream.
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
        Err(rejection(response.timeout(CONTROL_TIMEOUT)).await)
    }

    /// Reopens the stream of a request at the position that `check` expects.
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

    /// Cancels a request. Returns true if the engine has certainly stopped running it.
    pub async fn cancel(&self, address: &str, id: ReservationId) -> bool {
        let sent = self.control.delete(format!("{address}/v1/streams/{id}")).send().await;
        sent.is_ok_and(|response| response.status().is_success())
    }
}

/// Only a connection that was never established proves that the request did not run.
fn open_error(error: SendRequestError) -> OpenError {
    let why = error.to_string();
    match certainly_not_sent(&error) {
        true => OpenError::NotRun { why },
        false => OpenError::Unknown { why },
    }
}

/// A rejection counts as not run only if the engine states it in the `portrack-run` header.
async fn rejection<S>(mut response: awc::ClientResponse<S>) -> OpenError
where
    S: futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>>,
{
    let status = response.status();
    let not_run = response.headers().get(headers::RUN).is_some_and(|value| value == "no");
    let body = response.body().limit(MAX_STATUS).await.unwrap_or_default();
    let why = format!("{status}: {}", String::from_utf8_lossy(&body));
    if !not_run {
        return OpenError::Unknown { why };
    }
    match status {
        StatusCode::NOT_FOUND => OpenError::Missing,
        StatusCode::BAD_REQUEST | StatusCode::UNPROCESSABLE_ENTITY => OpenError::Rejected { why },
        _ => OpenError::NotRun { why },
    }
}

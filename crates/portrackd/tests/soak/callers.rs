//! Callers that each keep one connection to a daemon until that connection or the daemon fails.

use crate::fleet::{ADAPTERS, HOST, MODEL};
use portrack_platform_standins::{
    CHAT_PATH, CallerConnection, CallerRequest, HOME_PATH, is_complete_response,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Share of the requests for the most popular adapter.
const POPULAR_SHARE: f64 = 0.6;
/// Longest pause of a caller between two requests, in milliseconds.
const MAX_PAUSE_MS: u64 = 60;
/// The deadline that callers send with each request.
const DEADLINE: Duration = Duration::from_secs(6);
/// Added to the deadline before a caller gives up without a response.
const DEADLINE_MARGIN: Duration = Duration::from_secs(1);
/// Upper bound on the `Retry-After` that a refused caller honours before its next request.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(1_500);

/// Outcome of a request for its caller.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// A complete response to this request.
    Served,
    /// Status 200, but the response is incomplete or belongs to another request.
    Wrong(String),
    /// A status that says that the request was not run.
    Refused(u16),
    /// Any other failure: the request may have run.
    Failed(String),
}

/// A request and its outcome.
#[derive(Debug, Clone)]
pub struct SentRequest {
    /// The id of the attempt.
    pub id: String,
    /// When it was sent.
    pub sent: Instant,
    /// How the request ended.
    pub outcome: Outcome,
}

/// Callers that send requests until they are stopped.
#[derive(Clone, Default)]
pub struct Callers {
    requests: Rc<RefCell<Vec<SentRequest>>>,
    stopped: Rc<Cell<bool>>,
    running: Rc<Cell<usize>>,
    /// Share of the requests that only one region may serve.
    home_share: Rc<Cell<f64>>,
    /// Number of adapters requested beyond the usual ones.
    more_adapters: Rc<Cell<usize>>,
}

impl Callers {
    /// Sets the share of requests that only one region may serve.
    pub fn set_home_share(&self, share: f64) {
        self.home_share.set(share);
    }

    /// Sets how many adapters are requested beyond the usual ones.
    pub fn set_more_adapters(&self, adapters: usize) {
        self.more_adapters.set(adapters);
    }

    /// Starts callers, distributed over the daemons.
    pub fn start(&self, seed: u64, callers: usize, daemons: &[SocketAddr]) {
        for n in 0..callers {
            let (callers, daemons) = (self.clone(), daemons.to_vec());
            let random = SmallRng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(n as u64));
            self.running.set(self.running.get() + 1);
            actix_rt::spawn(async move {
                callers.run_caller(n, daemons, random).await;
                callers.running.set(callers.running.get() - 1);
            });
        }
    }

    /// Stops all callers, waits for their last responses and returns all requests.
    pub async fn stop(&self) -> Vec<SentRequest> {
        self.stopped.set(true);
        while self.running.get() > 0 {
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
        self.requests.borrow().clone()
    }

    async fn run_caller(&self, n: usize, daemons: Vec<SocketAddr>, mut random: SmallRng) {
        let mut daemon = n % daemons.len();
        let mut connection = None;
        let mut number = 0;
        while !self.stopped.get() {
            let popular = random.random_bool(POPULAR_SHARE);
            let adapter = if popular {
                1
            } else {
                random.random_range(2..=ADAPTERS + self.more_adapters.get())
            };
            let id = format!("c{n}r{number}");
            number += 1;
            let sent = Instant::now();
            let path =
                if random.random_bool(self.home_share.get()) { HOME_PATH } else { CHAT_PATH };
            let (outcome, retry) =
                send_request(&mut connection, daemons[daemon], &id, path, adapter).await;
            let has_failed = matches!(outcome, Outcome::Failed(_));
            self.requests.borrow_mut().push(SentRequest { id, sent, outcome });
            if has_failed {
                daemon = (daemon + 1) % daemons.len();
            }
            let pause = Duration::from_millis(random.random_range(0..MAX_PAUSE_MS));
            actix_rt::time::sleep(pause + retry.unwrap_or_default().min(MAX_RETRY_AFTER)).await;
        }
    }
}

/// Sends a request; returns its outcome and the `Retry-After` of the response. The connection is kept
/// for the next request unless it failed or the daemon closes it.
async fn send_request(
    kept_connection: &mut Option<CallerConnection>,
    daemon: SocketAddr,
    id: &str,
    path: &str,
    adapter: usize,
) -> (Outcome, Option<Duration>) {
    let request = CallerRequest {
        host: HOST,
        path: &format!("{path}x"),
        id,
        model: MODEL,
        adapter: &format!("a{adapter}"),
        timeout: DEADLINE,
        key: None,
    };
    let exchange = async {
        let mut connection = match kept_connection.take() {
            Some(connection) => connection,
            None => CallerConnection::open(daemon).await?,
        };
        let answer = connection.send(&request).await?;
        *kept_connection = Some(connection).filter(|_| !answer.closes());
        std::io::Result::Ok(answer)
    };
    let answer = match actix_rt::time::timeout(DEADLINE + DEADLINE_MARGIN, exchange).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) => return (Outcome::Failed(error.to_string()), None),
        Err(_) => return (Outcome::Failed("no response within the deadline".into()), None),
    };
    let retry = answer.retry_after();
    let outcome = match answer.status {
        200 if is_complete_response(id, &answer.body) => Outcome::Served,
        200 => Outcome::Wrong(answer.body),
        status if answer.is_refusal() => Outcome::Refused(status),
        status => Outcome::Failed(status.to_string()),
    };
    (outcome, retry)
}

//! Callers that keep their connections to one daemon for as long as its process lives.

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

/// Of the requests, this share asks for the most popular adapter.
const POPULAR: f64 = 0.6;
/// The longest pause of a caller between two requests, in milliseconds.
const PAUSE_MS: u64 = 60;
/// How long callers wait for an answer, as they tell the daemon.
const PATIENCE: Duration = Duration::from_secs(6);
/// Added to that before a caller gives up by itself.
const SLACK: Duration = Duration::from_secs(1);
/// A caller that was refused waits no longer than this before it asks for something else.
const LONGEST_RETRY: Duration = Duration::from_millis(1_500);

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq)]
pub enum End {
    /// A whole answer of its own.
    Served,
    /// An answer that is not its own, or not whole, although it ended well.
    Wrong(String),
    /// A status that says that it was not run.
    Refused(u16),
    /// Another failure: it may have run.
    Failed(String),
}

/// A request with its end.
#[derive(Debug, Clone)]
pub struct Asked {
    /// The id of the attempt.
    pub id: String,
    /// When it was sent.
    pub sent: Instant,
    /// How it ended.
    pub end: End,
}

/// Callers that ask until they are told to stop.
#[derive(Clone, Default)]
pub struct Callers {
    asked: Rc<RefCell<Vec<Asked>>>,
    stopped: Rc<Cell<bool>>,
    running: Rc<Cell<usize>>,
    /// The share of requests that one region alone may serve.
    home: Rc<Cell<f64>>,
    /// Adapters asked for beyond the usual ones.
    more_adapters: Rc<Cell<usize>>,
}

impl Callers {
    /// Has this share of the requests ask for what one region alone may serve.
    pub fn set_home(&self, share: f64) {
        self.home.set(share);
    }

    /// Has so many more adapters asked for.
    pub fn ask_for_more(&self, adapters: usize) {
        self.more_adapters.set(adapters);
    }

    /// Starts callers, spread over the daemons.
    pub fn start(&self, seed: u64, callers: usize, daemons: &[SocketAddr]) {
        for n in 0..callers {
            let (all, daemons) = (self.clone(), daemons.to_vec());
            let random = SmallRng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(n as u64));
            self.running.set(self.running.get() + 1);
            actix_rt::spawn(async move {
                all.ask_on(n, daemons, random).await;
                all.running.set(all.running.get() - 1);
            });
        }
    }

    /// Stops, and waits for the last answers.
    pub async fn stop(&self) -> Vec<Asked> {
        self.stopped.set(true);
        while self.running.get() > 0 {
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
        self.asked.borrow().clone()
    }

    async fn ask_on(&self, n: usize, daemons: Vec<SocketAddr>, mut random: SmallRng) {
        let mut daemon = n % daemons.len();
        let mut connection = None;
        let mut number = 0;
        while !self.stopped.get() {
            let popular = random.random_bool(POPULAR);
            let adapter = if popular {
                1
            } else {
                random.random_range(2..=ADAPTERS + self.more_adapters.get())
            };
            let id = format!("c{n}r{number}");
            number += 1;
            let sent = Instant::now();
            let path = if random.random_bool(self.home.get()) { HOME_PATH } else { CHAT_PATH };
            let (end, retry) = ask(&mut connection, daemons[daemon], &id, path, adapter).await;
            let lost = matches!(end, End::Failed(_));
            self.asked.borrow_mut().push(Asked { id, sent, end });
            if lost {
                daemon = (daemon + 1) % daemons.len();
            }
            let pause = Duration::from_millis(random.random_range(0..PAUSE_MS));
            actix_rt::time::sleep(pause + retry.unwrap_or_default().min(LONGEST_RETRY)).await;
        }
    }
}

/// Asks, and tells how it ended and after how long to come back. The connection is kept for the next
/// request unless it broke or the daemon closes it.
async fn ask(
    kept: &mut Option<CallerConnection>,
    daemon: SocketAddr,
    id: &str,
    path: &str,
    adapter: usize,
) -> (End, Option<Duration>) {
    let request = CallerRequest {
        host: HOST,
        path: &format!("{path}x"),
        id,
        model: MODEL,
        adapter: &format!("a{adapter}"),
        timeout: PATIENCE,
        key: None,
    };
    let asking = async {
        let mut connection = match kept.take() {
            Some(connection) => connection,
            None => CallerConnection::open(daemon).await?,
        };
        let answer = connection.send(&request).await?;
        *kept = Some(connection).filter(|_| !answer.closes());
        std::io::Result::Ok(answer)
    };
    let answer = match actix_rt::time::timeout(PATIENCE + SLACK, asking).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) => return (End::Failed(error.to_string()), None),
        Err(_) => return (End::Failed("no answer in time".into()), None),
    };
    let retry = answer.retry_after();
    let end = match answer.status {
        200 if is_complete_response(id, &answer.body) => End::Served,
        200 => End::Wrong(answer.body),
        status if answer.is_refusal() => End::Refused(status),
        status => End::Failed(status.to_string()),
    };
    (end, retry)
}

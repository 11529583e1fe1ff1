//! Sends the load and triggers the events of the demonstration.

use super::guarantees::GuaranteeChecker;
use super::observations::{CompletionObserved, End, Observations, UnlockObserved};
use super::plan::{Plan, Planned};
use portrack::http::headers;
use portrack_standins::expect;
use portrack_standins::world::World;
use serde_json::{Value, json};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Timeout of a request.
const TIMEOUT: Duration = Duration::from_secs(40);
/// When a daemon starts its planned stop, as a fraction of the duration.
const STOP_AT: f64 = 0.4;
/// When a backend server is listed as leaving, as a fraction of the duration.
const LEAVE_AT: f64 = 0.6;
/// When an engine restarts without adapters, as a fraction of the duration.
const RESTART_AT: f64 = 0.5;
/// When a setting is changed, as a fraction of the duration.
const CHANGE_AT: f64 = 0.3;
/// Deadline of interactive completions, in milliseconds.
const DEADLINE_MS: u64 = 8_000;

/// The running load.
pub struct Load {
    plan: Plan,
    client: awc::Client,
    targets: Vec<(String, SocketAddr)>,
    next_target: usize,
    observed: Rc<RefCell<Observations>>,
    tasks: Vec<actix_rt::task::JoinHandle<()>>,
}

impl Load {
    /// Creates a load on all daemons of the world.
    pub fn new(world: &World, plan: Plan) -> Self {
        let daemons = world.daemons.iter();
        let targets =
            daemons.filter_map(|(name, d)| Some((name.clone(), d.as_ref()?.callers()))).collect();
        let connector = awc::Connector::new().limit(0);
        let client = awc::Client::builder().connector(connector).timeout(TIMEOUT).finish();
        let observed = Rc::default();
        Self { plan, client, targets, next_target: 0, observed, tasks: Vec::new() }
    }

    /// Sends requests for the planned duration.
    pub async fn run(&mut self, world: &mut World, checker: &mut GuaranteeChecker) {
        let began = Instant::now();
        let mut last_report = 0;
        let mut done = [false; 4];
        while began.elapsed() < self.plan.span {
            let share = began.elapsed().as_secs_f64() / self.plan.span.as_secs_f64();
            self.events(world, checker, share, &mut done).await;
            checker.observe(world);
            let planned = self.plan.next();
            self.send(planned);
            if began.elapsed().as_secs() > last_report {
                last_report = began.elapsed().as_secs();
                let observed = self.observed.borrow().completions.len();
                println!(
                    "{last_report:>4} s  {} sent, {observed} completions ended",
                    self.tasks.len()
                );
            }
            actix_rt::time::sleep(self.plan.pause).await;
        }
    }

    async fn events(
        &mut self,
        world: &mut World,
        checker: &mut GuaranteeChecker,
        share: f64,
        done: &mut [bool; 4],
    ) {
        if share >= CHANGE_AT && !std::mem::replace(&mut done[0], true) {
            println!("        a setting is changed");
            let revision = world.add_adapter("late-comer", "v1").await;
            checker.record_change(revision);
        }
        if share >= STOP_AT && !std::mem::replace(&mut done[1], true) {
            println!("        daemon a2 begins its planned stop");
            self.targets.retain(|(name, _)| name != "a2");
            let stopping = world.take_daemon("a2");
            self.tasks.push(actix_rt::spawn(async move {
                stopping.stop().await;
            }));
        }
        if share >= RESTART_AT && !std::mem::replace(&mut done[2], true) {
            println!("        engine e0 restarts empty");
            world.engines[0].1.restart();
        }
        if share >= LEAVE_AT && !std::mem::replace(&mut done[3], true) {
            println!("        engine e3 is listed as leaving");
            world.publish(&["e3"]);
            checker.record_leaving(3);
        }
    }

    /// Selects the next daemon by round robin, like a load balancer.
    fn target(&mut self) -> SocketAddr {
        self.next_target += 1;
        self.targets[self.next_target % self.targets.len()].1
    }

    fn send(&mut self, planned: Planned) {
        let (client, observed) = (self.client.clone(), self.observed.clone());
        let target = self.target();
        match planned {
            Planned::Completion { model, exact, prompt, tokens, background } => {
                let request = Completion { model, exact, prompt, tokens, background };
                self.tasks.push(actix_rt::spawn(async move {
                    let ended = request.send(&client, target).await;
                    observed.borrow_mut().completions.push(ended);
                }));
            }
            Planned::Unlock { key, twice } => {
                let targets = if twice { vec![target, self.target()] } else { vec![target] };
                for target in targets {
                    let (client, observed, key) = (client.clone(), observed.clone(), key.clone());
                    self.tasks.push(actix_rt::spawn(async move {
                        let end = unlock(&client, target, &key).await;
                        observed.borrow_mut().unlocks.push(UnlockObserved { key, end });
                    }));
                }
            }
            Planned::Lookup => self.tasks.push(actix_rt::spawn(async move {
                let url = format!("http://{target}/docks/stations");
                let end = plain_outcome(client.get(url).send().await, None).await;
                observed.borrow_mut().lookups.push(end);
            })),
        }
    }

    /// Waits for all requests in flight.
    pub async fn finish(self) -> Observations {
        for task in self.tasks {
            let _ = task.await;
        }
        self.observed.take()
    }
}

struct Completion {
    model: String,
    exact: String,
    prompt: String,
    tokens: usize,
    background: bool,
}

impl Completion {
    async fn send(self, client: &awc::Client, target: SocketAddr) -> CompletionObserved {
        let began = Instant::now();
        let body = json!({
            "model": self.model, "prompt": self.prompt, "max_tokens": self.tokens, "stream": true,
        });
        let class = if self.background { "background" } else { "interactive" };
        let request = client
            .post(format!("http://{target}/v1/completions"))
            .insert_header((headers::CLASS, class))
            .insert_header((headers::DEADLINE, DEADLINE_MS.to_string()));
        let mut observed = CompletionObserved {
            prompt: self.prompt.clone(),
            exact: self.exact.clone(),
            end: End::CutOff(String::new()),
            wait_ms: None,
            first_ms: None,
        };
        let mut response = match request.send_json(&body).await {
            Ok(response) => response,
            Err(error) => {
                observed.end = End::CutOff(error.to_string());
                return observed;
            }
        };
        observed.first_ms = u64::try_from(began.elapsed().as_millis()).ok();
        let wait = response.headers().get(headers::WAIT).and_then(|v| v.to_str().ok());
        observed.wait_ms = wait.and_then(|v| v.parse().ok());
        let success = response.status().is_success();
        let text = match response.body().await {
            Ok(body) => String::from_utf8_lossy(&body).into_owned(),
            Err(error) => {
                observed.end = End::CutOff(error.to_string());
                return observed;
            }
        };
        observed.end = match success {
            true => self.check_response(&text),
            false => refusal(&text),
        };
        observed
    }

    fn check_response(&self, text: &str) -> End {
        let data: Vec<&str> = text.lines().filter_map(|l| l.strip_prefix("data: ")).collect();
        if data.last() != Some(&"[DONE]") {
            return refusal(data.last().copied().unwrap_or_default());
        }
        let chunks = data[..data.len() - 1].iter();
        let answer: String = chunks
            .filter_map(|chunk| serde_json::from_str::<Value>(chunk).ok())
            .filter_map(|chunk| Some(chunk["choices"][0]["text"].as_str()?.to_owned()))
            .collect();
        let prompt = Value::String(self.prompt.clone()).to_string();
        match answer == expect::answer(&self.exact, &prompt, self.tokens) {
            true => End::Right,
            false => End::Wrong(answer),
        }
    }
}

fn refusal(text: &str) -> End {
    let problem: Value = serde_json::from_str(text).unwrap_or_default();
    let reason = problem["type"].as_str().unwrap_or("no problem details").to_owned();
    match problem["run"].as_str() {
        Some("no") => End::NotRun(reason),
        _ => End::MayHaveRun(reason),
    }
}

async fn unlock(client: &awc::Client, target: SocketAddr, key: &str) -> End {
    let request = client.post(format!("http://{target}/docks/unlock"));
    let request = request.insert_header((headers::IDEMPOTENCY_KEY, key));
    plain_outcome(request.send_body(key.to_owned()).await, Some(key)).await
}

async fn plain_outcome<S>(
    sent: Result<awc::ClientResponse<S>, awc::error::SendRequestError>,
    echo: Option<&str>,
) -> End
where
    S: futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>>,
{
    let mut response = match sent {
        Ok(response) => response,
        Err(error) => return End::CutOff(error.to_string()),
    };
    let body = match response.body().await {
        Ok(body) => String::from_utf8_lossy(&body).into_owned(),
        Err(error) => return End::CutOff(error.to_string()),
    };
    if !response.status().is_success() {
        return refusal(&body);
    }
    let answer: Value = serde_json::from_str(&body).unwrap_or_default();
    match echo.is_none_or(|echo| answer["echo"] == echo) {
        true => End::Right,
        false => End::Wrong(body),
    }
}

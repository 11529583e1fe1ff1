//! The store comes back from older copies of itself, in series, while versions are named and daemons are killed,
//! stopped, frozen and turned away. Judged by what callers and servers saw.
//!
//! `PORTRACK_SOAK_FIRST` and `PORTRACK_SOAK_SEEDS` name other seeds than the few that run always,
//! `PORTRACK_SOAK_DAEMONS` other sizes of the fleet.

use crate::callers::Callers;
use crate::fleet::{ADAPTERS, Fleet, FleetPlan};
use crate::judge::{Verdict, served_after};
use crate::series::{number, play_seeds};
use portrack_platform_standins::{LostWrites, OrderSeen, StoreSnapshot};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::{Duration, Instant};

const FIRST_SEED: u64 = 1;
const SEEDS: u64 = 3;
const AT_ONCE: usize = 3;
const DAEMONS: u64 = 4;
const SERVERS: usize = 3;
const CALLERS: usize = 12;
const TROUBLE: Duration = Duration::from_secs(22);
/// After the last write that was lost is written again. Where records of claims were lost and no holder is left, a successor's
/// first order waits for the longest that one may have ordered: a lease and the time between two holders.
const SETTLE: Duration = Duration::from_millis(11_000);
const CALM: Duration = Duration::from_millis(1_500);
const SERVED_WHEN_CALM: f64 = 0.9;
/// Between the last order of one daemon and the first of the next, as servers see them; orders are on their way for a
/// moment.
const ORDERS_APART: Duration = Duration::from_millis(3_000);

/// How a return from a copy goes on.
enum Return {
    /// The copy is taken; what is written from now on is lost.
    Copied { copy: StoreSnapshot, revision: u64, away_at: Instant },
    /// The store is away.
    Away { copy: StoreSnapshot, revision: u64, back_at: Instant },
    /// It is back; operators and servers have not written again yet.
    Lost { lost: LostWrites, revision: u64, again_at: Instant },
}

struct Play {
    fleet: Fleet,
    random: SmallRng,
    era: u64,
    coming: Option<Return>,
    /// Until when each daemon stands still, or is turned away.
    frozen_until: Vec<Option<Instant>>,
    turned_away_until: Vec<Option<Instant>>,
}

impl Play {
    fn millis(&mut self, least: u64, most: u64) -> Duration {
        Duration::from_millis(self.random.random_range(least..most))
    }

    fn begin_return(&mut self) {
        if self.coming.is_some() {
            return;
        }
        let away_at = Instant::now() + self.millis(200, 8_000);
        let (copy, revision) = (self.fleet.store.snapshot(), self.fleet.store.revision());
        self.coming = Some(Return::Copied { copy, revision, away_at });
    }

    /// Goes on with a return whose time it is.
    fn go_on(&mut self) {
        let now = Instant::now();
        self.coming = match self.coming.take() {
            Some(Return::Copied { copy, revision, away_at }) if now >= away_at => {
                self.fleet.store.set_down(true);
                let back_at = now + self.millis(0, 3_000);
                Some(Return::Away { copy, revision, back_at })
            }
            Some(Return::Away { copy, revision, back_at }) if now >= back_at => {
                self.era += 1;
                let lost = self.fleet.store.restore(copy, self.era);
                self.fleet.store.set_down(false);
                let again_at = now + self.millis(0, 5_000);
                Some(Return::Lost { lost, revision, again_at })
            }
            Some(Return::Lost { lost, revision, again_at }) if now >= again_at => {
                self.fleet.store.replay_lost_writes(lost, revision);
                // A daemon that started meanwhile, when all others were gone, could not know them.
                self.fleet.names.iter_mut().for_each(|name| name.accepted = Instant::now());
                None
            }
            other => other,
        };
    }

    fn go_on_with_daemons(&mut self) {
        self.fleet.start_due();
        let now = Instant::now();
        for n in 0..self.fleet.size() {
            if self.frozen_until[n].take_if(|until| *until <= now).is_some() {
                self.fleet.set_frozen(n, false);
            }
            if self.turned_away_until[n].take_if(|until| *until <= now).is_some() {
                self.fleet.set_turned_away(n, false);
            }
        }
    }

    async fn pass(&mut self, span: Duration) {
        let until = Instant::now() + span;
        while Instant::now() < until {
            self.go_on();
            self.go_on_with_daemons();
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
    }

    fn step(&mut self) {
        let daemons = self.fleet.size();
        let n = self.random.random_range(0..daemons);
        match self.random.random_range(0..16) {
            0..5 => self.begin_return(),
            5..8 => drop(self.fleet.name_next("a1")),
            8 | 9 => {
                let adapter = self.random.random_range(2..=ADAPTERS);
                self.fleet.name_next(&format!("a{adapter}"));
            }
            10 | 11 => self.take_down(n, Fleet::kill),
            12 => (0..daemons).for_each(|n| self.take_down(n, Fleet::kill)),
            13 => self.take_down(n, Fleet::terminate),
            14 => {
                self.fleet.set_frozen(n, true);
                self.frozen_until[n] = Some(Instant::now() + self.millis(300, 6_000));
            }
            _ => {
                self.fleet.set_turned_away(n, true);
                self.turned_away_until[n] = Some(Instant::now() + self.millis(300, 6_000));
            }
        }
    }

    fn take_down(&mut self, n: usize, take_down: impl Fn(&mut Fleet, usize)) {
        take_down(&mut self.fleet, n);
        let away = self.millis(100, 2_500);
        self.fleet.start_in(n, away);
    }

    fn is_quiet(&self) -> bool {
        let waiting = [&self.frozen_until, &self.turned_away_until];
        let is_over = waiting.iter().all(|all| all.iter().all(Option::is_none));
        self.coming.is_none() && !self.fleet.awaits_starts() && is_over
    }
}

/// Orders of two daemons at one server that came too close, and fences that fell.
fn broken_turns(mut orders: Vec<OrderSeen>) -> Vec<String> {
    orders.sort_by_key(|order| (order.server.clone(), order.at));
    let pairs = orders.windows(2).filter(|pair| pair[0].server == pair[1].server);
    let broken = pairs.filter_map(|pair| {
        let (one, next) = (&pair[0], &pair[1]);
        let apart = next.at - one.at;
        let too_close = one.holder != next.holder && apart < ORDERS_APART;
        let fell = next.fence < one.fence;
        (too_close || fell).then(|| format!("{one:?}, then after {apart:?} {next:?}"))
    });
    broken.collect()
}

/// Plays a seed, and tells what was broken.
async fn play(seed: u64, daemons: usize) -> Result<String, String> {
    let plan = FleetPlan { era: Some(1), ..FleetPlan::new(daemons, SERVERS) };
    let fleet = Fleet::start_as(&format!("returns-{seed}"), plan).await;
    let mut play = Play {
        fleet,
        random: SmallRng::seed_from_u64(seed),
        era: 1,
        coming: None,
        frozen_until: vec![None; daemons],
        turned_away_until: vec![None; daemons],
    };
    let callers = Callers::default();
    callers.start(seed, CALLERS, &play.fleet.callers());
    play.pass(Duration::from_millis(2_500)).await;
    let until = Instant::now() + TROUBLE;
    while Instant::now() < until {
        play.step();
        let pause = play.millis(50, 900);
        play.pass(pause).await;
    }
    while !play.is_quiet() {
        play.pass(Duration::from_millis(100)).await;
    }
    play.pass(SETTLE).await;
    let calm = Instant::now();
    play.pass(CALM).await;
    let asked = callers.stop().await;
    let verdict = Verdict::of(&asked, &play.fleet.runs(), &play.fleet.names);
    let (served, turns) = (served_after(&asked, calm), broken_turns(play.fleet.orders()));
    let told = format!(
        "seed {seed}: {:?}, {} returns, served when calm {served:.3}",
        verdict.ends,
        play.era - 1
    );
    if verdict.is_clean() && turns.is_empty() && served >= SERVED_WHEN_CALM {
        return Ok(told);
    }
    Err(format!("{told}; logs in {}; {turns:#?}; {verdict:?}", play.fleet.folder().display()))
}

#[actix_rt::test]
async fn a_store_that_comes_back_from_copies_breaks_nothing() {
    let daemons = number("PORTRACK_SOAK_DAEMONS", DAEMONS) as usize;
    play_seeds(FIRST_SEED, SEEDS, AT_ONCE, |seed| play(seed, daemons)).await;
}

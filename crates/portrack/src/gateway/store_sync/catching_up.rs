//! Learns from other daemons, once, what they know of the store, and answers those that ask.

use super::era_delta::EraDelta;
use super::follower_feed::PeerAsk;
use super::frames::{read_frame, write_frame};
use super::mirror::{MirrorChange, MirrorItem, MirrorUpdate};
use super::retained::RetainedItem;
use crate::gateway::daemon::GatewayDaemon;
use crate::gateway::fleet::cold_start_tracker::SOURCE_PEER;
use crate::gateway::fleet::trailing_field::or_default;
use crate::store::{StoreEra, StorePosition};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// After a connection that could not be taken.
const PAUSE: Duration = Duration::from_millis(100);
/// Between looks at what peers know.
const PEER_LOOK: Duration = Duration::from_millis(250);
/// The longest catching up from one peer.
const CATCH_UP: Duration = Duration::from_millis(1_500);
/// Peers that are asked at once where news is old: one of them may be of no use.
const ASKED_AT_ONCE: usize = 3;

/// What a peer knows.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct CatchUpReply {
    revision: u64,
    /// The age of its proof that this is the newest, in milliseconds, if it has any.
    proof_age_ms: Option<u32>,
    /// `items` are all there are: what is not among them is gone.
    whole: bool,
    items: Vec<MirrorItem>,
    /// The era that revisions count in.
    #[serde(deserialize_with = "or_default")]
    era: StoreEra,
    /// Items that it believes against the store's copy.
    #[serde(deserialize_with = "or_default")]
    kept: Vec<RetainedItem>,
    /// How the asker comes into this era, if it is in the one before.
    #[serde(deserialize_with = "or_default")]
    step: Option<EraDelta>,
}

/// What a peer told of the store.
pub(in crate::gateway) struct PeerItems {
    /// The era that it told; none by a former build.
    pub era: StoreEra,
    /// The revision up to which the peer knows everything.
    pub revision: u64,
    /// `items` are all there are.
    pub whole: bool,
    /// What changed, or everything.
    pub items: Vec<MirrorItem>,
    /// What it believes against the store's copy.
    pub kept: Vec<RetainedItem>,
    /// How to come into its era from the one before.
    pub step: Option<EraDelta>,
}

/// What came of what a peer told.
pub(in crate::gateway) enum PeerNews {
    /// It was taken in, and this has changed.
    Taken(Vec<MirrorChange>),
    /// The peer is in a former era, which proves nothing.
    Former,
    /// The peer took this daemon to know something else. It is asked for everything next.
    Unfit,
}

impl GatewayDaemon {
    /// Catches up from peers while the store does not answer, for ever.
    pub async fn catch_up_from_peers(self: Rc<Self>) {
        loop {
            actix_rt::time::sleep(PEER_LOOK.min(self.news_bounds().answer())).await;
            self.set_news_bounds();
            self.look_at_news();
            self.end_keeping();
            self.ask_what_others_keep().await;
            if self.staleness().is_within(self.news_bounds().calm()) {
                continue;
            }
            let now = self.now();
            let mine = self.mirror.borrow().revision();
            let informed = self.peers.borrow().most_up_to_date(now, &self.eras.borrow(), mine);
            let mut asked = self.who_knows_more(ASKED_AT_ONCE);
            if asked.is_empty() {
                let alone = |peer: &SocketAddr| self.course.borrow().is_left_alone(now, *peer);
                asked.extend(informed.filter(|peer| !alone(peer)));
            }
            let patience = match self.handler.view.borrow().config() {
                Some(_) => self.news_bounds().patience(),
                None => CATCH_UP,
            };
            let asking = asked.into_iter().map(|peer| self.catch_up(peer, patience));
            futures_util::future::join_all(asking).await;
        }
    }

    /// Learns from a peer what it knows of the store, and how fresh that is.
    async fn catch_up(self: &Rc<Self>, peer: SocketAddr, patience: Duration) {
        let asked_at = self.now();
        let mine = self.known_position();
        let Ok(Some(reply)) = actix_rt::time::timeout(patience, ask(peer, mine)).await else {
            log::warn!(peer:% = peer; "peer_did_not_answer");
            self.course.borrow_mut().unanswered(self.now(), peer);
            return;
        };
        let told = PeerItems {
            era: reply.era,
            revision: reply.revision,
            whole: reply.whole,
            items: reply.items,
            kept: reply.kept,
            step: reply.step,
        };
        let PeerNews::Taken(changes) = self.take_peer_items(told) else {
            log::info!(peer:% = peer, era:% = reply.era, revision = reply.revision; "peer_of_no_use");
            return;
        };
        log::info!(
            peer:% = peer, revision = reply.revision, changes = changes.len(),
            proof_age_ms:? = reply.proof_age_ms;
            "caught_up_from_peer"
        );
        self.apply(changes, SOURCE_PEER);
        if let Some(age) = reply.proof_age_ms {
            self.handler.proof.renew_from_peer(asked_at, Duration::from_millis(age.into()));
        }
    }

    /// Takes in what a peer knows of the store.
    pub(in crate::gateway) fn take_peer_items(&self, told: PeerItems) -> PeerNews {
        let era = self.eras.borrow().resolve_peer_era(told.era);
        let known = self.mirror.borrow().era();
        let Some(era) = era.filter(|era| *era >= known) else { return PeerNews::Former };
        let position = StorePosition::new(era, told.revision);
        let taken = match (told.whole, told.step) {
            (true, _) => Some(self.take_whole(position, told.items)),
            (false, Some(step)) if era > known => self.take_step(position, step, told.items),
            (false, _) if era > known => None,
            (false, _) => Some(self.mirror.borrow_mut().apply_items(era, told.items)),
        };
        self.wants_all.set(taken.is_none());
        let Some(mut changes) = taken else { return PeerNews::Unfit };
        changes.extend(self.adopt_kept(told.kept));
        self.mirror.borrow_mut().whole_up_to(position);
        PeerNews::Taken(changes)
    }

    /// Up to where this daemon knows everything, for a peer that it asks.
    pub(in crate::gateway) fn known_position(&self) -> StorePosition {
        match self.wants_all.get() {
            true => StorePosition::default(),
            false => self.mirror.borrow().position(),
        }
    }

    /// A daemon that knows only the store's copy learns from another one what was known before.
    async fn ask_what_others_keep(self: &Rc<Self>) {
        let era = self.mirror.borrow().era();
        if self.mirror.borrow().kept() > 0 || self.kept_asked.get() == era {
            return;
        }
        let keeping = self.peers.borrow().with_kept_items(self.now(), era);
        let Some(peer) = keeping else { return };
        self.kept_asked.set(era);
        self.catch_up(peer, self.news_bounds().patience()).await;
    }

    /// Answers peers that catch up, for ever.
    pub async fn serve_peers(self: Rc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                actix_rt::time::sleep(PAUSE).await;
                continue;
            };
            let daemon = self.clone();
            actix_rt::spawn(async move { daemon.answer_peer(stream).await });
        }
    }

    async fn answer_peer(&self, mut stream: TcpStream) -> Option<()> {
        let asking = read_frame(&mut stream, CATCH_UP);
        let ask = actix_rt::time::timeout(CATCH_UP, asking).await.ok()?.ok()?;
        match ask {
            PeerAsk::CatchUp { after, era } => {
                let reply = {
                    let mirror = self.mirror.borrow();
                    let after = StorePosition::new(era, after);
                    let MirrorUpdate { position, whole, items, step } = mirror.news_after(after);
                    let proof_age_ms = self.handler.proof.age_for_peer(self.now());
                    let StorePosition { era, revision } = position;
                    let kept = mirror.kept_items();
                    CatchUpReply { revision, proof_age_ms, whole, items, era, kept, step }
                };
                actix_rt::time::timeout(CATCH_UP, write_frame(&mut stream, &reply)).await.ok()?
            }
            PeerAsk::Follow { after, question, era } => {
                let after = StorePosition::new(era, after);
                self.serve_follower(stream, after, question).await
            }
        }
    }
}

async fn ask(peer: SocketAddr, after: StorePosition) -> Option<CatchUpReply> {
    let mut stream = TcpStream::connect(peer).await.ok()?;
    let StorePosition { era, revision: after } = after;
    write_frame(&mut stream, &PeerAsk::CatchUp { after, era }).await?;
    read_frame(&mut stream, CATCH_UP).await.ok()
}

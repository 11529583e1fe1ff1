//! Property test of the usable versions after random sequences of announcements, restarts, and late
//! and duplicated messages, against a reference model that remembers every announcement.
//!
//! Guards against an older version becoming usable again. With only the newest announcement and its
//! time stored, the announcement of version 3 made version 1 usable again, and requests ran on it
//! 13 s after version 2 had been accepted. The tested rule is that learning a newer version never
//! widens what is allowed.

use crate::support::ms;
use portrack::Time;
use portrack::gateway::{AnnouncedVersions, VERSION_GRACE};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

#[derive(Debug, Clone)]
enum Event {
    /// Announces a version this much higher than the newest, learned at once.
    Announce(u64),
    /// The same, but the age of the announcement is unknown.
    AnnounceOfUnknownAge(u64),
    /// Repeats the newest version, or one this much lower.
    Repeat(u64),
    /// The process restarts and reads the newest announcement.
    Restart,
    /// Lets this many milliseconds pass.
    Wait(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (1..4_u64).prop_map(Event::Announce),
        1 => (1..4_u64).prop_map(Event::AnnounceOfUnknownAge),
        2 => (0..5_u64).prop_map(Event::Repeat),
        1 => Just(Event::Restart),
        4 => (0..2_000_u64).prop_map(Event::Wait),
    ]
}

/// All announcements with the time when they were learned; `None` if their age is unknown.
struct Model(Vec<(u64, Option<Time>)>);

impl Model {
    fn newest(&self) -> u64 {
        self.0.iter().map(|(version, _)| *version).max().unwrap_or_default()
    }

    /// A version is usable until the grace period of some newer announcement is over.
    fn may_use(&self, now: Time, version: u64) -> bool {
        let has_expired = |learned_at: &Option<Time>| {
            learned_at.is_none_or(|learned_at| now.since(learned_at) >= VERSION_GRACE)
        };
        !self.0.iter().any(|(newer, learned_at)| *newer > version && has_expired(learned_at))
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, rng_seed: RngSeed::Fixed(20_261_202), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn usable_versions_follow_from_all_announcements_and_never_widen(
        events in proptest::collection::vec(event(), 1..40),
    ) {
        let mut now = Time(1_000);
        let mut model = Model(vec![(2, None)]);
        let mut announced = AnnouncedVersions::new(2, None);
        let mut oldest = 0;
        for event in events {
            match event {
                Event::Announce(step) => {
                    let version = model.newest() + step;
                    prop_assert!(announced.learn(version, Some(now)));
                    model.0.push((version, Some(now)));
                }
                Event::AnnounceOfUnknownAge(step) => {
                    let version = model.newest() + step;
                    prop_assert!(announced.learn(version, None));
                    model.0.push((version, None));
                }
                Event::Repeat(below) => {
                    let version = model.newest().saturating_sub(below);
                    prop_assert!(!announced.learn(version, Some(now)));
                }
                Event::Restart => {
                    let newest = model.newest();
                    announced = AnnouncedVersions::new(newest, None);
                    model = Model(vec![(newest, None)]);
                }
                Event::Wait(duration) => now = now + ms(duration),
            }
            let usable = announced.at(now);
            prop_assert_eq!(usable.newest, model.newest());
            for version in 0..=model.newest() {
                let allowed = version >= usable.oldest;
                prop_assert_eq!(allowed, model.may_use(now, version), "version {}", version);
            }
            prop_assert!(usable.oldest >= oldest, "{} became usable after {oldest}", usable.oldest);
            oldest = usable.oldest;
        }
    }
}

#[test]
fn each_announcement_ends_lower_versions_after_its_own_grace_period() {
    let mut announced = AnnouncedVersions::new(2, Some(Time(0)));
    announced.learn(3, Some(Time(0) + VERSION_GRACE - ms(100)));
    let oldest = |announced: &AnnouncedVersions, at| announced.at(Time(0) + at).oldest;
    assert_eq!(oldest(&announced, VERSION_GRACE - ms(1)), 0, "both grace periods run");
    assert_eq!(oldest(&announced, VERSION_GRACE), 2, "version 2 has ended version 1");
    assert_eq!(oldest(&announced, VERSION_GRACE * 2 - ms(100)), 3);
    announced.learn(4, Some(Time(60_000)));
    assert_eq!(announced.at(Time(60_000)).oldest, 3, "only version 3 has a grace period");
}

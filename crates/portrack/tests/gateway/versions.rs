//! Which versions may be used after random series of names, restarts, late and doubled news, against
//! a plain model that remembers every name.
//!
//! Requests ran on version 1 of an adapter 13 s after version 2 had been accepted: a node kept only
//! the newest name and its time, so the name of version 3 made version 1 usable again. One order of
//! events showed it; the rule holds for all: to learn something newer never widens what is allowed.

use crate::support::ms;
use portrack::Time;
use portrack::gateway::{AnnouncedVersions, VERSION_GRACE};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

#[derive(Debug, Clone)]
enum Event {
    /// A version that is so many higher than the newest is learned at once.
    Name(u64),
    /// The same, but nobody knows how long ago it was named.
    LateName(u64),
    /// A version that is so many lower than the newest, or the newest itself, is told again.
    OldName(u64),
    /// The process starts again and reads the newest name.
    Restart,
    /// Time passes, in milliseconds.
    Wait(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (1..4_u64).prop_map(Event::Name),
        1 => (1..4_u64).prop_map(Event::LateName),
        2 => (0..5_u64).prop_map(Event::OldName),
        1 => Just(Event::Restart),
        4 => (0..2_000_u64).prop_map(Event::Wait),
    ]
}

/// Every name with when it was learned; `None` for one of unknown age.
struct Model(Vec<(u64, Option<Time>)>);

impl Model {
    fn newest(&self) -> u64 {
        self.0.iter().map(|(version, _)| *version).max().unwrap_or_default()
    }

    /// A version may be used until the grace of some newer name is over.
    fn may_use(&self, now: Time, version: u64) -> bool {
        let ends_it = |learned_at: &Option<Time>| {
            learned_at.is_none_or(|learned_at| now.since(learned_at) >= VERSION_GRACE)
        };
        !self.0.iter().any(|(newer, learned_at)| *newer > version && ends_it(learned_at))
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, rng_seed: RngSeed::Fixed(20_261_202), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn what_may_be_used_follows_from_every_name_and_never_widens(
        events in proptest::collection::vec(event(), 1..40),
    ) {
        let mut now = Time(1_000);
        let mut model = Model(vec![(2, None)]);
        let mut names = AnnouncedVersions::new(2, None);
        let mut oldest = 0;
        for event in events {
            match event {
                Event::Name(step) => {
                    let version = model.newest() + step;
                    prop_assert!(names.learn(version, Some(now)));
                    model.0.push((version, Some(now)));
                }
                Event::LateName(step) => {
                    let version = model.newest() + step;
                    prop_assert!(names.learn(version, None));
                    model.0.push((version, None));
                }
                Event::OldName(below) => {
                    let version = model.newest().saturating_sub(below);
                    prop_assert!(!names.learn(version, Some(now)));
                }
                Event::Restart => {
                    let newest = model.newest();
                    names = AnnouncedVersions::new(newest, None);
                    model = Model(vec![(newest, None)]);
                }
                Event::Wait(span) => now = now + ms(span),
            }
            let usable = names.at(now);
            prop_assert_eq!(usable.newest, model.newest());
            for version in 0..=model.newest() {
                let allowed = version >= usable.oldest;
                prop_assert_eq!(allowed, model.may_use(now, version), "version {}", version);
            }
            prop_assert!(usable.oldest >= oldest, "{} again after {oldest}", usable.oldest);
            oldest = usable.oldest;
        }
    }
}

#[test]
fn each_name_ends_what_is_below_it_after_its_own_grace() {
    let mut names = AnnouncedVersions::new(2, Some(Time(0)));
    names.learn(3, Some(Time(0) + VERSION_GRACE - ms(100)));
    let oldest = |names: &AnnouncedVersions, at| names.at(Time(0) + at).oldest;
    assert_eq!(oldest(&names, VERSION_GRACE - ms(1)), 0, "both graces run");
    assert_eq!(oldest(&names, VERSION_GRACE), 2, "version 2 has ended version 1");
    assert_eq!(oldest(&names, VERSION_GRACE * 2 - ms(100)), 3);
    names.learn(4, Some(Time(60_000)));
    assert_eq!(names.at(Time(60_000)).oldest, 3, "only version 3 has a grace");
}

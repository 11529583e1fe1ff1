//! One day in the form of the users' site files.

use super::kinds::Kind;
use std::fmt::Write as _;

/// A busy moment, in seconds from the start of traffic.
const BUSY: f64 = 8.0;
/// A later one.
const LATER: f64 = 19.0;
/// Right behind the later one.
const RIGHT_BEHIND: f64 = 20.5;

/// What comes together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Variant {
    /// The trouble once.
    Single,
    /// Twice.
    Twice,
    /// Three times: long after the first, and once more right behind that. What a step leaves behind
    /// must not come back with the next.
    Series,
    /// With the store down, the configuration changing and a planned stop.
    StoreDown,
    /// With a kill of the machine that ordered last.
    Restart,
}

impl Variant {
    /// All of them but series, which come behind all others: a day's seed is its number, and the
    /// days that were played before keep theirs.
    pub const FIRST: [Self; 4] = [Self::Single, Self::Twice, Self::StoreDown, Self::Restart];

    /// Its name in files.
    pub fn name(self) -> &'static str {
        match self {
            Self::Single => "single",
            Self::Twice => "twice",
            Self::Series => "series",
            Self::StoreDown => "store-down",
            Self::Restart => "restart",
        }
    }
}

/// The text of a day.
pub fn day(name: &str, kind: &Kind, variant: Variant, number: u64) -> String {
    let mut plan = vec![
        r#"{ at = 1.0, kind = "model_shift", count = 1, for_s = 5.0 }"#.to_owned(),
        r#"{ at = 9.0, kind = "version_bump", how = "adapter", count = 0, x = 7.0 }"#.to_owned(),
    ];
    let mut faults = vec![r#"{ at = 7.0, kind = "burst", x = 1.4, for_s = 6.0 }"#.to_owned()];
    let mut put = |at: f64| {
        let entry = format!("{{ at = {at:.1}, {} }}", kind.entry);
        if kind.planned { plan.push(entry) } else { faults.push(entry) }
    };
    put(BUSY);
    if matches!(variant, Variant::Twice | Variant::Series) {
        put(LATER);
    }
    if variant == Variant::Series {
        put(RIGHT_BEHIND);
    }
    match variant {
        Variant::StoreDown => {
            plan.push(r#"{ at = 7.0, kind = "config_change", how = "route" }"#.to_owned());
            plan.push(r#"{ at = 9.5, kind = "roll_term", share = 0.3, x = 1.0, gap_s = 1.0, how = "busy" }"#.to_owned());
            faults.push(
                r#"{ at = 8.5, kind = "platform_down", for_s = 5.0, how = "silent" }"#.to_owned(),
            );
        }
        Variant::Restart => {
            faults.push(r#"{ at = 8.6, kind = "node_kill", on = "core", count = 1, for_s = 2.5, how = "giver" }"#.to_owned());
        }
        Variant::Single | Variant::Twice | Variant::Series => {}
    }
    let mut text = String::new();
    let seed = 90_000 + number * 17;
    let _ = write!(
        text,
        "[[day]]\nname = \"{name}\"\nslot = \"trouble\"\nseed = {seed}\nlength_s = 34.0\none = 0.8\n\
         zero = 0.3\ngoal = {{ floor = 0.3 }}\nplan = [\n  {},\n]\nfaults = [\n  {},\n]\n",
        plan.join(",\n  "),
        faults.join(",\n  ")
    );
    text
}

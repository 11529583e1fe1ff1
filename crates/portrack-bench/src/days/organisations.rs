//! Days of revoked keys and of organisations that send many times their usual, beside other troubles.

/// What happens on one day besides.
struct Beside {
    name: &'static str,
    plan: &'static [&'static str],
    faults: &'static [&'static str],
}

/// Keys are taken away from 4 s on, organisations are hot from 3 s on.
const DAYS: [Beside; 11] = [
    Beside { name: "alone", plan: &[], faults: &[] },
    Beside {
        name: "hall-cut",
        plan: &[],
        faults: &[r#"{ at = 3.0, kind = "zone_cut", for_s = 9.0, how = "drop" }"#],
    },
    Beside {
        name: "hall-cut-meet",
        plan: &[],
        faults: &[r#"{ at = 3.5, kind = "zone_cut", for_s = 5.5, how = "reset meet" }"#],
    },
    Beside {
        name: "nodes-cut",
        plan: &[],
        faults: &[r#"{ at = 3.0, kind = "node_cut", share = 0.3, for_s = 9.0, how = "all" }"#],
    },
    Beside {
        name: "store-some",
        plan: &[],
        faults: &[
            r#"{ at = 3.0, kind = "platform_down", how = "nodes silent revoke meet", share = 0.35, for_s = 9.0 }"#,
        ],
    },
    Beside {
        name: "store-down",
        plan: &[],
        faults: &[r#"{ at = 3.5, kind = "platform_down", how = "silent", for_s = 7.0 }"#],
    },
    Beside {
        name: "store-forgets",
        plan: &[],
        faults: &[
            r#"{ at = 3.5, kind = "platform_compact", x = 5.5, for_s = 8.0, how = "drain" }"#,
        ],
    },
    Beside {
        name: "answers-lost",
        plan: &[],
        faults: &[
            r#"{ at = 3.5, kind = "platform_lost", x = 0.35, for_s = 6.0, how = "late" }"#,
            r#"{ at = 5.0, kind = "answer_lost", share = 0.5, x = 0.05, for_s = 5.0 }"#,
        ],
    },
    Beside {
        name: "frozen",
        plan: &[],
        faults: &[r#"{ at = 3.8, kind = "node_freeze", share = 0.3, for_s = 6.0 }"#],
    },
    Beside {
        name: "killed",
        plan: &[],
        faults: &[r#"{ at = 5.0, kind = "herd_kill", share = 0.6, for_s = 2.0 }"#],
    },
    Beside {
        name: "quota-down",
        plan: &[
            r#"{ at = 6.0, kind = "config_change", how = "quota down" }"#,
            r#"{ at = 13.0, kind = "config_storm", for_s = 4.0, gap_s = 0.33 }"#,
        ],
        faults: &[r#"{ at = 9.0, kind = "roll_term", share = 0.4, x = 4.0, gap_s = 1.2 }"#],
    },
];

/// The days, by name.
pub fn days(first: usize) -> Vec<(String, String)> {
    let days = DAYS.iter().enumerate().map(|(n, beside)| {
        let name = format!("keys-{}", beside.name);
        let plan = [
            r#"{ at = 4.0, kind = "revoke", count = 3, gap_s = 1.0 }"#,
            r#"{ at = 12.0, kind = "revoke", count = 2, gap_s = 0.5, how = "last" }"#,
        ];
        let faults = [
            r#"{ at = 3.0, kind = "hot_tenant", x = 7.5, for_s = 10.0, count = 1 }"#,
            r#"{ at = 7.0, kind = "hot_tenant", x = 6.0, for_s = 8.0, count = 2 }"#,
        ];
        let list = |own: &[&str], more: &[&str]| [own, more].concat().join(",\n  ");
        let text = format!(
            "[[day]]\nname = \"{name}\"\nslot = \"trouble\"\nseed = {}\n\
             length_s = 34.0\none = 0.8\nzero = 0.3\ngoal = {{ floor = 0.2 }}\nplan = [\n  {},\n]\n\
             faults = [\n  {},\n]\n",
            first + n,
            list(&plan, beside.plan),
            list(&faults, beside.faults),
        );
        (name, text)
    });
    days.collect()
}

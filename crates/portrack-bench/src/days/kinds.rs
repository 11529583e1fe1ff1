//! The kinds of trouble, as entries of a day.

/// One kind of trouble.
pub struct Kind {
    /// Its name in files.
    pub name: &'static str,
    /// True for planned work.
    pub planned: bool,
    /// The entry without its time.
    pub entry: String,
}

fn fault(name: &'static str, entry: &str) -> Kind {
    Kind { name, planned: false, entry: entry.to_owned() }
}

fn plan(name: &'static str, entry: &str) -> Kind {
    Kind { name, planned: true, entry: entry.to_owned() }
}

/// All kinds, those that "may come too" included.
pub fn all(engines: &str, plain: &str, class: &str) -> Vec<Kind> {
    let mut kinds = common();
    kinds.extend(of_servers(engines, plain));
    kinds.push(fault(
        "class-burst",
        &format!(r#"kind = "burst", class = "{class}", x = 2.4, for_s = 4.0"#),
    ));
    kinds.push(plan(
        "version-popular",
        r#"kind = "version_bump", how = "adapter", count = 0, x = 1.0"#,
    ));
    kinds
}

fn common() -> Vec<Kind> {
    vec![
        fault("burst", r#"kind = "burst", x = 1.7, for_s = 3.0"#),
        fault("shift", r#"kind = "shift", share = 0.5, for_s = 6.0"#),
        fault("retry-abuse", r#"kind = "retry_abuse", x = 3.0, share = 0.3, for_s = 5.0"#),
        fault("give-up", r#"kind = "give_up", share = 0.3, for_s = 5.0"#),
        fault("answer-lost", r#"kind = "answer_lost", share = 0.5, x = 0.05, for_s = 5.0"#),
        fault(
            "answer-reset",
            r#"kind = "answer_lost", how = "reset", share = 0.5, x = 0.3, for_s = 4.0"#,
        ),
        fault("garble", r#"kind = "garble", share = 0.4, x = 0.03, for_s = 5.0"#),
        fault(
            "garble-extra",
            r#"kind = "garble", how = "extra late", share = 0.6, x = 0.05, for_s = 5.0"#,
        ),
        fault(
            "garble-unframed",
            r#"kind = "garble", how = "unframed", share = 0.6, x = 0.05, for_s = 5.0"#,
        ),
        fault(
            "garble-early",
            r#"kind = "garble", how = "early", share = 0.6, x = 0.05, for_s = 5.0"#,
        ),
        fault("late-orders", r#"kind = "applied_late", how = "orders", x = 0.4, for_s = 6.0"#),
        fault(
            "node-kill",
            r#"kind = "node_kill", on = "core", count = 1, for_s = 3.0, how = "leader race drain""#,
        ),
        fault(
            "node-power",
            r#"kind = "node_kill", on = "core", count = 1, for_s = 3.0, how = "power meet drain""#,
        ),
        fault("node-freeze", r#"kind = "node_freeze", count = 1, how = "giver", for_s = 5.0"#),
        fault("node-slow", r#"kind = "node_slow", share = 0.2, x = 5.5, for_s = 5.0"#),
        fault("herd-kill", r#"kind = "herd_kill", share = 0.6, for_s = 2.0"#),
        fault("herd-power", r#"kind = "herd_kill", on = "core", how = "off", for_s = 2.0"#),
        fault("replace", r#"kind = "replace_core", how = "leader", x = 3.0"#),
        fault("zone-cut", r#"kind = "zone_cut", for_s = 5.5, how = "drop meet""#),
        fault("zone-reset", r#"kind = "zone_cut", for_s = 5.5, how = "reset""#),
        fault("core-cut", r#"kind = "core_cut", count = 1, how = "giver", for_s = 7.0"#),
        fault("core-cut-race", r#"kind = "core_cut", for_s = 4.0, how = "leader race""#),
        fault("core-cut-one-way", r#"kind = "core_cut", count = 2, for_s = 5.0, how = "one_way""#),
        fault("node-cut", r#"kind = "node_cut", share = 0.3, for_s = 6.0, how = "meet""#),
        fault("node-cut-all", r#"kind = "node_cut", share = 0.2, for_s = 6.0, how = "all""#),
        fault(
            "node-cut-servers",
            r#"kind = "node_cut", share = 0.3, for_s = 6.0, how = "servers""#,
        ),
        fault("lossy", r#"kind = "lossy", x = 0.03, for_s = 5.5"#),
        fault("store-silent", r#"kind = "platform_down", for_s = 6.0, how = "silent""#),
        fault("store-busy-lapse", r#"kind = "platform_down", for_s = 6.0, how = "busy lapse""#),
        fault("store-reset", r#"kind = "platform_down", for_s = 6.0, how = "reset""#),
        fault(
            "store-some",
            r#"kind = "platform_down", how = "nodes busy revoke meet", share = 0.35, for_s = 8.0"#,
        ),
        fault(
            "store-leader",
            r#"kind = "platform_down", how = "nodes leader silent", count = 1, for_s = 7.0"#,
        ),
        fault("store-slow", r#"kind = "platform_slow", x = 80.0, for_s = 5.0"#),
        fault("store-lost", r#"kind = "platform_lost", x = 0.35, for_s = 5.0"#),
        fault("store-late", r#"kind = "platform_lost", x = 0.35, for_s = 5.0, how = "late""#),
        fault("store-forgets", r#"kind = "platform_compact", x = 5.5, for_s = 8.0, how = "drain""#),
        fault(
            "clock-back",
            r#"kind = "clock_step", share = 0.3, x = 2400.0, for_s = 6.0, how = "back""#,
        ),
        fault(
            "clock-ahead",
            r#"kind = "clock_step", share = 0.3, x = 2400.0, for_s = 6.0, how = "ahead""#,
        ),
        fault("after-ack", r#"kind = "after_ack_kill", for_s = 3.0, how = "kill""#),
        fault("reset-conns", r#"kind = "reset_conns", share = 0.3, x = 0.5"#),
        plan("roll-term", r#"kind = "roll_term", share = 1.0, x = 1.0, gap_s = 1.2, how = "busy""#),
        plan("add-nodes", r#"kind = "add_nodes", share = 0.75"#),
        plan("config-change", r#"kind = "config_change", how = "route""#),
        plan("config-timeout", r#"kind = "config_change", how = "timeout""#),
        plan("config-storm", r#"kind = "config_storm", for_s = 4.0, gap_s = 0.33"#),
        plan("big-config", r#"kind = "big_config", count = 400"#),
        plan("model-shift", r#"kind = "model_shift", count = 2, for_s = 4.0"#),
        plan("version-bump", r#"kind = "version_bump", how = "adapter", count = 0, x = 3.0"#),
        plan("hup", r#"kind = "hup", share = 0.5, gap_s = 0.5"#),
    ]
}

fn of_servers(engines: &str, plain: &str) -> Vec<Kind> {
    let of = |service: &str, rest: &str| format!(r#"{rest}, service = "{service}""#);
    vec![
        fault(
            "srv-crash",
            &of(engines, r#"kind = "srv_crash", share = 0.25, for_s = 4.0, how = """#),
        ),
        fault(
            "srv-dark",
            &of(engines, r#"kind = "srv_crash", share = 0.2, for_s = 4.5, how = "dark""#),
        ),
        fault("srv-gone", &of(engines, r#"kind = "srv_crash", share = 0.2, how = "gone""#)),
        fault(
            "plain-crash",
            &of(plain, r#"kind = "srv_crash", share = 0.34, for_s = 4.0, how = "dark""#),
        ),
        fault("srv-slow", r#"kind = "srv_slow", share = 0.2, x = 5.0, for_s = 6.0"#),
        fault(
            "srv-grey",
            r#"kind = "srv_grey", how = "errors all", share = 0.5, x = 0.45, for_s = 5.0"#,
        ),
        fault(
            "srv-grey-hang",
            r#"kind = "srv_grey", how = "hang", share = 0.2, x = 0.45, for_s = 5.0"#,
        ),
        fault(
            "srv-grey-mute",
            r#"kind = "srv_grey", how = "mute", share = 0.2, x = 0.45, for_s = 5.0"#,
        ),
        fault(
            "srv-grey-shed",
            r#"kind = "srv_grey", how = "shed", share = 0.2, x = 0.45, for_s = 5.0"#,
        ),
        fault("srv-cut", r#"kind = "srv_cut", share = 0.2, for_s = 5.0, how = "some""#),
        fault("reuse", r#"kind = "replace_with_reuse", share = 0.15, how = "drain""#),
        plan("release", &of(engines, r#"kind = "release", share = 0.3, x = 1.0, gap_s = 1.0"#)),
        plan("scale-out", r#"kind = "scale_out", share = 0.25, gap_s = 2.0"#),
        plan("scale-in", r#"kind = "scale_in", share = 0.15"#),
        plan(
            "scale-in-spot",
            &of(engines, r#"kind = "scale_in", how = "spot", share = 0.14, x = 2.0"#),
        ),
    ]
}

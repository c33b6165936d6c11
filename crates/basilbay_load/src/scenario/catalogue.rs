//! Built-in scenarios, embedded from the files under `scenarios/`.

/// Names and JSON texts, sorted by name for the binary search.
const ALL: [(&str, &str); 25] = [
    ("bodies", include_str!("../../../../scenarios/bodies.json")),
    ("cold", include_str!("../../../../scenarios/cold.json")),
    (
        "config-down",
        include_str!("../../../../scenarios/config-down.json"),
    ),
    (
        "config-stale",
        include_str!("../../../../scenarios/config-stale.json"),
    ),
    (
        "distance",
        include_str!("../../../../scenarios/distance.json"),
    ),
    ("domain", include_str!("../../../../scenarios/domain.json")),
    (
        "domain-ozolini",
        include_str!("../../../../scenarios/domain-ozolini.json"),
    ),
    ("drain", include_str!("../../../../scenarios/drain.json")),
    ("kill", include_str!("../../../../scenarios/kill.json")),
    (
        "list-down",
        include_str!("../../../../scenarios/list-down.json"),
    ),
    ("lying", include_str!("../../../../scenarios/lying.json")),
    ("noisy", include_str!("../../../../scenarios/noisy.json")),
    (
        "noisy-hard",
        include_str!("../../../../scenarios/noisy-hard.json"),
    ),
    (
        "overload",
        include_str!("../../../../scenarios/overload.json"),
    ),
    (
        "partition",
        include_str!("../../../../scenarios/partition.json"),
    ),
    ("pause", include_str!("../../../../scenarios/pause.json")),
    ("poison", include_str!("../../../../scenarios/poison.json")),
    ("recool", include_str!("../../../../scenarios/recool.json")),
    ("resend", include_str!("../../../../scenarios/resend.json")),
    (
        "steady-60",
        include_str!("../../../../scenarios/steady-60.json"),
    ),
    (
        "steady-80",
        include_str!("../../../../scenarios/steady-80.json"),
    ),
    (
        "steady-95",
        include_str!("../../../../scenarios/steady-95.json"),
    ),
    ("stop", include_str!("../../../../scenarios/stop.json")),
    (
        "straggler",
        include_str!("../../../../scenarios/straggler.json"),
    ),
    ("swings", include_str!("../../../../scenarios/swings.json")),
];

/// JSON text of a scenario; `None` if there is none of that name.
pub fn text(name: &str) -> Option<&'static str> {
    let index = ALL.binary_search_by(|(known, _)| (*known).cmp(name)).ok()?;
    ALL.get(index).map(|(_, text)| *text)
}

/// Names of all scenarios.
pub fn all() -> Vec<&'static str> {
    ALL.iter().map(|(name, _)| *name).collect()
}

/// Names of all scenarios, separated by commas.
pub fn names() -> String {
    all().join(", ")
}

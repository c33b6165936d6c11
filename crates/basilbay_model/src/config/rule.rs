//! The rules that the checker holds files to.
//!
//! The reference page lists the same rules; a test holds the two against each other.

/// A rule of the checker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rule {
    /// Id, as findings carry it.
    pub id: &'static str,
    /// What is wrong when it is broken.
    pub meaning: &'static str,
    /// How to fix it.
    pub fix: &'static str,
}

const fn rule(id: &'static str, meaning: &'static str, fix: &'static str) -> Rule {
    Rule { id, meaning, fix }
}

/// Every rule, in the order of their ids.
pub const ALL: &[Rule] = &[
    rule(
        "choice",
        "The value is not one of the words that the key takes.",
        "Use one of the words in the message.",
    ),
    rule(
        "cold-slots",
        "A cold target is given no slot, or more slots than a warm one.",
        "Set `cold_slots` from 1 to `slots`.",
    ),
    rule(
        "connections",
        "A target accepts fewer connections than it has slots.",
        "Set `connections` to `slots` or more.",
    ),
    rule(
        "covered-kind",
        "Other kinds of the same path take all methods of this kind, so no request belongs to it.",
        "Remove the kind, or change its path or methods.",
    ),
    rule(
        "duplicate-key",
        "A section states a key twice.",
        "Keep one of the two lines.",
    ),
    rule(
        "duplicate-kind",
        "Two kinds of a service have the same path and methods.",
        "Remove one, or change its path or methods.",
    ),
    rule(
        "duplicate-route",
        "Two routes have the same host and path.",
        "Remove one, or change its host or path.",
    ),
    rule(
        "duplicate-section",
        "A section stands in the file twice.",
        "Merge the two sections.",
    ),
    rule(
        "empty-value",
        "A key has no value.",
        "State a value, or remove the key to use the default.",
    ),
    rule(
        "encoding",
        "The file is not UTF-8.",
        "Save the file as UTF-8.",
    ),
    rule(
        "host",
        "A route's host is not a host name.",
        "Use letters, digits, `-`, `_` and `.`; at most 253 characters, without a port.",
    ),
    rule(
        "id",
        "An id has characters or a length that it may not have.",
        "Use a lower-case host name for a service, and ASCII letters, digits, `-`, `_` and `.` \
         for other ids; at most 63 characters.",
    ),
    rule(
        "key-outside",
        "A key stands before the first section.",
        "Move the key into its section.",
    ),
    rule(
        "kind-id",
        "The section name of a kind does not name its service and its own id.",
        "Write `[kind SERVICE/NAME]`.",
    ),
    rule(
        "kind-service",
        "A kind belongs to a service that the file does not have.",
        "Add the `[service ID]` section, or correct the name.",
    ),
    rule(
        "method",
        "A method is stated twice or is not in upper-case letters.",
        "State each method once and in upper case, as in `GET POST`.",
    ),
    rule("missing-key", "A required key is missing.", "Add the key."),
    rule(
        "missing-section",
        "A required section is missing.",
        "Add the section.",
    ),
    rule(
        "no-domain",
        "The file has no failure domain, so no instance would receive work.",
        "Add a `[domain ID]` section for each failure domain.",
    ),
    rule(
        "no-kind",
        "A service has no kind, so no request belongs to it.",
        "Add a `[kind SERVICE/NAME]` section.",
    ),
    rule(
        "no-service",
        "The file has no service.",
        "Add a `[service ID]` section for each service.",
    ),
    rule(
        "overlapping-kind",
        "Two kinds of the same path share a method, so it is not evident which one a request \
         belongs to.",
        "Let each method stand in one of the kinds only.",
    ),
    rule(
        "path",
        "A path cannot be the prefix of a request's path.",
        "Start it with `/`, and end that of a route with `/` too; use visible ASCII without `?`, `#` and spaces; at most 1024 characters.",
    ),
    rule(
        "range",
        "A number is outside the range of its key.",
        "Use a number in the range that the message states.",
    ),
    rule(
        "retention",
        "A deadline is longer than keys are remembered, so a repeat could find its key forgotten \
         while the first run lasts.",
        "Shorten `deadline_ms` or raise `key_retention_ms`.",
    ),
    rule(
        "route-service",
        "A route names a service twice, or one that the file does not have.",
        "Add the `[service ID]` section, or correct the name.",
    ),
    rule(
        "section-id",
        "A section name lacks its id, or has one that it does not take.",
        "Write the name as the message shows.",
    ),
    rule(
        "sections",
        "The file has more than 4096 sections.",
        "Remove unused sections.",
    ),
    rule(
        "size",
        "The file is larger than 1 MB, the most that the configuration service carries.",
        "Remove comments or unused sections.",
    ),
    rule(
        "syntax",
        "A line is not INI.",
        "Write `[section]`, `key = value` or a comment.",
    ),
    rule(
        "unknown-key",
        "The section does not take this key.",
        "Correct the name to one in the message, or remove the key.",
    ),
    rule(
        "unknown-section",
        "The file does not take this section.",
        "Correct the name to one in the message, or remove the section.",
    ),
    rule(
        "value",
        "The value cannot be read as what the key takes.",
        "Use the form in the message.",
    ),
];

/// Finds a rule by id.
pub fn find(id: &str) -> Option<&'static Rule> {
    let index = ALL.binary_search_by(|rule| rule.id.cmp(id)).ok()?;
    ALL.get(index)
}

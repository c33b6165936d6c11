//! The rules that the checker enforces.
//!
//! Each rule has an id, which findings refer to, a meaning and a fix for operators. The
//! configuration reference lists the same rules; a test compares the two.

/// A rule of the checker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rule {
    /// Id, which findings refer to.
    pub id: &'static str,
    /// What a violation means.
    pub meaning: &'static str,
    /// How to fix a violation.
    pub fix: &'static str,
}

const fn rule(id: &'static str, meaning: &'static str, fix: &'static str) -> Rule {
    Rule { id, meaning, fix }
}

/// Every rule, sorted by id for binary search.
pub const ALL: &[Rule] = &[
    rule(
        "choice",
        "The value is not one of the words that the key accepts.",
        "Use one of the words in the message.",
    ),
    rule(
        "cold-slots",
        "A cold target has no slots, or more slots than a warm one.",
        "Set `cold_slots` from 1 to `slots`.",
    ),
    rule(
        "connections",
        "A target accepts fewer connections than it has slots.",
        "Set `connections` to `slots` or more.",
    ),
    rule(
        "covered-kind",
        "Other kinds of the same path match all methods of this kind, so it never matches.",
        "Remove the kind, or change its path or methods.",
    ),
    rule(
        "duplicate-key",
        "A section sets a key twice.",
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
        "A section occurs twice in the file.",
        "Merge the two sections.",
    ),
    rule(
        "empty-value",
        "A key has no value.",
        "Set a value, or remove the key to use the default.",
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
        "An id has invalid characters or an invalid length.",
        "Use a lower-case host name for a service, and ASCII letters, digits, `-`, `_` and `.` \
         for other ids; at most 63 characters.",
    ),
    rule(
        "key-outside",
        "A key precedes the first section.",
        "Move the key into its section.",
    ),
    rule(
        "kind-id",
        "The section name of a kind does not name its service and its own id.",
        "Write `[kind SERVICE/NAME]`.",
    ),
    rule(
        "kind-service",
        "A kind belongs to a service that is not in the file.",
        "Add the `[service ID]` section, or correct the name.",
    ),
    rule(
        "method",
        "A method is listed twice or is not in upper-case letters.",
        "List each method once and in upper case, as in `GET POST`.",
    ),
    rule("missing-key", "A required key is missing.", "Add the key."),
    rule(
        "missing-section",
        "A required section is missing.",
        "Add the section.",
    ),
    rule(
        "no-domain",
        "The file has no failure domain, so no instance would receive requests.",
        "Add a `[domain ID]` section for each failure domain.",
    ),
    rule(
        "no-kind",
        "A service has no kind, so no request matches.",
        "Add a `[kind SERVICE/NAME]` section.",
    ),
    rule(
        "no-service",
        "The file has no service.",
        "Add a `[service ID]` section for each service.",
    ),
    rule(
        "overlapping-kind",
        "Two kinds of the same path share a method, so it is ambiguous which one a request \
         matches.",
        "List each method in only one of the kinds.",
    ),
    rule(
        "path",
        "A path is not a valid path prefix of a request.",
        "Start it with `/`, and end that of a route with `/` too; use visible ASCII without `?`, `#` and spaces; at most 1024 characters.",
    ),
    rule(
        "range",
        "A number is outside the range of its key.",
        "Use a number in the range in the message.",
    ),
    rule(
        "retention",
        "A deadline exceeds the key retention, so a key could expire during the first run and a \
         retry would run again.",
        "Shorten `deadline_ms` or raise `key_retention_ms`.",
    ),
    rule(
        "route-service",
        "A route lists a service twice, or one that is not in the file.",
        "Add the `[service ID]` section, or correct the name.",
    ),
    rule(
        "section-id",
        "A section name lacks its id, or has one where none is accepted.",
        "Write the name as the message shows.",
    ),
    rule(
        "sections",
        "The file has more than 4096 sections.",
        "Remove unused sections.",
    ),
    rule(
        "size",
        "The file is larger than 1 MB, the limit of the configuration service.",
        "Remove comments or unused sections.",
    ),
    rule(
        "syntax",
        "A line is not INI.",
        "Write `[section]`, `key = value` or a comment.",
    ),
    rule(
        "unknown-key",
        "The section does not accept this key.",
        "Correct the name to one in the message, or remove the key.",
    ),
    rule(
        "unknown-section",
        "The file does not accept this section.",
        "Correct the name to one in the message, or remove the section.",
    ),
    rule(
        "value",
        "The value does not have the type of the key.",
        "Use the form in the message.",
    ),
];

/// Finds a rule by id.
pub fn find(id: &str) -> Option<&'static Rule> {
    let index = ALL.binary_search_by(|rule| rule.id.cmp(id)).ok()?;
    ALL.get(index)
}

//! The configuration checker: each rule with an input that violates it.

use basilbay_model::config::{Config, rule};
use basilbay_model::finding::Finding;

const VALID: &str = "\
[basilbay]
version = 1
[domain north]
[service pay]
[kind pay/get]
path = /pay
methods = GET
";

/// Findings of an invalid text.
fn findings(text: &str) -> Vec<Finding> {
    Config::parse("test.ini", text)
        .expect_err("the text is invalid")
        .findings
}

/// Rule, line and key of the findings after a part of the valid text was replaced.
fn findings_after(part: &str, replacement: &str) -> Vec<(&'static str, usize, String)> {
    assert!(VALID.contains(part));
    findings(&VALID.replace(part, replacement))
        .into_iter()
        .map(|finding| (finding.rule, finding.line, finding.key.to_string()))
        .collect()
}

fn expected(rule: &'static str, line: usize, key: &str) -> Vec<(&'static str, usize, String)> {
    vec![(rule, line, key.to_owned())]
}

/// Guards against a mistake that is accepted, reported twice, or reported with the wrong rule, line
/// or key.
#[test]
fn each_rule() {
    let long_id = "a".repeat(64);
    let cases = [
        ("version = 1", "version = 0", "range", 2, "version"),
        (
            "version = 1",
            "version = 99999999999999999999",
            "range",
            2,
            "version",
        ),
        ("version = 1", "version = -1", "value", 2, "version"),
        ("version = 1", "version = 1.5", "value", 2, "version"),
        ("version = 1", "version =", "empty-value", 2, "version"),
        ("version = 1\n", "", "missing-key", 1, "version"),
        ("[basilbay]\nversion = 1\n", "", "missing-section", 0, ""),
        ("[basilbay]", "a = 1\n[basilbay]", "key-outside", 1, ""),
        (
            "[basilbay]",
            "[basilbay x]\n[basilbay]",
            "section-id",
            1,
            "",
        ),
        (
            "[domain north]",
            "[domain]\n[domain north]",
            "section-id",
            3,
            "",
        ),
        ("[domain north]\n", "", "no-domain", 0, ""),
        ("[domain north]", "[domain n/o]", "id", 3, ""),
        (
            "[domain north]",
            "[domain north]\nregion = a b",
            "id",
            4,
            "region",
        ),
        (
            "[domain north]",
            "[domain north]\nstate = on",
            "choice",
            4,
            "state",
        ),
        (
            "[domain north]",
            "[domain north]\n[domain  north]",
            "duplicate-section",
            4,
            "",
        ),
        (
            "[domain north]",
            "[domain north]\nstate=in\nstate=out",
            "duplicate-key",
            5,
            "state",
        ),
        (
            "[domain north]",
            "[domain north]\ncolour = red",
            "unknown-key",
            4,
            "colour",
        ),
        (
            "[domain north]",
            "[domain north]\n[zone a]",
            "unknown-section",
            4,
            "",
        ),
        (
            "[domain north]",
            "[domain north]\n[zone",
            "unknown-section",
            4,
            "",
        ),
        (
            "[domain north]",
            "[domain north]\nwhat is this",
            "syntax",
            4,
            "",
        ),
        (
            "[domain north]",
            "[domain north]\nregion = a\\",
            "syntax",
            4,
            "",
        ),
        ("[domain north]", "[domain north] out", "syntax", 3, ""),
        ("[domain north]", "[domain north]\n= 3", "syntax", 4, ""),
        (
            "[domain north]",
            "[domain north]\n[]\nx = 3",
            "syntax",
            4,
            "",
        ),
        (
            "[domain north]",
            "[domain north]\nstate = in\rx",
            "syntax",
            4,
            "",
        ),
        (
            "[domain north]",
            "[domain north]\n[service idle]",
            "no-kind",
            4,
            "",
        ),
        (
            "[service pay]",
            "[service pay]\nslots = 0",
            "range",
            5,
            "slots",
        ),
        (
            "[service pay]",
            "[service pay]\nslots = 300",
            "connections",
            4,
            "connections",
        ),
        (
            "[service pay]",
            "[service pay]\nslots = 1",
            "cold-slots",
            4,
            "cold_slots",
        ),
        ("path = /pay\n", "", "missing-key", 5, "path"),
        ("path = /pay", "path = pay", "path", 6, "path"),
        ("path = /pay", "path = /pay?x", "path", 6, "path"),
        ("methods = GET", "methods = get", "method", 7, "methods"),
        ("methods = GET", "methods = GET GET", "method", 7, "methods"),
        ("methods = GET", "weight = 0", "range", 7, "weight"),
        (
            "methods = GET",
            "deadline_ms = 300001",
            "range",
            7,
            "deadline_ms",
        ),
        ("[kind pay/get]", "[kind pay/g*t]", "id", 5, ""),
    ];
    for (part, replacement, rule, line, key) in cases {
        let mut found = findings_after(part, replacement);
        // An unclosed header still starts a section, so that its keys are not attributed to the
        // section before it.
        if replacement.ends_with("[zone") {
            found.retain(|(rule, ..)| *rule != "syntax");
        }
        assert_eq!(found, expected(rule, line, key), "{replacement}");
    }
    let renamed = VALID.replace("pay", &long_id);
    assert_eq!(findings(&renamed).first().unwrap().rule, "id");
}

/// Guards against kinds that match no request, or that match the same requests as others.
#[test]
fn conflicting_kinds() {
    let add = |id: &str, methods: &str| format!("{VALID}[kind pay/{id}]\npath = /pay\n{methods}\n");
    let rule_of = |text: &str| findings(text).first().unwrap().rule;
    assert_eq!(rule_of(&add("other", "methods = GET")), "duplicate-kind");
    let overlapping = add("other", "methods = PUT GET");
    assert_eq!(rule_of(&overlapping), "overlapping-kind");
    let pair = add("a", "methods = GET POST").replace("methods = GET\n", "methods = POST GET\n");
    assert_eq!(rule_of(&pair), "duplicate-kind");
    let both = add("a", "methods = GET POST");
    assert_eq!(rule_of(&both), "covered-kind");
    let all = Config::parse("test.ini", &add("all", "")).unwrap();
    let service = all.service("pay").unwrap();
    assert_eq!(&*service.kind("GET", "/pay").unwrap().id, "get");
    assert_eq!(&*service.kind("PUT", "/pay").unwrap().id, "all");
}

/// Guards against service ids that are not valid host names.
#[test]
fn invalid_host_names() {
    for id in [
        "Pay",
        "p_y",
        "-pay",
        "pay-",
        "pay..desk",
        ".pay",
        "pay:80",
        "pāy",
        "a b",
    ] {
        let found = findings(&VALID.replace("pay", id));
        let is_reported = found
            .iter()
            .any(|finding| finding.rule == "id" && *finding.section == *format!("service {id}"));
        assert!(is_reported, "{id}: {found:?}");
    }
    assert!(
        Config::parse(
            "test.ini",
            &VALID
                .replace("[service pay]", "[service pay.desk-2]")
                .replace("[kind pay/", "[kind pay.desk-2/")
        )
        .is_ok()
    );
}

/// Guards against a missing service that is reported under the wrong rule.
#[test]
fn unknown_service() {
    assert_eq!(
        findings_after("[kind pay/get]", "[kind slot/get]"),
        [expected("no-kind", 4, ""), expected("kind-service", 5, "")].concat()
    );
    let bare = findings_after("[kind pay/get]", "[kind pay]");
    assert_eq!(
        bare,
        [expected("no-kind", 4, ""), expected("kind-id", 5, "")].concat()
    );
    let none = findings("[basilbay]\nversion=1\n[domain a]\n");
    assert_eq!(none.first().unwrap().rule, "no-service");
}

/// Guards against a deadline that exceeds the key retention.
#[test]
fn short_retention() {
    let text = format!("{VALID}[limits]\nkey_retention_ms = 1999\n");
    let found = findings(&text);
    assert_eq!(found.len(), 1);
    assert_eq!(found.first().unwrap().rule, "retention");
    assert_eq!(found.first().unwrap().line, 5);
}

/// Guards against equivalent spellings of a file that are rejected or parsed differently.
#[test]
fn equivalent_files() {
    let expected = Config::parse("test.ini", VALID).unwrap();
    let forms = [
        VALID.replace('\n', "\r\n"),
        format!("\u{feff}{VALID}"),
        VALID
            .replace(" = 1", "=1 # first")
            .replace("GET", "GET ; read only"),
        VALID.replace(
            "[domain north]",
            "  [ domain   north ] # comment\n\t# more\n",
        ),
        VALID.replace(" = ", ": "),
    ];
    for form in forms {
        assert_eq!(
            Config::parse("test.ini", &form),
            Ok(expected.clone()),
            "{form}"
        );
        let bytes = Config::parse_bytes("test.ini", form.as_bytes());
        assert_eq!(bytes, Ok(expected.clone()));
    }
}

/// Guards against files that would exhaust a daemon's memory or time, or that are not text.
#[test]
fn file_limits() {
    let rule_of = |bytes: &[u8]| {
        let report = Config::parse_bytes("test.ini", bytes).unwrap_err();
        let first = report.findings.first().unwrap().clone();
        (first.rule, first.line)
    };
    assert_eq!(rule_of(b"[basilbay]\nversion = \xff\n"), ("encoding", 2));
    let large = vec![b' '; 1024 * 1024 + 1];
    assert_eq!(rule_of(&large), ("size", 0));
    let many = "[domain a]\n".repeat(4097);
    assert_eq!(rule_of(many.as_bytes()), ("sections", 0));
}

/// Guards against a checker that stops at the first finding.
#[test]
fn all_findings() {
    let text = "\
nonsense
[basilbay]
version = x
[domain north]
state = maybe
[service pay
slots = 0
colour = red
[kind pay/get]
path = pay
[kind slot/get]
path = /
";
    let report = Config::parse("test.ini", text).unwrap_err();
    insta::assert_snapshot!(report.to_string());
    for finding in &report.findings {
        assert!(rule::find(finding.rule).is_some(), "{}", finding.rule);
    }
}

const WITH_ROUTE: &str = "\
[basilbay]
version = 1
[domain north]
[service pay]
[route a]
host = pay.example
path = /a/
services = pay
";

/// Guards against a route that has no destination, duplicates another one, or never matches.
#[test]
fn route_rules() {
    let cases = [
        ("host = pay.example", "host = pay example", "host", "host"),
        ("host = pay.example\n", "", "missing-key", "host"),
        ("path = /a/", "path = /a", "path", "path"),
        (
            "services = pay",
            "services = other",
            "route-service",
            "services",
        ),
        (
            "services = pay",
            "services = pay pay",
            "route-service",
            "services",
        ),
        ("services = pay", "services = pay:x", "value", "services"),
        ("services = pay", "services = pay:0", "value", "services"),
        ("services = pay\n", "", "missing-key", "services"),
        (
            "services = pay",
            "services = pay\n[route b]\nhost = PAY.example\npath = /a/\nservices = pay",
            "duplicate-route",
            "",
        ),
        (
            "services = pay",
            "services = pay\nattempts = 0",
            "range",
            "attempts",
        ),
    ];
    Config::parse("test.ini", WITH_ROUTE).expect("no findings");
    for (part, replacement, rule, key) in cases {
        let found = findings(&WITH_ROUTE.replace(part, replacement));
        let found: Vec<_> = found.iter().map(|it| (it.rule, &*it.key)).collect();
        assert_eq!(found, [(rule, key)], "{replacement}");
    }
}

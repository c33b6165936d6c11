//! Compares the configuration reference page with the checker and the parser.

use basilbay_model::config::Config;
use basilbay_model::config::{print, range, rule};

const PAGE: &str = include_str!("../../../docs/configuration.md");
const EXAMPLE: &str = include_str!("../../../examples/caroni.ini");

/// Guards against a page that lacks a rule, describes it differently, or lists a removed one.
#[test]
fn rules_listed() {
    let (_, section) = PAGE.split_once("## Rules").unwrap();
    let listed: Vec<&str> = section
        .lines()
        .filter(|line| line.starts_with("| `"))
        .collect();
    let expected: Vec<String> = rule::ALL
        .iter()
        .map(|rule| format!("| `{}` | {} | {} |", rule.id, rule.meaning, rule.fix))
        .collect();
    assert_eq!(listed, expected);
}

/// Guards against a binary search that misses rules because the table is not sorted.
#[test]
fn rule_lookup() {
    for rule in rule::ALL {
        assert_eq!(rule::find(rule.id), Some(rule));
    }
}

/// Guards against a page that lacks a key.
#[test]
fn keys_listed() {
    let config = Config::parse("caroni.ini", EXAMPLE).unwrap();
    for section in print::sections(&config) {
        for (key, _) in section.entries {
            assert!(PAGE.contains(&format!("| `{key}` | ")), "{key}");
        }
    }
}

/// Guards against a range on the page that differs from the checker's.
#[test]
fn ranges_listed() {
    let ranges = [
        ("version", range::VERSION),
        ("serial", range::SERIAL),
        ("retry_percent", widen(range::RETRY_PERCENT)),
        ("allowance", widen(range::ALLOWANCE)),
        ("key_retention_ms", range::KEY_RETENTION_MS),
        ("key_memory_bytes", range::KEY_MEMORY_BYTES),
        ("slots", widen(range::SLOTS)),
        ("connections", widen(range::CONNECTIONS)),
        ("queue", widen(range::QUEUE)),
        ("cold_slots", widen(range::COLD_SLOTS)),
        ("warm_after", widen(range::WARM_AFTER)),
        ("probe_permille", widen(range::PROBE_PERMILLE)),
        ("probe_cost_us", range::PROBE_COST_US),
        ("weight", widen(range::WEIGHT)),
        ("deadline_ms", range::DEADLINE_MS),
    ];
    for (key, range) in ranges {
        let start = format!("| `{key}` |");
        let row = PAGE.lines().find(|line| line.starts_with(&start)).unwrap();
        let expected = format!("| {} to {} |", range.start(), range.end());
        assert!(row.contains(&expected), "{row}");
    }
}

/// Guards against a default on the page that differs from the parser's.
#[test]
fn defaults_listed() {
    let text = "[basilbay]\nversion=1\n[domain a]\n[service s]\n[kind s/k]\npath=/\n";
    let config = Config::parse("small.ini", text).unwrap();
    for section in print::sections(&config) {
        for (key, value) in section.entries {
            if matches!(key, "version" | "path") {
                continue;
            }
            let row = PAGE
                .lines()
                .find(|line| line.starts_with(&format!("| `{key}` |")))
                .unwrap();
            let default = row.split('|').nth(3).unwrap().trim().trim_matches('`');
            assert_eq!(default, value, "{row}");
        }
    }
}

fn widen(range: std::ops::RangeInclusive<u32>) -> std::ops::RangeInclusive<u64> {
    u64::from(*range.start())..=u64::from(*range.end())
}

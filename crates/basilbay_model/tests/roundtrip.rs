//! Property tests of parsing and printing.

use basilbay_model::config::{Config, diff};
use basilbay_model::finding::Report;
use basilbay_model::ini::Document;
use proptest::prelude::*;

/// Generates lines that often pass the first stages of the parser.
fn line() -> impl Strategy<Value = String> {
    let header = "\\[(basilbay|limits|domain|service|kind)( [a-z/]{0,3})?\\]?";
    let pair = "(version|slots|path|methods|state|deadline_ms|x) ?[=:] ?[-0-9a-z/\\\\#;]{0,4}";
    prop_oneof![header, pair, "\\PC{0,8}", any::<String>()]
}

prop_compose! {
    fn service()(
        id in "[a-z][a-z0-9]{0,6}",
        out in any::<bool>(),
        policy in prop::sample::select(
            vec!["basilbay", "round-robin", "random", "least-in-flight", "two-choices"]
        ),
        slots in 2u32..=10_000,
        extra_connections in 0u32..=55_535,
        warm_after in 0u32..=1_000_000,
        probe_cost in 1u64..=10_000_000,
        deadline in 1u64..=300_000,
        weight in 1u32..=10_000,
        idempotent in any::<bool>(),
        paths in prop::collection::btree_set("/[a-z]{0,3}", 1..4),
        methods in prop::sample::select(vec!["", "GET", "GET POST"]),
    ) -> (String, String) {
        let state = if out { "out" } else { "in" };
        let idempotent = if idempotent { "yes" } else { "no" };
        let connections = slots + extra_connections;
        let mut text = format!(
            "[service {id}]\nstate={state}\npolicy={policy}\nslots={slots}\n\
             connections={connections}\nwarm_after={warm_after}\nprobe_cost_us={probe_cost}\n"
        );
        for (index, path) in paths.iter().enumerate() {
            text.push_str(&format!(
                "[kind {id}/k{index}]\npath={path}\nweight={weight}\nidempotent={idempotent}\n\
                 deadline_ms={deadline}\n"
            ));
            if !methods.is_empty() {
                text.push_str(&format!("methods={methods}\n"));
            }
        }
        (id, text)
    }
}

prop_compose! {
    fn config()(
        version in 1u64..=9_007_199_254_740_991,
        retry_percent in 0u32..=100,
        domains in prop::collection::btree_map("[A-Za-z0-9._-]{1,8}", "[a-z]{0,4}", 1..5),
        services in prop::collection::btree_map("[a-z]", service(), 1..5),
    ) -> String {
        let mut text = format!("[basilbay]\nversion={version}\n[limits]\nretry_percent={retry_percent}\n");
        for (domain, region) in domains {
            text.push_str(&format!("[domain {domain}]\n"));
            if !region.is_empty() {
                text.push_str(&format!("region={region}\n"));
            }
        }
        let mut seen = std::collections::BTreeSet::new();
        for (id, service) in services.into_values() {
            if seen.insert(id) {
                text.push_str(&service);
            }
        }
        text
    }
}

proptest! {
    /// Guards against text that makes the parser panic.
    #[test]
    fn text_never_panics(lines in prop::collection::vec(line(), 0..40)) {
        let _ = Config::parse("any.ini", &lines.join("\n"));
    }

    /// Guards against bytes that make the parser panic.
    #[test]
    fn bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = Config::parse_bytes("any.ini", &bytes);
    }

    /// Guards against a section or key that is reported with the wrong line number.
    #[test]
    fn line_numbers(lines in prop::collection::vec(line(), 0..40)) {
        let text = lines.join("\n");
        let document = Document::parse("any.ini", &text, &mut Report::default());
        let text = text.strip_prefix('\u{feff}').unwrap_or(&text);
        let lines: Vec<&str> = text.lines().collect();
        for section in &document.sections {
            let header = lines.get(section.line - 1).unwrap();
            prop_assert!(section.name.is_empty() || header.trim().starts_with('['));
            for entry in &section.entries {
                let line = lines.get(entry.line - 1).unwrap().trim();
                prop_assert!(line.starts_with(&*entry.key), "{line} {entry:?}");
                prop_assert!(line.contains(&*entry.value), "{line} {entry:?}");
            }
        }
    }

    /// Guards against a printed configuration that parses to a different one.
    #[test]
    fn printed_text_parses(text in config()) {
        let parsed = Config::parse("generated.ini", &text);
        prop_assert!(parsed.is_ok(), "{parsed:?}\n{text}");
        let parsed = parsed.unwrap();
        let printed = Config::parse("printed.ini", &parsed.to_string()).unwrap();
        prop_assert!(diff::between(&parsed, &printed).is_empty());
        prop_assert_eq!(printed, parsed);
    }
}

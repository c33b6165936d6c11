//! Runs the commands shown in the operators' documentation and compares their output with it.

use std::path::Path;
use std::process::Command;

use basilbay_client::command;

/// Comment that precedes a block whose commands need running daemons.
const NEEDS_FLEET: &str = "<!-- needs a fleet -->";

/// Pages whose commands are checked.
const PAGES: [&str; 5] = [
    "docs/configuration.md",
    "docs/operations/getting-started.md",
    "docs/operations/taking-a-domain-out.md",
    "docs/operations/adding-a-service.md",
    "docs/operations/reading-status.md",
];

/// A `console` code block of a page.
struct Block {
    needs_fleet: bool,
    lines: Vec<String>,
}

fn repository_root() -> &'static Path {
    Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."))
}

fn console_blocks(page: &str) -> Vec<Block> {
    let text = std::fs::read_to_string(repository_root().join(page)).expect("the page exists");
    let mut blocks = Vec::new();
    let mut parts = text.split("```console\n");
    let mut preceding = parts.next().unwrap_or_default();
    for part in parts {
        let (body, following) = part.split_once("```").expect("the block ends");
        blocks.push(Block {
            needs_fleet: preceding.trim_end().ends_with(NEEDS_FLEET),
            lines: body.lines().map(str::to_owned).collect(),
        });
        preceding = following;
    }
    blocks
}

/// Returns the arguments of a command line that runs the client; `None` for other lines.
fn client_args(line: &str) -> Option<Vec<&str>> {
    let args: Vec<&str> = line.strip_prefix("$ ")?.split_whitespace().collect();
    (args.first() == Some(&"basilbay")).then_some(args)
}

/// Runs the commands and returns what a terminal would show: each command followed by its output.
fn transcript(lines: &[String]) -> String {
    let mut shown = String::new();
    for line in lines {
        let Some(args) = client_args(line) else {
            continue;
        };
        let output = Command::new(env!("CARGO_BIN_EXE_basilbay"))
            .args(args.iter().skip(1))
            .current_dir(repository_root())
            .output()
            .expect("the client starts");
        shown.push_str(&format!("{line}\n"));
        shown.push_str(&String::from_utf8_lossy(&output.stdout));
        shown.push_str(&String::from_utf8_lossy(&output.stderr));
    }
    shown
}

/// Guards against documented commands and outputs that differ from those of the client.
#[test]
fn documented_outputs() {
    for page in PAGES {
        for block in console_blocks(page)
            .iter()
            .filter(|block| !block.needs_fleet)
        {
            let documented = format!("{}\n", block.lines.join("\n"));
            assert_eq!(documented, transcript(&block.lines), "{page}");
        }
    }
}

/// Guards against documented commands for a running fleet that the command line rejects.
#[test]
fn documented_commands() {
    let mut count = 0;
    for page in PAGES {
        for block in console_blocks(page)
            .iter()
            .filter(|block| block.needs_fleet)
        {
            for args in block.lines.iter().filter_map(|line| client_args(line)) {
                let parsed = command::build().try_get_matches_from(&args);
                assert!(parsed.is_ok(), "{page}: {args:?}");
                count += 1;
            }
        }
    }
    assert!(count > 0);
}

/// Guards against links to files that do not exist.
#[test]
fn links_resolve() {
    let others = ["docs/events.md", "docs/glossary.md"];
    for page in PAGES.iter().chain(&others) {
        let path = repository_root().join(page);
        let text = std::fs::read_to_string(&path).unwrap();
        for part in text.split("](").skip(1) {
            let link = part.split(')').next().unwrap();
            let target = path.parent().unwrap().join(link);
            assert!(target.exists(), "{page}: {link}");
        }
    }
}

//! The commands on the operators' pages.

use std::path::Path;
use std::process::Command;

use basilbay_client::command;

/// Marks a block whose commands need running daemons.
const FLEET_MARK: &str = "<!-- needs a fleet -->";

const PAGES: [&str; 5] = [
    "docs/configuration.md",
    "docs/operations/getting-started.md",
    "docs/operations/taking-a-domain-out.md",
    "docs/operations/adding-a-service.md",
    "docs/operations/reading-status.md",
];

/// A console block of a page.
struct Block {
    needs_fleet: bool,
    lines: Vec<String>,
}

fn root() -> &'static Path {
    Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."))
}

fn blocks(page: &str) -> Vec<Block> {
    let text = std::fs::read_to_string(root().join(page)).expect("the page exists");
    let mut blocks = Vec::new();
    let mut parts = text.split("```console\n");
    let mut before = parts.next().unwrap_or_default();
    for part in parts {
        let (body, after) = part.split_once("```").expect("the block ends");
        blocks.push(Block {
            needs_fleet: before.trim_end().ends_with(FLEET_MARK),
            lines: body.lines().map(str::to_owned).collect(),
        });
        before = after;
    }
    blocks
}

/// Words of a command of the client; none for another program.
fn words(line: &str) -> Option<Vec<&str>> {
    let words: Vec<&str> = line.strip_prefix("$ ")?.split_whitespace().collect();
    (words.first() == Some(&"basilbay")).then_some(words)
}

/// What a terminal shows: each command with its output.
fn transcript(lines: &[String]) -> String {
    let mut shown = String::new();
    for line in lines {
        let Some(words) = words(line) else {
            continue;
        };
        let output = Command::new(env!("CARGO_BIN_EXE_basilbay"))
            .args(words.iter().skip(1))
            .current_dir(root())
            .output()
            .expect("the client starts");
        shown.push_str(&format!("{line}\n"));
        shown.push_str(&String::from_utf8_lossy(&output.stdout));
        shown.push_str(&String::from_utf8_lossy(&output.stderr));
    }
    shown
}

/// Guards against a page that shows a command or an output that the program does not have.
#[test]
fn shown_outputs() {
    for page in PAGES {
        for block in blocks(page).iter().filter(|block| !block.needs_fleet) {
            let stated = format!("{}\n", block.lines.join("\n"));
            assert_eq!(stated, transcript(&block.lines), "{page}");
        }
    }
}

/// Guards against a command for a fleet that the command line does not take.
#[test]
fn fleet_commands() {
    let mut count = 0;
    for page in PAGES {
        for block in blocks(page).iter().filter(|block| block.needs_fleet) {
            for words in block.lines.iter().filter_map(|line| words(line)) {
                let parsed = command::build().try_get_matches_from(&words);
                assert!(parsed.is_ok(), "{page}: {words:?}");
                count += 1;
            }
        }
    }
    assert!(count > 0);
}

/// Guards against a link to a file that does not exist.
#[test]
fn live_links() {
    let others = ["docs/events.md", "docs/glossary.md"];
    for page in PAGES.iter().chain(&others) {
        let path = root().join(page);
        let text = std::fs::read_to_string(&path).unwrap();
        for part in text.split("](").skip(1) {
            let link = part.split(')').next().unwrap();
            let target = path.parent().unwrap().join(link);
            assert!(target.exists(), "{page}: {link}");
        }
    }
}

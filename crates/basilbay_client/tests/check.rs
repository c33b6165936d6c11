//! `basilbay check`.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use insta::assert_snapshot;

const MISTAKES: &str = "\
[basilbay]
version = soon
[domain tt-north-1]
state = away
[service paydesk]
slots = 0
colour = red
[kind paydesk/payment]
path = /payments
methods = POST
[kind slotdesk/booking]
path = /bookings
";

/// Runs `check` in a folder with these files.
fn check(test: &str, files: &[(&str, &[u8])], arguments: &[&str]) -> Output {
    let folder = folder(test);
    for (name, bytes) in files {
        std::fs::write(folder.join(name), bytes).expect("the folder can be written");
    }
    Command::new(env!("CARGO_BIN_EXE_basilbay"))
        .arg("check")
        .args(arguments)
        .current_dir(folder)
        .output()
        .expect("the client starts")
}

fn folder(test: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
    std::fs::create_dir_all(&folder).expect("the folder can be made");
    folder
}

/// Guards against findings that are left out or a file that passes with them.
#[test]
fn five_mistakes() {
    let output = check("five", &[("new.ini", MISTAKES.as_bytes())], &["new.ini"]);
    let text = String::from_utf8(output.stdout).unwrap();
    assert_eq!(text.matches("new.ini:").count(), 6);
    assert_snapshot!(text);
    assert_eq!(output.status.code(), Some(1));
}

/// Guards against a file that hides the findings of the ones after it.
#[test]
fn all_files() {
    let files: [(&str, &[u8]); 2] = [
        ("bytes.ini", b"[basilbay]\nversion = \xff\n"),
        ("new.ini", MISTAKES.as_bytes()),
    ];
    let output = check("all", &files, &["absent.ini", "bytes.ini", "new.ini"]);
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(text.contains("bytes.ini:2: not UTF-8 (encoding)"));
    assert!(text.contains("new.ini: 5 findings"));
    let errors = String::from_utf8(output.stderr).unwrap();
    assert!(errors.contains("cannot read absent.ini"), "{errors}");
    assert_eq!(output.status.code(), Some(2));
}

/// Guards against examples that the shipped program rejects.
#[test]
fn examples_pass() {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let output = Command::new(env!("CARGO_BIN_EXE_basilbay"))
        .args(["check", "caroni.ini", "ozolini.ini"])
        .current_dir(examples)
        .output()
        .unwrap();
    assert_snapshot!(String::from_utf8(output.stdout).unwrap());
    assert_eq!(output.status.code(), Some(0));
}

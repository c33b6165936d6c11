//! Tests of `basilbay check`.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use insta::assert_snapshot;

const INVALID_CONFIG: &str = "\
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

/// Runs `check` in a separate directory with the given files.
fn check(test: &str, files: &[(&str, &[u8])], arguments: &[&str]) -> Output {
    let directory = create_directory(test);
    for (name, bytes) in files {
        std::fs::write(directory.join(name), bytes).expect("the file is writable");
    }
    Command::new(env!("CARGO_BIN_EXE_basilbay"))
        .arg("check")
        .args(arguments)
        .current_dir(directory)
        .output()
        .expect("the client starts")
}

fn create_directory(test: &str) -> PathBuf {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
    std::fs::create_dir_all(&directory).expect("the directory can be created");
    directory
}

/// Guards against findings that are not reported, and against success despite findings.
#[test]
fn five_findings() {
    let output = check(
        "five",
        &[("new.ini", INVALID_CONFIG.as_bytes())],
        &["new.ini"],
    );
    let text = String::from_utf8(output.stdout).unwrap();
    assert_eq!(text.matches("new.ini:").count(), 6);
    assert_snapshot!(text);
    assert_eq!(output.status.code(), Some(1));
}

/// Guards against a file that cannot be read or parsed and hides the findings of later files.
#[test]
fn multiple_files() {
    let files: [(&str, &[u8]); 2] = [
        ("bytes.ini", b"[basilbay]\nversion = \xff\n"),
        ("new.ini", INVALID_CONFIG.as_bytes()),
    ];
    let output = check("all", &files, &["absent.ini", "bytes.ini", "new.ini"]);
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(text.contains("bytes.ini:2: not UTF-8 (encoding)"));
    assert!(text.contains("new.ini: 5 findings"));
    let errors = String::from_utf8(output.stderr).unwrap();
    assert!(errors.contains("cannot read absent.ini"), "{errors}");
    assert_eq!(output.status.code(), Some(2));
}

/// Guards against examples that the released client rejects.
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

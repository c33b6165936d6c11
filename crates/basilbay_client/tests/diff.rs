//! Tests of `basilbay diff`.

use std::sync::Arc;

use basilbay_client::check::Source;
use basilbay_client::diff;
use basilbay_client::output::{Code, Output};
use insta::assert_snapshot;

const OLD: &str = include_str!("../../../examples/ozolini.ini");

fn source(name: &str, text: &str) -> Source {
    Source {
        name: Arc::from(name),
        bytes: Ok(text.as_bytes().to_vec()),
    }
}

fn compare(new: &str, json: bool) -> Output {
    diff::output(&source("old.ini", OLD), &source("new.ini", new), json)
        .expect("the difference serialises")
}

/// Guards against a change that is missing from the text or the JSON output.
#[test]
fn domain_out() {
    let new = OLD.replacen("state = in", "state = out", 1);
    let new = new.replacen("version = 1", "version = 2", 1);
    let output = compare(&new, false);
    assert_snapshot!(output.stdout);
    assert_eq!((output.code, &*output.stderr), (Code::Success, ""));
    assert_snapshot!(compare(&new, true).stdout);
}

/// Guards against a missing warning about a file that daemons do not apply because its
/// version is not higher than before.
#[test]
fn unchanged_version() {
    let output = compare(&OLD.replacen("state = in", "state = out", 1), false);
    assert!(
        output
            .stderr
            .contains("the version is not higher than before")
    );
}

/// Guards against a comparison that ignores findings in a file, or a file that cannot be read.
#[test]
fn invalid_file() {
    let output = compare("[basilbay]\n", false);
    assert_eq!(output.code, Code::Failure);
    assert!(
        output.stdout.contains("new.ini: 3 findings"),
        "{}",
        output.stdout
    );
    let mut absent = source("new.ini", "");
    absent.bytes = Err("no such file".to_owned());
    let output = diff::output(&source("old.ini", OLD), &absent, false).unwrap();
    assert_eq!(output.code, Code::InvalidInput);
}

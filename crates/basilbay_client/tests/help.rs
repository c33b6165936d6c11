//! Help and version.

use basilbay_client::command;

/// Guards against a verb without examples, and against arguments that clap finds contradictory.
#[test]
fn verbs_teach() {
    let mut command = command::build();
    command.clone().debug_assert();
    for verb in command.get_subcommands_mut() {
        let help = verb.render_long_help().to_string();
        assert!(help.contains("Examples:"), "{help}");
        assert!(help.contains("Exit codes:"), "{help}");
    }
}

/// Guards against a program that cannot say which build it is.
#[test]
fn version_stated() {
    let version = command::build().render_version();
    assert_eq!(version, format!("basilbay {}\n", env!("CARGO_PKG_VERSION")));
}

//! Tests of the help texts and the version.

use basilbay_client::command;

/// Guards against a subcommand without examples or exit codes, and against arguments that clap
/// rejects as inconsistent.
#[test]
fn help_complete() {
    let mut command = command::build();
    command.clone().debug_assert();
    for subcommand in command.get_subcommands_mut() {
        let help = subcommand.render_long_help().to_string();
        assert!(help.contains("Examples:"), "{help}");
        assert!(help.contains("Exit codes:"), "{help}");
    }
}

/// Guards against a `--version` that does not identify the build.
#[test]
fn version_printed() {
    let version = command::build().render_version();
    assert_eq!(version, format!("basilbay {}\n", env!("CARGO_PKG_VERSION")));
}

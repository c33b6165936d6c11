//! Definition of the command line: subcommands, arguments, defaults and help texts.

use std::net::SocketAddr;

use clap::builder::ValueParser;
use clap::{Arg, ArgAction, Command, value_parser};

/// Environment variable with the admin address of the daemon to query; `--daemon` overrides it.
pub const DAEMON_ENV: &str = "BASILBAY_DAEMON";

/// Default of `--deadline-ms` for the responses of all daemons, in milliseconds.
pub const DEFAULT_DEADLINE_MS: &str = "2000";

/// Default of `--deadline-ms` of `wait`, in milliseconds: an accepted version must be active on
/// all daemons within this time.
pub const DEFAULT_WAIT_DEADLINE_MS: &str = "4000";

/// Exit codes of all subcommands, for the help text.
const EXIT_CODES: &str = "\
Exit codes:
  0  success
  1  negative result: findings, lagging daemons, no target, unknown event
  2  invalid command line, or a file cannot be read
  3  the daemon given by --daemon cannot be queried";

/// Builds the command line with all subcommands.
pub fn build() -> Command {
    Command::new("basilbay")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Operators' client of the basilbay load balancer")
        .long_about(
            "Operators' client of the basilbay load balancer.\n\nIt checks and compares \
             configuration files, and shows the configuration, state and load of the daemons. All \
             subcommands are read-only: to change the configuration, publish a new file through \
             the platform.",
        )
        .after_help(format!(
            "Example: publish a change, such as taking a failure domain out:\n  \
             basilbay check new.ini             # validate the file\n  \
             basilbay diff old.ini new.ini      # review the changes\n  \
             ...                                # publish new.ini through the platform\n  \
             basilbay wait --version 8          # wait until it is active everywhere\n  \
             basilbay status                    # inspect the fleet\n\n{EXIT_CODES}"
        ))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands([check(), diff(), status(), explain(), wait(), events()])
}

fn check() -> Command {
    Command::new("check")
        .about("Check configuration files and report every finding")
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .help("Configuration files")
                .num_args(1..)
                .required(true)
                .value_parser(ValueParser::path_buf()),
        )
        .after_help(
            "Examples:\n  basilbay check new.ini\n  basilbay check examples/*.ini\n\n\
             Exit codes: 0 no findings; 1 findings; 2 a file cannot be read, regardless of \
             findings in other files.\nThe rules are listed in docs/configuration.md.",
        )
}

fn diff() -> Command {
    Command::new("diff")
        .about("Show what a new configuration changes, by section and key")
        .arg(file_arg("old", "Current configuration file"))
        .arg(file_arg("new", "Configuration file to be published"))
        .arg(json_arg())
        .after_help(
            "Comments, order and explicitly stated default values are ignored.\n\n\
             Examples:\n  basilbay diff old.ini new.ini\n  basilbay diff --json old.ini new.ini\n\n\
             Exit codes: 0 compared, with or without differences; 1 findings in a file; 2 a file \
             cannot be read.",
        )
}

fn status() -> Command {
    Command::new("status")
        .about("Show configuration versions, states and load of the fleet")
        .args([
            daemon_arg(),
            deadline_arg(
                "Timeout for the responses of all daemons, in milliseconds",
                DEFAULT_DEADLINE_MS,
            ),
        ])
        .arg(json_arg())
        .arg(
            Arg::new("service")
                .long("service")
                .value_name("ID")
                .help("Only targets of this service"),
        )
        .arg(
            Arg::new("domain")
                .long("domain")
                .value_name("ID")
                .help("Only instances in this failure domain"),
        )
        .after_help(
            "Queries one daemon for its peers and then all of them concurrently. Daemons that do \
             not respond are listed.\n\n\
             Examples:\n  basilbay status --daemon 10.0.0.7:7003\n  \
             BASILBAY_DAEMON=10.0.0.7:7003 basilbay status --service paydesk\n  \
             basilbay status --domain tt-north-2 --json\n\n\
             Exit codes: 0 shown; 1 no daemon matches; 3 the given daemon cannot be queried.",
        )
}

fn explain() -> Command {
    Command::new("explain")
        .about("Show which targets are eligible for a request, and why")
        .arg(
            Arg::new("service")
                .value_name("SERVICE")
                .help("Service, as in the Host header")
                .required(true),
        )
        .arg(
            Arg::new("path")
                .value_name("PATH")
                .help("Path of the request")
                .default_value("/"),
        )
        .arg(
            Arg::new("method")
                .long("method")
                .value_name("M")
                .help("Method of the request")
                .default_value("GET"),
        )
        .args([
            daemon_arg(),
            deadline_arg(
                "Timeout for the response of the daemon, in milliseconds",
                DEFAULT_DEADLINE_MS,
            ),
            json_arg(),
        ])
        .after_help(
            "The result is the view of one daemon; load figures differ between daemons.\n\n\
             Examples:\n  basilbay explain fitfinder /fit\n  \
             basilbay explain paydesk /payments --method POST --daemon 10.0.0.7:7003\n\n\
             Exit codes: 0 a target is eligible; 1 the request would be refused; 3 the daemon \
             cannot be queried.",
        )
}

fn wait() -> Command {
    Command::new("wait")
        .about("Wait until a configuration version is active on every daemon")
        .arg(
            Arg::new("version")
                .long("version")
                .value_name("N")
                .help("Version to wait for; newer versions count as well")
                .required(true)
                .value_parser(value_parser!(u64).range(1..)),
        )
        .args([
            daemon_arg(),
            deadline_arg("Time to wait, in milliseconds", DEFAULT_WAIT_DEADLINE_MS),
        ])
        .arg(
            Arg::new("reachable-only")
                .long("reachable-only")
                .help("Do not count unreachable daemons as lagging")
                .action(ArgAction::SetTrue),
        )
        .after_help(
            "Lists the daemons that lag or do not respond when the deadline passes.\n\n\
             Examples:\n  basilbay wait --version 8\n  \
             basilbay wait --version 8 --deadline-ms 10000 --reachable-only\n\n\
             Exit codes: 0 active everywhere; 1 daemons lag; 3 the given daemon cannot be \
             queried.",
        )
}

fn events() -> Command {
    Command::new("events")
        .about("Show the catalogue of numbered log events and the actions to take")
        .arg(
            Arg::new("number")
                .value_name("NUMBER")
                .help("Show one event in full")
                .value_parser(value_parser!(u16)),
        )
        .arg(json_arg())
        .after_help(
            "Examples:\n  basilbay events\n  basilbay events 201\n\n\
             Exit codes: 0 shown; 1 no such event.",
        )
}

fn file_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .value_name(name.to_uppercase())
        .help(help)
        .required(true)
        .value_parser(ValueParser::path_buf())
}

fn json_arg() -> Arg {
    Arg::new("json")
        .long("json")
        .help("Print JSON")
        .action(ArgAction::SetTrue)
}

fn daemon_arg() -> Arg {
    Arg::new("daemon")
        .long("daemon")
        .value_name("ADDR")
        .help("Admin address of any daemon, as IP:PORT")
        .env(DAEMON_ENV)
        .required(true)
        .value_parser(value_parser!(SocketAddr))
}

fn deadline_arg(help: &'static str, default: &'static str) -> Arg {
    Arg::new("deadline-ms")
        .long("deadline-ms")
        .value_name("MS")
        .help(help)
        .default_value(default)
        .value_parser(value_parser!(u64).range(1..=3_600_000))
}

//! Stand-ins for the platform, the workers and the clients of a small deployment, and the cases of
//! the review that play on them.
//!
//! `harness CASE FOLDER` starts the daemons of the deploy file as processes of their own, plays the
//! case, writes `record.txt` into FOLDER and ends all that it started. It exits with 1 if the rule
//! was broken, 0 if it held and 2 if the case could not run. With `TROUBLE=0` the case is played
//! without its disruption.

mod cases;
mod client;
mod crash;
mod daemon;
mod fleet;
mod foreign;
mod http;
mod load;
mod poison;
mod record;
mod store;
mod worker;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: harness CASE FOLDER");
        return ExitCode::from(2);
    };
    let is_troubled = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match record::Record::create(folder) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("cannot write record.txt in {folder}: {error}");
            return ExitCode::from(2);
        }
    };
    match cases::play(case, is_troubled, &record) {
        Ok(false) => {
            record.line("verdict: the rule held");
            ExitCode::SUCCESS
        }
        Ok(true) => {
            record.line("verdict: the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            record.line(&format!("verdict: the case could not run: {error}"));
            ExitCode::from(2)
        }
    }
}

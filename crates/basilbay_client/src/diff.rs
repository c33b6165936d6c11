//! `basilbay diff`: what a new configuration changes.

use basilbay_model::config::diff;

use crate::check::Source;
use crate::output::Output;
use crate::run::Result;

/// Compares two files.
pub fn output(old: &Source, new: &Source, json: bool) -> Result<Output> {
    let mut output = Output::default();
    let old = old.parse(&mut output);
    let new = new.parse(&mut output);
    let (Some(old), Some(new)) = (old, new) else {
        return Ok(output);
    };
    let difference = diff::between(&old, &new);
    if json {
        output.push_line(&serde_json::to_string_pretty(&difference)?);
        return Ok(output);
    }
    output.stdout.push_str(&difference.to_string());
    if new.version <= old.version {
        output.push_error(
            "basilbay: the version does not rise, so daemons will not take the new file; raise it",
        );
    }
    Ok(output)
}

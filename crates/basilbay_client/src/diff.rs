//! `basilbay diff`: shows what a new configuration changes, by section and key.

use basilbay_model::config::diff;

use crate::check::Source;
use crate::output::Output;
use crate::run::Result;

/// Compares two files and warns if the version of the new one is not higher, because daemons do
/// not apply such a file.
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
            "basilbay: the version is not higher than before, so daemons will not apply the new \
             file; increase it",
        );
    }
    Ok(output)
}

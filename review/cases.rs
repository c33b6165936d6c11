//! The cases by name.

use crate::fleet::Result;
use crate::record::Record;
use crate::{crash, foreign, poison};

/// Plays a case; returns whether the rule was broken.
pub fn play(case: &str, is_troubled: bool, record: &Record) -> Result<bool> {
    record.line(&format!(
        "case {case}, {} disruption",
        if is_troubled {
            "with its"
        } else {
            "without its"
        }
    ));
    match case {
        "crash" => crash::play(is_troubled, record),
        "poison" => poison::play(is_troubled, record),
        "foreign" => foreign::play(is_troubled, record),
        other => Err(format!("no case {other}")),
    }
}

//! `basilbay explain`: shows which targets one daemon would consider for a request, and why.

use basilbay_admin::{Candidate, Explanation};
use basilbay_model::domain::State;

use crate::fleet::Request;
use crate::output::{Code, Output};
use crate::run::Result;
use crate::table;

/// Column headers.
const HEADER: [&str; 7] = [
    "TARGET",
    "DOMAIN",
    "DOMAIN STATE",
    "SHARE",
    "LOAD",
    "HEARD",
    "REASON",
];

/// Right-aligned columns, as indices into [`HEADER`].
const NUMERIC_COLUMNS: [usize; 3] = [3, 4, 5];

/// Renders an explanation. The code is [`Code::Failure`] if no target is eligible.
pub fn output(explanation: &Explanation, request: &Request, json: bool) -> Result<Output> {
    let mut output = Output::default();
    if !has_eligible_target(explanation) {
        output.code = Code::Failure;
    }
    if json {
        output.push_line(&serde_json::to_string_pretty(explanation)?);
        return Ok(output);
    }
    push_summary(explanation, request, &mut output);
    if !explanation.candidates.is_empty() {
        let rows: Vec<Vec<String>> = explanation.candidates.iter().map(row).collect();
        output.push_line("");
        output.push_line(&table::format(&HEADER, &rows, &NUMERIC_COLUMNS));
    }
    Ok(output)
}

fn has_eligible_target(explanation: &Explanation) -> bool {
    let eligible = explanation
        .candidates
        .iter()
        .any(|candidate| candidate.eligible);
    explanation.refusal.is_none() && eligible
}

fn push_summary(explanation: &Explanation, request: &Request, output: &mut Output) {
    let kind = explanation.kind.as_deref().unwrap_or("none");
    output.push_line(&format!(
        "{} {} of service {}: kind {kind}, policy {}, as seen by {}",
        request.method, request.path, explanation.service, explanation.policy, explanation.instance
    ));
    if let Some(refusal) = &explanation.refusal {
        output.push_line(&format!("would be refused: {refusal}"));
    } else if !has_eligible_target(explanation) {
        output.push_line("would be refused: no target is eligible");
    }
}

fn row(candidate: &Candidate) -> Vec<String> {
    let state = match candidate.domain_state {
        State::In => "in",
        State::Out => "out",
    };
    let share = match candidate.eligible {
        true => percent(candidate.share_permille),
        false => "-".to_owned(),
    };
    let report_age = match candidate.age_ms {
        Some(age) => format!("{age} ms ago"),
        None => "never".to_owned(),
    };
    vec![
        candidate.instance.to_string(),
        candidate.domain.to_string(),
        state.to_owned(),
        share,
        format!("{}/{}", candidate.in_flight, candidate.limit),
        report_age,
        candidate.reason.to_string(),
    ]
}

fn percent(permille: u32) -> String {
    format!("{}.{}%", permille / 10, permille % 10)
}

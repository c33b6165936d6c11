//! Account of the responses that daemons get, by kind, sender and reason.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use basilbay_model::id::Version;
use basilbay_model::roster::{Instance, Roster};
use basilbay_wire::control::{ConfigBody, RosterBody, Text};
use basilbay_wire::frame;

/// Response of the platform or of a peer.
pub(crate) enum Response {
    Text(Arc<str>),
    Body(ConfigBody),
    Unchanged,
    Roster(Arc<Roster>),
    RosterBody(RosterBody),
    Failed,
}

/// What a response consists of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Kind {
    FullText,
    Edits,
    FullRoster,
    Changes,
    /// Neither text nor instances: nothing newer, or no response.
    Empty,
}

/// Who sent a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Sender {
    Platform,
    Peer,
}

/// Why a daemon asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Reason {
    /// It had nothing, or asked for the full content.
    First,
    /// It had an older version.
    Newer,
}

impl Reason {
    pub(crate) fn of(have: Version) -> Self {
        if have == 0 { Self::First } else { Self::Newer }
    }
}

/// Number and bytes of responses.
#[derive(Default)]
pub(crate) struct Account(BTreeMap<(Kind, Sender, Reason), (usize, usize)>);

impl Account {
    pub(crate) fn add(&mut self, kind: Kind, sender: Sender, reason: Reason, bytes: usize) {
        let sums = self.0.entry((kind, sender, reason)).or_default();
        *sums = (sums.0 + 1, sums.1 + bytes);
    }

    /// Number of responses of a kind from a sender, for any reason.
    pub(crate) fn count(&self, kind: Kind, sender: Sender) -> usize {
        let entries = self.0.iter();
        let matching = entries.filter(|(key, _)| (key.0, key.1) == (kind, sender));
        matching.map(|(_, sums)| sums.0).sum()
    }
}

impl fmt::Display for Account {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        for ((kind, sender, reason), (count, bytes)) in &self.0 {
            writeln!(
                out,
                "  {kind:?}, {sender:?}, {reason:?}: {count}, {bytes} B"
            )?;
        }
        Ok(())
    }
}

/// What a response consists of.
pub(crate) fn kind(response: &Response) -> Kind {
    match response {
        Response::Text(_) => Kind::FullText,
        Response::Body(body) => match body.text {
            Text::Full(_) => Kind::FullText,
            Text::Edits(_) => Kind::Edits,
            Text::Unchanged => Kind::Empty,
        },
        Response::Roster(roster) if !roster.instances.is_empty() => Kind::FullRoster,
        Response::RosterBody(body) if body.changes.is_some() => Kind::Changes,
        Response::RosterBody(body) if !body.roster.instances.is_empty() => Kind::FullRoster,
        _ => Kind::Empty,
    }
}

/// Size of a response.
pub(crate) fn response_bytes(response: &Response) -> usize {
    match response {
        Response::Text(text) => text.len(),
        Response::Body(body) => frame::encode(body).len(),
        // Estimated from the first instance: the sizes differ by a few bytes only, and encoding all
        // instances each time is slow.
        Response::Roster(roster) => instances_bytes(&roster.instances),
        Response::RosterBody(body) => {
            let updated = body.changes.as_ref().map_or(0, |changes| {
                instances_bytes(&changes.updated) + 16 * changes.removed.len()
            });
            instances_bytes(&body.roster.instances) + updated
        }
        Response::Unchanged | Response::Failed => 0,
    }
}

fn instances_bytes(instances: &[Instance]) -> usize {
    instances.first().map_or(40, |first| {
        40 + frame::encode(first).len() * instances.len()
    })
}

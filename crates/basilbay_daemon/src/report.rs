//! Logs events of the crates without I/O as numbered events of the catalogue.

use std::net::SocketAddr;

use basilbay_admission::notice::Change;
use basilbay_events::catalogue;
use basilbay_events::emit;
use basilbay_membership::event::Event;
use basilbay_wire::frame;

/// Logs an event of the membership node; one that is not in the catalogue is skipped.
pub fn membership(event: &Event) {
    let number = event.number();
    let Some(entry) = catalogue::ALL.iter().find(|entry| entry.number == number) else {
        return;
    };
    match event {
        Event::ConfigRejected { source, report } => {
            emit!(*entry, ?source, findings = %report);
        }
        other => emit!(*entry, detail = ?other),
    }
}

/// Logs a change in what the local target states about itself.
pub fn target_notice(change: Change) {
    match change {
        Change::Rate { before, after } => {
            emit!(catalogue::TARGET_RATE_CHANGED, ?before, rate_per_s = ?after);
        }
        Change::Leaving(is_leaving) => emit!(catalogue::TARGET_LEAVING, is_leaving),
        Change::Malformed => emit!(catalogue::TARGET_RATE_MALFORMED),
    }
}

/// Logs that the process was paused.
pub fn paused() {
    emit!(catalogue::PAUSED);
}

/// Logs that the view has been confirmed after a pause.
pub fn confirmed() {
    emit!(catalogue::CONFIRMED);
}

/// Logs a datagram that cannot be decoded.
pub fn malformed_datagram(source: SocketAddr, error: &frame::Error) {
    emit!(catalogue::DATAGRAM_MALFORMED, %source, %error);
}

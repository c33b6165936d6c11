//! The daemons beside the workers of a service are restarted one after the other, while a request
//! that crashes each worker that runs it comes again and again at other machines.

use std::thread;
use std::time::{Duration, Instant};

use crate::crash::{config, first_kinds, kind};
use crate::daemon::SIGTERM;
use crate::fleet::{Fleet, Place, Result};
use crate::load::Load;
use crate::record::Record;

/// `grace_s`, after which the platform kills a process that was told to stop.
const GRACE: Duration = Duration::from_secs(6);

/// `gap_s` of the planned restarts.
const GAP: Duration = Duration::from_secs(2);

/// `stable_s`.
const STABLE: Duration = Duration::from_secs(3);

/// Workers: service, zone, milliseconds of work.
const PLACES: [Place; 12] = [
    ("fitfinder", "tt-north-a", 220),
    ("fitfinder", "tt-north-a", 220),
    ("fitfinder", "tt-north-b", 220),
    ("fitfinder", "tt-north-b", 220),
    ("fitfinder", "tt-north-c", 220),
    ("fitfinder", "tt-north-d", 220),
    ("slotdesk", "tt-north-a", 290),
    ("slotdesk", "tt-north-b", 290),
    ("slotdesk", "tt-north-c", 290),
    ("slotdesk", "tt-north-d", 290),
    ("paydesk", "tt-north-b", 150),
    ("paydesk", "tt-north-c", 150),
];

/// Machines beside workers of fitfinder.
const RESTARTED: std::ops::Range<usize> = 0..6;

/// Machines of slotdesk, at which the request comes.
const SENDERS: std::ops::Range<usize> = 6..10;

pub fn play(is_troubled: bool, record: &Record) -> Result<bool> {
    let mut fleet = Fleet::start(record, &config(7, false), &PLACES)?;
    thread::sleep(Duration::from_secs(4));
    let usual = Load::start(&fleet, &first_kinds());
    let poison = kind(
        "poison",
        4.0,
        ("GET", "fit.example", "/fit/poison"),
        b"",
        2500,
    );
    let poison = Load::start_at(&fleet, &[poison], SENDERS);
    thread::sleep(Duration::from_secs(12));
    let end = Instant::now() + Duration::from_secs(75);
    for index in RESTARTED.filter(|_| is_troubled) {
        let daemon = &mut fleet.daemons[index];
        daemon.signal(SIGTERM);
        daemon.wait(GRACE);
        daemon.start_again().map_err(|error| error.to_string())?;
        thread::sleep(GAP);
    }
    thread::sleep(end.saturating_duration_since(Instant::now()));
    let sent = poison.finish();
    usual.finish();
    for daemon in &fleet.daemons {
        daemon.quote_log(&["request-suspect", "target-down"], 6);
    }
    if fleet.daemons[SENDERS]
        .iter_mut()
        .any(|daemon| daemon.has_ended())
    {
        return Err("a sending daemon has ended".to_owned());
    }
    let mut runs = fleet.arrivals();
    runs.retain(|run| run.has_run && run.path.ends_with("/poison"));
    for run in &runs {
        record.line(&format!(
            "request {} crashed worker {} at {:.3}",
            run.id,
            run.worker,
            run.at.as_secs_f64()
        ));
    }
    record.line(&format!(
        "it was sent {} times and crashed {} workers",
        sent.len(),
        runs.len()
    ));
    let Some(third) = runs.get(2) else {
        return Ok(false);
    };
    let limit = third.at + STABLE;
    let is_late = |id: &str| sent.iter().any(|it| it.id == id && it.at > limit);
    let late = runs.iter().filter(|run| is_late(&run.id)).count();
    record.line(&format!(
        "sent later than stable_s after the third crash, by machines in touch: {late} reached workers, 3 are allowed"
    ));
    Ok(late > 3)
}

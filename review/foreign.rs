//! Another writer registers programs of its own, which run on the machines of some workers, under
//! the prefix of the workers' entries.

use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::crash::{PLACES, config, first_kinds, kind};
use crate::fleet::{Fleet, Result};
use crate::load::{Load, served};
use crate::record::Record;

/// Machines of fitfinder, on which the other programs run.
const MACHINES: std::ops::Range<usize> = 0..6;

/// Interval of status reports.
const HEARTBEAT: Duration = Duration::from_millis(1500);

/// Port of the other programs.
const PORT: u16 = 9100;

pub fn play(is_troubled: bool, record: &Record) -> Result<bool> {
    let fleet = Fleet::start(record, &config(7, false), &PLACES)?;
    thread::sleep(Duration::from_secs(4));
    let mut kinds = first_kinds();
    let first = Load::start(&fleet, &kinds);
    thread::sleep(Duration::from_secs(3));
    fleet.store.put("op/config", &config(9, true));
    thread::sleep(Duration::from_secs(5));
    let added = kind(
        "fit-models",
        20.0,
        ("GET", "fit.example", "/models/*"),
        b"",
        2500,
    );
    kinds.push(added.clone());
    let added = Load::start(&fleet, &[added]);
    thread::sleep(Duration::from_secs(6));
    if is_troubled {
        record.line("another writer registers programs on the machines of fitfinder");
        report_programs(&fleet);
    }
    thread::sleep(Duration::from_secs(8));
    let steady_from = record.now();
    thread::sleep(Duration::from_secs(40));
    let mut sent = first.finish();
    sent.extend(added.finish());
    sent.retain(|it| it.at >= steady_from);
    for kind in &kinds {
        let (count, served) = served(&sent, |it| it.kind == kind.name);
        record.line(&format!(
            "steady state, {}: {served} of {count} served",
            kind.name
        ));
    }
    let (count, added) = served(&sent, |it| it.kind == "fit-models");
    let added_share = added as f64 / count.max(1) as f64;
    let (first_count, first) = served(&sent, |it| it.kind != "fit-models");
    let first_share = first as f64 / first_count.max(1) as f64;
    record.line(&format!(
        "route that was added: {added_share:.3} served; first routes: {first_share:.3} served"
    ));
    Ok(count >= 20 && added_share < first_share / 4.0)
}

/// Writes the entries of the other programs, and again at each interval of status reports.
fn report_programs(fleet: &Fleet) {
    let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let programs: Vec<(String, String, String)> = fleet.daemons[MACHINES]
        .iter()
        .map(|daemon| {
            let machine = &daemon.machine;
            let key = format!("servers/agent-{}", machine.index);
            (key, machine.ip.clone(), machine.zone.clone())
        })
        .collect();
    let store = fleet.store.clone();
    thread::spawn(move || {
        for sequence in 1.. {
            for (key, ip, zone) in &programs {
                let entry = format!(
                    r#"{{"address":"{ip}:{PORT}","born":{},"info":{{"service":"node-agent","config_version":"v1","zone":"{zone}","slots":1}},"status":{{"state":"ready","sequence":{sequence},"cold_left_s":0}}}}"#,
                    born.as_millis()
                );
                store.put(key, &entry);
            }
            thread::sleep(HEARTBEAT);
        }
    });
}

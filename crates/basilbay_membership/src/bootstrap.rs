//! Start of a daemon that knows no other daemon yet.
//!
//! Answers the pattern of a cold herd: after a power failure all daemons start at the same moment,
//! and if each of them reads the platform in full, the fleet makes as many calls as it has daemons
//! times pages. Where the platform offers a cheap read of some instances, possibly out of date, a
//! new daemon therefore makes only that read. From the contacts in it, all daemons derive the same
//! few starters, which read the platform in full; the others ask starters and contacts for their
//! versions. A daemon that nobody has answered in time reads the platform itself, after a random
//! delay, so that the first ones that do can tell the others.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use basilbay_model::id::InstanceId;
use fastrand::Rng;

use crate::reader::{random_fraction, rank};

/// Smallest number of contacts that read the platform in full.
const MIN_STARTERS: usize = 4;

/// One in this many contacts reads the platform in full. Others pull from them over links that are
/// much narrower than the platform's, so each starter must serve a few daemons only.
const CONTACTS_PER_STARTER: usize = 4;

/// Interval between two rounds of heartbeats to contacts.
pub const ROUND_INTERVAL: Duration = Duration::from_millis(125);

/// Time after the first contacts in which a daemon learns from other daemons in the usual case.
const ANSWER_WAIT: Duration = Duration::from_millis(800);

/// Time over which daemons that nobody answered spread their own reads.
const ANSWER_SPREAD: Duration = Duration::from_secs(2);

/// Time for which a daemon looks for contacts before it reads the platform without any. When a
/// platform starts for the first time, its list of instances is empty for a few seconds.
const LONE_WAIT: Duration = Duration::from_secs(3);

/// Time over which daemons without contacts spread their own reads.
const LONE_SPREAD: Duration = Duration::from_secs(2);

/// Time until contacts are read again after a read without any; up to the same time is added at
/// random.
const RETRY_INTERVAL: Duration = Duration::from_millis(400);

/// Another daemon that may be running.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Contact {
    /// Id of its instance.
    pub id: InstanceId,
    /// Its peer address.
    pub address: SocketAddr,
}

/// What a daemon does until it has its first roster.
#[derive(Clone, Debug)]
pub struct Bootstrap {
    own_id: InstanceId,
    /// Contacts that read the platform in full, without this daemon.
    starters: Vec<SocketAddr>,
    /// All contacts, without this daemon.
    contacts: Vec<SocketAddr>,
    /// When contacts are read next.
    next_read_at: Instant,
    /// When this daemon reads the platform itself.
    direct_read_at: Instant,
}

impl Bootstrap {
    /// Creates the state of a daemon that starts now and makes its first read after `delay`.
    pub fn new(own_id: InstanceId, delay: Duration, now: Instant, random: &mut Rng) -> Self {
        Self {
            own_id,
            starters: Vec::new(),
            contacts: Vec::new(),
            next_read_at: now + delay,
            direct_read_at: now + LONE_WAIT + random_fraction(LONE_SPREAD, random),
        }
    }

    /// Whether to read contacts now; the next read is scheduled for the case that this one fails.
    pub fn takes_read(&mut self, now: Instant, random: &mut Rng) -> bool {
        let is_due = self.contacts.is_empty() && now >= self.next_read_at;
        if is_due {
            self.next_read_at = now + RETRY_INTERVAL + random_fraction(RETRY_INTERVAL, random);
        }
        is_due
    }

    /// Handles contacts, which may include this daemon; returns whether they are the first ones.
    pub fn receive(&mut self, contacts: &[Contact], now: Instant, random: &mut Rng) -> bool {
        if contacts.is_empty() || !self.contacts.is_empty() {
            return false;
        }
        let mut ranked: Vec<&Contact> = contacts.iter().collect();
        ranked.sort_by_key(|contact| std::cmp::Reverse(rank("", &contact.id)));
        ranked.truncate((contacts.len() / CONTACTS_PER_STARTER).max(MIN_STARTERS));
        let others = |contact: &&Contact| contact.id != self.own_id;
        let is_starter = ranked.iter().any(|contact| !others(contact));
        let address = |contact: &Contact| contact.address;
        self.starters = ranked.into_iter().filter(others).map(address).collect();
        self.contacts = contacts.iter().filter(others).map(address).collect();
        self.direct_read_at = if is_starter {
            now
        } else {
            now + ANSWER_WAIT + random_fraction(ANSWER_SPREAD, random)
        };
        true
    }

    /// Whether this daemon reads the platform itself.
    pub fn is_direct_read_due(&self, now: Instant) -> bool {
        now >= self.direct_read_at
    }

    /// Selects the destinations of one round: a starter and another contact.
    pub fn select_round(&self, random: &mut Rng) -> Vec<SocketAddr> {
        let starter = random.choice(&self.starters).copied();
        let contact = random.choice(&self.contacts).copied();
        let contact = contact.filter(|contact| Some(*contact) != starter);
        starter.into_iter().chain(contact).collect()
    }
}

//! The numbered events.
//!
//! Numbers by area: 1xx life of the daemon, 2xx configuration and roster, 3xx admission, 4xx
//! routing and retries, 5xx keys and suspects, 6xx control traffic.

/// How serious an event is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// Something is broken and needs a person.
    Error,
    /// Something is wrong that the system handles for now.
    Warning,
    /// Normal life.
    Info,
}

/// An event that a daemon can log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// Number; it never changes its meaning.
    pub number: u16,
    /// Short name.
    pub name: &'static str,
    /// How serious it is.
    pub severity: Severity,
    /// What happened.
    pub meaning: &'static str,
    /// What an operator should do.
    pub action: &'static str,
}

macro_rules! events {
    ($($id:ident $number:literal $severity:ident $name:literal $meaning:literal $action:literal;)*) => {
        $(
            #[doc = $meaning]
            pub const $id: Event = Event {
                number: $number,
                name: $name,
                severity: Severity::$severity,
                meaning: $meaning,
                action: $action,
            };
        )*

        /// Every event, in the order of the numbers.
        pub const ALL: &[Event] = &[$($id),*];
    };
}

events! {
    STARTED 100 Info "started"
        "The daemon listens on its ports." "Nothing.";
    STOPPING 101 Info "stopping"
        "The daemon was asked to stop; it refuses new work and finishes what runs." "Nothing.";
    STOPPED 102 Info "stopped"
        "All running work finished and the daemon ends." "Nothing.";
    PAUSED 103 Warning "paused"
        "The daemon did not run for a while; it refuses work until its view is confirmed."
        "If it recurs, look for an overloaded or suspended host.";
    CONFIRMED 104 Info "confirmed"
        "After a pause, the view was confirmed and work is taken again." "Nothing.";
    RELOADED 105 Info "reloaded"
        "The settings file was read again; `needs_restart` names what differs and takes a restart."
        "Restart the daemon if something is named.";
    RELOAD_REFUSED 106 Error "reload-refused"
        "The settings file has findings or cannot be read; the former settings stay in force."
        "Correct the file; it is read again when it changes.";
    CONFIG_ACCEPTED 200 Info "config-accepted"
        "A configuration version is in force." "Nothing.";
    CONFIG_REJECTED 201 Error "config-rejected"
        "A published configuration has findings; the former one stays in force."
        "Run `basilbay check` on the file and publish a corrected one with a higher version.";
    CONFIG_CONFLICT 202 Error "config-conflict"
        "Two different configurations carry the same version; the first one stays in force."
        "Publish the intended file with a higher version.";
    CONFIG_OLDER 203 Warning "config-older"
        "A source offered a version older than the one in force; it was ignored."
        "If it persists, look for a stale replica of the configuration service.";
    ROSTER_ACCEPTED 204 Info "roster-accepted"
        "A new version of the instance list is in use." "Nothing.";
    PLATFORM_UNREACHABLE 205 Warning "platform-unreachable"
        "The configuration service or the instance list does not answer."
        "The fleet serves on; restore the service before the next change.";
    ROSTER_CONFLICT 206 Error "roster-conflict"
        "Two different instance lists carry the same version; the first one stays in use."
        "Look for replicas of the instance list that disagree.";
    ROSTER_OLDER 207 Warning "roster-older"
        "A source offered an instance list older than the one in use; it was ignored."
        "If it persists, look for a stale replica of the instance list.";
    TARGET_DOWN 300 Error "target-down"
        "The target refuses connections or reset all of them."
        "Look at the target's own log; the daemon retries by itself.";
    TARGET_COLD 301 Warning "target-cold"
        "The target is on the ramp of a cold start." "Nothing; work returns with completions.";
    TARGET_WARM 302 Info "target-warm"
        "The target completed its cold start." "Nothing.";
    TARGET_UP 303 Info "target-up"
        "The target accepts connections again." "Nothing; it starts on the ramp.";
    TARGET_REPLACED 304 Info "target-replaced"
        "Another run of the target took the place of the one before; it starts cold." "Nothing.";
    REQUEST_ANSWERED 400 Info "request-answered"
        "A caller's request was answered by a target; `tries` names each target, how it ended and when."
        "Nothing.";
    REQUEST_NOT_SERVED 401 Warning "request-not-served"
        "A caller's request was answered by basilbay itself; `cause`, `outcome` and `tries` say why."
        "See docs/OPERATIONS.md.";
    RUN_REFUSED 402 Info "run-refused"
        "The own target's daemon refused a request; `detail` has the figures that decided."
        "Nothing, unless it lasts.";
    RUN_FAILED 403 Warning "run-failed"
        "A request that was handed to the own target got no whole answer."
        "Look at the target's own log for the request.";
    LINES_LEFT_OUT 404 Warning "lines-left-out"
        "More requests were decided about than lines are logged; the metrics count all of them."
        "Nothing, unless it lasts.";
    LEFT_BY_CALLER 405 Info "left-by-caller"
        "A caller went away before its request was answered; the request is cancelled." "Nothing.";
    REQUEST_SUSPECT 500 Warning "request-suspect"
        "The target crashed while it ran this request; after two crashes it is refused."
        "Look at the target's log for what the request does.";
    EDITS_MISMATCH 600 Warning "edits-mismatch"
        "Edits of a peer did not lead to the announced digest; the whole text is pulled."
        "If it recurs, look for daemons of different builds.";
    PULL_FAILED 601 Info "pull-failed"
        "A peer did not deliver what it announced; another one is asked." "Nothing.";
    PEER_LEAVING 602 Info "peer-leaving"
        "A peer's target leaves, by its own notice." "Nothing.";
    ISOLATED 603 Error "isolated"
        "Neither a peer nor the platform was heard for 3 s; new work is refused."
        "Look at the network of this host.";
    REJOINED 604 Info "rejoined"
        "A peer or the platform is heard again." "Nothing.";
    DATAGRAM_MALFORMED 605 Warning "datagram-malformed"
        "A datagram on the peer port cannot be read; it was ignored."
        "Look for other software that sends to this port, or for daemons of different builds.";
}

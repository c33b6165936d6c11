//! The catalogue of numbered events: what each one means and what an operator should do.
//!
//! Numbers by area: 1xx lifecycle of the daemon, 2xx configuration and roster, 3xx admission, 4xx
//! routing and retries, 5xx keys and suspects, 6xx control traffic.

/// How serious an event is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// A failure that needs an operator.
    Error,
    /// A problem that the system currently handles by itself.
    Warning,
    /// Normal operation.
    Info,
}

/// An event that a daemon can log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// Stable number, whose meaning never changes.
    pub number: u16,
    /// Short name in kebab case.
    pub name: &'static str,
    /// How serious the event is.
    pub severity: Severity,
    /// What happened.
    pub meaning: &'static str,
    /// Recommended action for an operator.
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

        /// Every event, sorted by number.
        pub const ALL: &[Event] = &[$($id),*];
    };
}

events! {
    STARTED 100 Info "started"
        "The daemon listens on its ports." "Nothing.";
    STOPPING 101 Info "stopping"
        "The daemon is stopping; it refuses new requests and drains the running ones." "Nothing.";
    STOPPED 102 Info "stopped"
        "All running requests finished and the daemon exits." "Nothing.";
    PAUSED 103 Warning "paused"
        "The daemon process was paused; it refuses new requests until its view is confirmed."
        "If it recurs, look for an overloaded or suspended host.";
    CONFIRMED 104 Info "confirmed"
        "The view was confirmed after a pause; new requests are accepted again." "Nothing.";
    RELOADED 105 Info "reloaded"
        "The settings file was reloaded; `needs_restart` lists changes that only a restart applies."
        "Restart the daemon if settings are listed.";
    RELOAD_REFUSED 106 Error "reload-refused"
        "The settings file has findings or is unreadable; the previous settings stay active."
        "Correct the file; it is reloaded when it changes.";
    CONFIG_ACCEPTED 200 Info "config-accepted"
        "A new configuration version is active." "Nothing.";
    CONFIG_REJECTED 201 Error "config-rejected"
        "A published configuration has findings; the previous one stays active."
        "Run `basilbay check` on the file and publish a corrected one with a higher version.";
    CONFIG_CONFLICT 202 Error "config-conflict"
        "Two different configurations have the same version; the first one stays active."
        "Publish the intended file with a higher version.";
    CONFIG_OLDER 203 Warning "config-older"
        "A source offered a version older than the active one; it was ignored."
        "If it persists, look for a stale replica of the configuration service.";
    ROSTER_ACCEPTED 204 Info "roster-accepted"
        "A new version of the instance list is active." "Nothing.";
    PLATFORM_UNREACHABLE 205 Warning "platform-unreachable"
        "The configuration service or the instance list does not respond."
        "The fleet continues to serve; restore the service before the next change.";
    ROSTER_CONFLICT 206 Error "roster-conflict"
        "Two different instance lists have the same version; the first one stays active."
        "Look for replicas of the instance list that disagree.";
    ROSTER_OLDER 207 Warning "roster-older"
        "A source offered an instance list older than the active one; it was ignored."
        "If it persists, look for a stale replica of the instance list.";
    PLATFORM_RESTORED 208 Warning "platform-restored"
        "The platform came back from an older copy of its content; `before` and `era` count its restorations."
        "Check that the configuration and evacuations of the time before are published again.";
    CONFIG_SUPERSEDED 209 Warning "config-superseded"
        "After a restoration of the platform, a source offered content with a lower serial than the active configuration; it was ignored."
        "Publish the configuration of the active serial again, or one with a higher serial.";
    TARGET_DOWN 300 Error "target-down"
        "The target refuses new connections or has reset all open ones."
        "Check the target's log; the daemon keeps retrying.";
    TARGET_COLD 301 Warning "target-cold"
        "The target is warming up after a cold start." "Nothing; the limit rises as requests complete.";
    TARGET_WARM 302 Info "target-warm"
        "The target completed its cold start." "Nothing.";
    TARGET_UP 303 Info "target-up"
        "The target accepts connections again." "Nothing; it warms up again.";
    TARGET_REPLACED 304 Info "target-replaced"
        "A new run of the target replaced the previous one; it starts cold." "Nothing.";
    TARGET_RATE_CHANGED 305 Info "target-rate-changed"
        "The rate that the target states to accept has changed; `before` and `rate_per_s` are requests per second, none without a limit."
        "If it persists, look for what keeps the target from serving at its usual rate.";
    TARGET_LEAVING 306 Info "target-leaving"
        "The target states in its responses whether it is leaving; `is_leaving` has changed." "Nothing.";
    TARGET_RATE_MALFORMED 307 Warning "target-rate-malformed"
        "The target states a rate limit that is not a number of requests per second; the previous one stays in force."
        "Correct the target's header.";
    TARGET_MISDIRECTED 308 Warning "target-misdirected"
        "Another run than the listed one responds at the target's address; no requests are admitted until the instance list names another run."
        "If it persists, look for a target that is not registered.";
    REQUEST_ANSWERED 400 Info "request-answered"
        "A target responded to a caller's request; `tries` lists target, result and time of each attempt."
        "Nothing.";
    REQUEST_NOT_SERVED 401 Warning "request-not-served"
        "basilbay itself responded to a caller's request; `cause`, `outcome` and `tries` give the reason."
        "See docs/OPERATIONS.md.";
    RUN_REFUSED 402 Info "run-refused"
        "The daemon refused a request for its local target; `detail` has the values behind the decision."
        "Nothing, unless it persists.";
    RUN_FAILED 403 Warning "run-failed"
        "A request that was sent to the local target got no complete response."
        "Check the target's log for the request.";
    LINES_LEFT_OUT 404 Warning "lines-left-out"
        "The rate limit of the log suppressed lines; the metrics count all requests."
        "Nothing, unless it persists.";
    LEFT_BY_CALLER 405 Info "left-by-caller"
        "A caller disconnected before it got a response; the request is cancelled." "Nothing.";
    RESPONSES_DROPPED 406 Warning "responses-dropped"
        "The daemon closed a caller's connection before all requests on it had their responses."
        "Look for the connection's other requests; `reason` says what ended it.";
    REQUEST_SUSPECT 500 Warning "request-suspect"
        "The target crashed while it ran this request; after two crashes the request is refused but for trials."
        "Check the target's log for what the request does.";
    REQUEST_TRIAL 501 Info "request-trial"
        "A request that is refused runs once, to find out whether it still crashes targets." "Nothing.";
    REQUEST_CLEARED 502 Info "request-cleared"
        "The trial of a refused request completed; it is no longer refused." "Nothing.";
    SUSPECTS_RESTORED 503 Info "suspects-restored"
        "A sibling sent the requests that it refuses to this daemon, which has started." "Nothing.";
    EDITS_MISMATCH 600 Warning "edits-mismatch"
        "Edits from a peer did not produce the announced digest; the full text is pulled."
        "If it recurs, look for daemons of different builds.";
    PULL_FAILED 601 Info "pull-failed"
        "A peer did not deliver the version that it announced; the pull is retried from another peer." "Nothing.";
    PEER_LEAVING 602 Info "peer-leaving"
        "A peer announced that its target is leaving." "Nothing.";
    ISOLATED 603 Error "isolated"
        "Neither a peer nor the platform was reachable for 3 s; new requests are refused."
        "Check the network of this host.";
    REJOINED 604 Info "rejoined"
        "A peer or the platform is reachable again." "Nothing.";
    DATAGRAM_MALFORMED 605 Warning "datagram-malformed"
        "A datagram on the peer port is malformed; it was ignored."
        "Look for other software that sends to this port, or for daemons of different builds.";
}

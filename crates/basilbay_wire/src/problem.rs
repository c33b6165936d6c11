//! Error responses that basilbay generates, as problem documents (RFC 9457).
//!
//! A [`Problem`] has a [`Cause`], which fixes type, status and title, and an [`Outcome`], which
//! states whether the request may have run and thus whether a retry is safe.

use std::fmt;
use std::sync::Arc;

use http::StatusCode;
use serde::{Deserialize, Serialize};

/// Content type of a problem document.
pub const CONTENT_TYPE: &str = "application/problem+json";

/// Whether a request that basilbay could not serve has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request has not run and will not run.
    NotRun,
    /// The request may have run or may still run.
    Unknown,
}

impl Outcome {
    /// Value of the outcome header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }

    /// Parses the value of the outcome header; `None` for any other value.
    pub fn parse(value: &str) -> Option<Self> {
        match value {
            "not-run" => Some(Self::NotRun),
            "unknown" => Some(Self::Unknown),
            _ => None,
        }
    }
}

/// Cause of a problem; each has one type URI, status and title.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The request is malformed.
    BadRequest,
    /// The service does not exist, or the path matches none of its kinds.
    UnknownService,
    /// The header section exceeds its limit.
    HeadersTooLarge,
    /// The body exceeds its limit.
    BodyTooLarge,
    /// The headers did not arrive within the header timeout.
    TooSlow,
    /// The call chain exceeds the maximum depth.
    TooDeep,
    /// The idempotency key was used with a different request.
    KeyReused,
    /// No target has free capacity.
    NoCapacity,
    /// The target itself refused the request.
    TargetBusy,
    /// Another run of the target, or another target, responded at the target's address.
    Misdirected,
    /// Other workloads on the target's machine currently slow it down.
    TargetSlowed,
    /// The service or all its failure domains are out.
    ServiceOut,
    /// The target or the daemon is leaving.
    Leaving,
    /// The daemon has not confirmed that its configuration and roster are current.
    Unconfirmed,
    /// The request crashed targets before.
    Poisoned,
    /// The deadline passed.
    DeadlinePassed,
    /// The target failed while it processed the request.
    TargetFailed,
    /// The daemon that owns the idempotency key does not know whether the request ran.
    KeyUnknown,
    /// A daemon on the path was unreachable or failed.
    PeerFailed,
}

impl Cause {
    /// Every cause, for lookups and for the test of the reference page.
    pub const ALL: [Self; 19] = [
        Self::BadRequest,
        Self::UnknownService,
        Self::HeadersTooLarge,
        Self::BodyTooLarge,
        Self::TooSlow,
        Self::TooDeep,
        Self::KeyReused,
        Self::NoCapacity,
        Self::TargetBusy,
        Self::Misdirected,
        Self::TargetSlowed,
        Self::ServiceOut,
        Self::Leaving,
        Self::Unconfirmed,
        Self::Poisoned,
        Self::DeadlinePassed,
        Self::TargetFailed,
        Self::KeyUnknown,
        Self::PeerFailed,
    ];

    /// HTTP status of the response.
    pub fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::UnknownService => StatusCode::NOT_FOUND,
            Self::HeadersTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::TooDeep => StatusCode::LOOP_DETECTED,
            Self::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Self::NoCapacity
            | Self::TargetBusy
            | Self::Misdirected
            | Self::TargetSlowed
            | Self::ServiceOut
            | Self::Leaving
            | Self::Unconfirmed => StatusCode::SERVICE_UNAVAILABLE,
            Self::Poisoned => StatusCode::FORBIDDEN,
            Self::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
            Self::TargetFailed | Self::KeyUnknown | Self::PeerFailed => StatusCode::BAD_GATEWAY,
        }
    }

    /// Last part of the type URI.
    pub fn slug(self) -> &'static str {
        match self {
            Self::BadRequest => "bad-request",
            Self::UnknownService => "unknown-service",
            Self::HeadersTooLarge => "headers-too-large",
            Self::BodyTooLarge => "body-too-large",
            Self::TooSlow => "too-slow",
            Self::TooDeep => "too-deep",
            Self::KeyReused => "key-reused",
            Self::NoCapacity => "no-capacity",
            Self::TargetBusy => "target-busy",
            Self::Misdirected => "misdirected",
            Self::TargetSlowed => "target-slowed",
            Self::ServiceOut => "service-out",
            Self::Leaving => "leaving",
            Self::Unconfirmed => "unconfirmed",
            Self::Poisoned => "poisoned",
            Self::DeadlinePassed => "deadline-passed",
            Self::TargetFailed => "target-failed",
            Self::KeyUnknown => "key-unknown",
            Self::PeerFailed => "peer-failed",
        }
    }

    /// Parses the last part of a type URI; `None` for an unknown one.
    pub fn parse(slug: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|cause| cause.slug() == slug)
    }

    /// Short title.
    pub fn title(self) -> &'static str {
        match self {
            Self::BadRequest => "The request cannot be read",
            Self::UnknownService => "No such service or path",
            Self::HeadersTooLarge => "The headers are too large",
            Self::BodyTooLarge => "The body is too large",
            Self::TooSlow => "The headers came too slowly",
            Self::TooDeep => "The call chain is too deep",
            Self::KeyReused => "The idempotency key was used for another request",
            Self::NoCapacity => "No target has room",
            Self::TargetBusy => "The target took no more work",
            Self::Misdirected => "Another run of the target responded",
            Self::TargetSlowed => "The target is slowed by others on its machine",
            Self::ServiceOut => "The service takes no work",
            Self::Leaving => "The target is leaving",
            Self::Unconfirmed => "The daemon is confirming its view",
            Self::Poisoned => "The request crashes its targets",
            Self::DeadlinePassed => "The deadline passed",
            Self::TargetFailed => "The target failed",
            Self::KeyUnknown => "It is unknown whether the key ran",
            Self::PeerFailed => "A daemon on the way failed",
        }
    }

    /// Whether the cause lies with one target or its daemon, so that another target may still
    /// accept the request.
    pub fn is_target_specific(self) -> bool {
        matches!(
            self,
            Self::NoCapacity
                | Self::TargetBusy
                | Self::Misdirected
                | Self::TargetSlowed
                | Self::ServiceOut
                | Self::Leaving
                | Self::Unconfirmed
                | Self::TargetFailed
                | Self::PeerFailed
        )
    }
}

/// A request that basilbay could not serve.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Cause, which fixes type, status and title.
    pub cause: Cause,
    /// Whether the request has run.
    pub outcome: Outcome,
    /// Human-readable explanation of this occurrence.
    pub detail: Arc<str>,
}

impl Problem {
    /// Creates a problem for a request that has not run.
    pub fn not_run(cause: Cause, detail: impl Into<Arc<str>>) -> Self {
        Self {
            cause,
            outcome: Outcome::NotRun,
            detail: detail.into(),
        }
    }

    /// Creates a problem for a request that may have run.
    pub fn unknown(cause: Cause, detail: impl Into<Arc<str>>) -> Self {
        Self {
            cause,
            outcome: Outcome::Unknown,
            detail: detail.into(),
        }
    }

    /// Whether the request may have reached the target's process, which may have refused it.
    pub fn has_reached_target(&self) -> bool {
        let is_refusal_of_target = matches!(self.cause, Cause::TargetBusy | Cause::Misdirected);
        self.outcome == Outcome::Unknown || is_refusal_of_target
    }

    /// Changes the outcome to unknown.
    pub fn into_unknown(self) -> Self {
        Self {
            outcome: Outcome::Unknown,
            ..self
        }
    }

    /// Restores a problem from the document of another daemon; an unknown type becomes
    /// [`Cause::PeerFailed`].
    pub fn from_document(document: &Document) -> Self {
        let slug = document.type_uri.rsplit(':').next().unwrap_or_default();
        Self {
            cause: Cause::parse(slug).unwrap_or(Cause::PeerFailed),
            outcome: document.outcome,
            detail: document.detail.clone(),
        }
    }

    /// The problem document; `instance` is the id of the daemon that generates it.
    pub fn document(&self, instance: &str) -> Document {
        Document {
            type_uri: Arc::from(format!("urn:basilbay:problem:{}", self.cause.slug())),
            title: Arc::from(self.cause.title()),
            status: self.cause.status().as_u16(),
            detail: self.detail.clone(),
            instance: Arc::from(instance),
            outcome: self.outcome,
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let outcome = self.outcome.as_str();
        write!(out, "{}: {} ({outcome})", self.cause.title(), self.detail)
    }
}

/// A problem document as it is sent to callers and other daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Type URI of the cause.
    #[serde(rename = "type")]
    pub type_uri: Arc<str>,
    /// Short title.
    pub title: Arc<str>,
    /// HTTP status.
    pub status: u16,
    /// Human-readable explanation of this occurrence.
    pub detail: Arc<str>,
    /// Id of the daemon that generated the document.
    pub instance: Arc<str>,
    /// Whether the request has run.
    pub outcome: Outcome,
}

//! Events of the time just past.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// When events came, over a span that ends now.
#[derive(Clone, Debug)]
pub struct Window {
    span: Duration,
    times: VecDeque<Instant>,
}

impl Window {
    /// An empty window.
    pub fn new(span: Duration) -> Self {
        Self {
            span,
            times: VecDeque::new(),
        }
    }

    /// Number of events as of the last review.
    pub fn len(&self) -> usize {
        self.times.len()
    }

    /// Whether there are no events as of the last review.
    pub fn is_empty(&self) -> bool {
        self.times.is_empty()
    }

    /// When the event at a index leaves the window; the oldest is at 0.
    pub fn expires_at(&self, index: usize) -> Option<Instant> {
        self.times.get(index).map(|time| *time + self.span)
    }

    /// Drops the events that have left the window.
    pub fn evict_expired(&mut self, now: Instant) {
        while let Some(first) = self.times.front() {
            if now.saturating_duration_since(*first) < self.span {
                break;
            }
            self.times.pop_front();
        }
    }

    /// Notes an event.
    pub fn record(&mut self, now: Instant) {
        self.evict_expired(now);
        self.times.push_back(now);
    }

    /// Notes an event unless there are `max` in the window already; whether it was noted.
    pub fn try_record(&mut self, max: usize, now: Instant) -> bool {
        self.evict_expired(now);
        let has_room = self.times.len() < max;
        if has_room {
            self.times.push_back(now);
        }
        has_room
    }

    /// Drops the events up to a time.
    pub fn discard_until(&mut self, until: Instant) {
        self.times.retain(|time| *time > until);
    }
}

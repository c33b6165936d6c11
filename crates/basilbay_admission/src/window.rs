//! Sliding window that counts recent events, for rate limits.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Times of the events within a time span that ends now.
#[derive(Clone, Debug)]
pub struct Window {
    span: Duration,
    times: VecDeque<Instant>,
}

impl Window {
    /// Creates an empty window.
    pub fn new(span: Duration) -> Self {
        Self {
            span,
            times: VecDeque::new(),
        }
    }

    /// Number of events as of the last eviction.
    pub fn len(&self) -> usize {
        self.times.len()
    }

    /// Whether there are no events as of the last eviction.
    pub fn is_empty(&self) -> bool {
        self.times.is_empty()
    }

    /// When the event at an index leaves the window; the oldest has index 0. `None` if the index is
    /// out of range.
    pub fn expires_at(&self, index: usize) -> Option<Instant> {
        self.times.get(index).map(|time| *time + self.span)
    }

    /// Drops events that are older than the span.
    pub fn evict_expired(&mut self, now: Instant) {
        while let Some(first) = self.times.front() {
            if now.saturating_duration_since(*first) < self.span {
                break;
            }
            self.times.pop_front();
        }
    }

    /// Records an event.
    pub fn record(&mut self, now: Instant) {
        self.evict_expired(now);
        self.times.push_back(now);
    }

    /// Records an event unless the window holds `max` already; returns whether it was recorded.
    pub fn try_record(&mut self, max: usize, now: Instant) -> bool {
        self.evict_expired(now);
        let has_room = self.times.len() < max;
        if has_room {
            self.times.push_back(now);
        }
        has_room
    }

    /// Drops events up to and including `until`.
    pub fn discard_until(&mut self, until: Instant) {
        self.times.retain(|time| *time > until);
    }
}

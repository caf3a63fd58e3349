//! The adaptive concurrency limit of one cell member at one upstream.

/// Limits the requests in flight: grows while it is used up and replies arrive, and halves when
/// the upstream rejects a request because of its load.
#[derive(Clone, Debug)]
pub struct Window {
    size: f64,
    max: f64,
}

impl Window {
    /// Creates a window that starts at a member's share of the `slots`, which `sharers` members
    /// use, and never exceeds `connections`, its share of the connections.
    #[must_use]
    pub fn new(slots: u32, sharers: u32, connections: u32) -> Self {
        let max = f64::from(connections.max(1));
        let share = f64::from(slots) / f64::from(sharers.max(1));
        Self { size: share.clamp(1.0, max), max }
    }

    /// Sets a new share of the connections after a change of the view.
    pub fn resize(&mut self, connections: u32) {
        self.max = f64::from(connections.max(1));
        self.size = self.size.min(self.max);
    }

    /// Grows the window after a good reply that arrived while `in_flight` requests were in flight.
    pub fn grow(&mut self, in_flight: usize) {
        let used = f64::from(u32::try_from(in_flight).unwrap_or(u32::MAX));
        if used + 1.0 >= self.size {
            self.size = (self.size + 1.0 / self.size).min(self.max);
        }
    }

    /// Halves the window, after a rejection because of load.
    pub fn shrink(&mut self) {
        self.scale(0.5);
    }

    /// Scales the window by a factor, for example where the upstream's queue grows.
    pub fn scale(&mut self, factor: f64) {
        self.size = (self.size * factor).clamp(1.0, self.max);
    }

    /// Raises the window to at least `size`, as far as the connections allow.
    pub fn raise_to(&mut self, size: f64) {
        self.size = self.size.max(size.min(self.max));
    }

    /// Returns the window's size, in requests.
    #[must_use]
    pub fn size(&self) -> f64 {
        self.size
    }

    /// Returns whether one more request may be sent beside `in_flight` others.
    #[must_use]
    pub fn has_room(&self, in_flight: usize) -> bool {
        f64::from(u32::try_from(in_flight).unwrap_or(u32::MAX)) + 1.0 <= self.size
    }
}

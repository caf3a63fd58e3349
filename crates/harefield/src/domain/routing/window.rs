//! The adaptive limit on what one member has under way at one upstream.

/// Bounds the requests under way; grows while it is used and replies come,
/// halves when the upstream says that it is full.
#[derive(Clone, Debug)]
pub struct Window {
    size: f64,
    most: f64,
}

impl Window {
    /// Creates a window that starts at a member's share of the slots and never
    /// exceeds its share of the connections.
    #[must_use]
    pub fn new(slots: u32, sharers: u32, connections: u32) -> Self {
        let most = f64::from(connections.max(1));
        let share = f64::from(slots) / f64::from(sharers.max(1));
        Self { size: share.clamp(1.0, most), most }
    }

    /// Takes a new share of the connections after a change of view.
    pub fn resize(&mut self, connections: u32) {
        self.most = f64::from(connections.max(1));
        self.size = self.size.min(self.most);
    }

    /// Takes a good reply that came while `under_way` requests were out.
    pub fn grow(&mut self, under_way: usize) {
        let used = f64::from(u32::try_from(under_way).unwrap_or(u32::MAX));
        if used + 1.0 >= self.size {
            self.size = (self.size + 1.0 / self.size).min(self.most);
        }
    }

    /// Takes word that the upstream is full.
    pub fn shrink(&mut self) {
        self.scale(0.5);
    }

    /// Scales the window, for a queue that is growing.
    pub fn scale(&mut self, factor: f64) {
        self.size = (self.size * factor).clamp(1.0, self.most);
    }

    /// Returns the window's size, in requests.
    #[must_use]
    pub fn size(&self) -> f64 {
        self.size
    }

    /// Returns whether one more request may leave.
    #[must_use]
    pub fn has_room(&self, under_way: usize) -> bool {
        f64::from(u32::try_from(under_way).unwrap_or(u32::MAX)) + 1.0 <= self.size
    }
}

//! Knowing how old what is in force may be, and saying so where it is too old.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use super::duty::Control;
use crate::domain::event::Event;
use crate::domain::time::millis;
use crate::ports::Clock;
use crate::ports::Peers;
use crate::ports::Platform;
use crate::ports::Space;

/// How often a daemon looks whether what it has in force is too old to be vouched for:
/// a small part of the 3 s after which it is.
const LOOK_EVERY: Duration = Duration::from_millis(250);

impl<F: Platform, P: Peers, C: Clock> Control<F, P, C> {
    /// Notes that all that the platform confirmed in a space up to `at` is held here.
    pub(super) fn prove(&self, space: Space, at: Instant) {
        let news = self.freshness.borrow_mut().entry(space).or_default().prove(at);
        if news && space == Space::Config {
            self.board.prove(at);
        }
    }

    /// Returns for how long a change may have been confirmed that is missing here;
    /// none before anything was proven.
    pub(super) fn age(&self, space: Space) -> Option<Duration> {
        let now = self.ports.clock.now();
        self.freshness.borrow().get(&space).and_then(|freshness| freshness.age(now))
    }

    /// Says when this daemon can no longer vouch that each confirmed change is in
    /// force, and when it can again.
    pub(super) async fn watch_age(self: Rc<Self>) {
        let mut behind = false;
        loop {
            self.ports.clock.sleep(LOOK_EVERY).await;
            let Some(age) = self.age(Space::Config) else { continue };
            let is_behind = age > self.settings.apply;
            if is_behind != behind {
                behind = is_behind;
                self.emit(self.age_event(behind, age));
            }
        }
    }

    fn age_event(&self, behind: bool, age: Duration) -> Event {
        let (revision, millis) = (self.revision(Space::Config), millis(age));
        if behind {
            Event::ConfigBehind { revision, millis }
        } else {
            Event::ConfigCurrent { revision, millis }
        }
    }
}

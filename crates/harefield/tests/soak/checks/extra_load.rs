//! Checks that the extra load from retries and hedges stays within its bound.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use super::Checks;
use super::Violation;
use super::float;
use crate::cluster::EXTRA_SLACK;

/// The window over which extra load is counted.
const WINDOW: Duration = Duration::from_secs(10);

/// The allowed extra load, as a share of the requests.
const EXTRA_SHARE: f64 = 0.2;

/// A request that ran at an upstream of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Arrival {
    at: Instant,
    /// Whether the service had already run the same request.
    extra: bool,
}

impl Checks<'_> {
    /// The extra load of each service stays within a share of its requests plus the slack.
    pub(super) fn check_load(&mut self) {
        let mut by_service: BTreeMap<&str, Vec<Arrival>> = BTreeMap::new();
        for runs in self.runs.values() {
            let first = self.first_runs(runs);
            for (name, at) in runs {
                let service = self.service_of(name);
                let extra = first.get(service) != Some(at);
                by_service.entry(service).or_default().push(Arrival { at: *at, extra });
            }
        }
        for (service, mut arrivals) in by_service {
            arrivals.sort_unstable();
            if let Some((extra, needed)) = first_excess(&arrivals) {
                let detail = format!("{service}: {extra} extra requests beside {needed} first ones");
                self.violations.push(Violation { promise: "extra load", detail });
            }
        }
    }

    /// Returns when each service first ran a request.
    fn first_runs(&self, runs: &[(String, Instant)]) -> BTreeMap<&str, Instant> {
        let mut first = BTreeMap::new();
        for (name, at) in runs {
            let earliest = first.entry(self.service_of(name)).or_insert(*at);
            *earliest = (*earliest).min(*at);
        }
        first
    }
}

/// Returns the number of extra arrivals and of first arrivals at the first moment at which the
/// window holds too many extra ones; `None` if that never happens.
fn first_excess(arrivals: &[Arrival]) -> Option<(usize, usize)> {
    let mut from = 0;
    for (at, newest) in arrivals.iter().enumerate() {
        while newest.at - arrivals[from].at > WINDOW {
            from += 1;
        }
        let extra = arrivals[from..=at].iter().filter(|arrival| arrival.extra).count();
        let needed = needed_until(newest.at, &arrivals[..=at]);
        if float(extra) > EXTRA_SHARE * float(needed) + EXTRA_SLACK {
            return Some((extra, needed));
        }
    }
    None
}

/// Returns the number of first arrivals that set the bound of the extra load at a moment: those
/// of the current window and of the one before.
fn needed_until(moment: Instant, arrivals: &[Arrival]) -> usize {
    let earliest = moment.checked_sub(WINDOW * 2);
    let counts =
        |arrival: &&Arrival| !arrival.extra && earliest.is_none_or(|earliest| arrival.at >= earliest);
    arrivals.iter().filter(counts).count()
}

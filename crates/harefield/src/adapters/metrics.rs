//! Counters and latency histograms, served as text on the operators' address.

use std::collections::HashSet;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;

use crate::domain::buffers::Purpose;
use crate::domain::event::Cause;
use crate::domain::event::Event;
use crate::domain::outcome::Outcome;
use crate::memory::Meters;
use crate::telemetry::RankQueue;

/// The upper bound of the first latency bucket, in seconds.
const FIRST_BUCKET: f64 = 0.002;

/// The ratio of each bucket's bound to the previous one.
const BUCKET_FACTOR: f64 = 1.6;

/// The number of buckets. The last bound is about 9 s, beyond the users' deadlines.
const BUCKETS: u16 = 19;

/// The maximum number of lookups with a histogram of their own. The others share one, so that a
/// configuration with many routes doesn't increase the memory and the size of the output.
const MAX_LOOKUPS: usize = 40;

/// The label of the histogram that the remaining lookups share.
const OTHER_LOOKUPS: &str = "others";

/// The label of requests to which every shard contributed.
const WHOLE: &str = "whole";

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Kind {
    kind: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Lookup {
    lookup: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Rank {
    rank: u64,
}

type Kinds = Family<Kind, Counter>;
type Lookups = Family<Lookup, Counter>;
type Ranks = Family<Rank, Gauge>;
type RankTimes = Family<Rank, Gauge<f64, AtomicU64>>;
type Times = Family<Lookup, Histogram, fn() -> Histogram>;

/// The metrics of a daemon.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    answers: Kinds,
    codes: Kinds,
    sent: Kinds,
    failures: Kinds,
    gaps: Kinds,
    events: Kinds,
    groups: Kinds,
    shards_left_out: Lookups,
    refused_no_room: Lookups,
    dispatch_waiting: Ranks,
    dispatch_delay: RankTimes,
    ended: Kinds,
    views: Kinds,
    changed_values: Counter,
    changed_bytes: Counter,
    rejected: Gauge,
    held: Family<Kind, Gauge>,
    dropped: Counter,
    revision: Gauge,
    era: Gauge,
    left_out: Gauge,
    age: Gauge<f64, AtomicU64>,
    times: Times,
    lookups: Mutex<HashSet<String>>,
}

fn count(family: &Kinds, name: &str) {
    family.get_or_create(&Kind { kind: name.to_owned() }).inc();
}

fn outcome_name(outcome: Outcome, missing: usize) -> &'static str {
    match outcome {
        Outcome::Answered if missing == 0 => WHOLE,
        Outcome::Answered => "partial",
        Outcome::NotRun => "not-run",
        Outcome::MayHaveRun => "may-have-run",
    }
}

fn cause_name(cause: Cause) -> &'static str {
    match cause {
        Cause::First => "first",
        Cause::Retry => "retry",
        Cause::Hedge => "hedge",
        Cause::Probe => "probe",
    }
}

/// Escapes a label's value for the text format, which the metrics library doesn't do.
fn escape(value: &str) -> String {
    if !value.contains(['\\', '"', '\n']) {
        return value.to_owned();
    }
    value.replace('\\', r"\\").replace('"', "\\\"").replace('\n', r"\n")
}

impl Metrics {
    /// Creates metrics with all counters at zero.
    #[must_use]
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("harefield");
        let mut family = |name: &str, help: &str| {
            let family = Kinds::default();
            registry.register(name, help, family.clone());
            family
        };
        let answers = family("answers", "Requests by what became of them");
        let codes = family("codes", "Requests that were not answered whole, by result code");
        let sent = family("sent", "Requests to upstreams by cause");
        let failures = family("attempt_failures", "Attempts on upstreams that failed, by reason");
        let gaps = family("missing_shards", "Shards that did not contribute, by reason");
        let events = family("events", "Other decisions by kind");
        let groups = family("groups", "Groups of shards handed on or taken");
        let ended = family("connections_ended", "Connections ended since their peers do not read");
        let views = family("views", "Views computed, by what changed");
        let mut lookup_family = |name: &str, help: &str| {
            let family = Lookups::default();
            registry.register(name, help, family.clone());
            family
        };
        let help = "Shards not queried, since they could not answer in time, by lookup";
        let shards_left_out = lookup_family("shards_left_out", help);
        let help = "Requests refused, since too few shards could answer in time, by lookup";
        let refused_no_room = lookup_family("refused_no_room", help);
        let (dispatch_waiting, dispatch_delay) = (Ranks::default(), RankTimes::default());
        let help = "Requests that wait for shards of scheduled indexes, by rank";
        registry.register("dispatch_waiting", help, dispatch_waiting.clone());
        let help = "The longest time that a new request would wait for a shard, by rank";
        registry.register("dispatch_delay_ms", help, dispatch_delay.clone());
        let bytes = Family::<Kind, Gauge>::default();
        registry.register("held_bytes", "Bytes held for others, by use", bytes.clone());
        let (changed_values, changed_bytes) = (Counter::default(), Counter::default());
        let help = "Values of the configuration that changed";
        registry.register("config_changed_values", help, changed_values.clone());
        let help = "Bytes of the new ones";
        registry.register("config_changed_bytes", help, changed_bytes.clone());
        let rejected = Gauge::default();
        let help = "1 while the newest revision of the platform is rejected";
        registry.register("config_rejected", help, rejected.clone());
        let (dropped, revision) = (Counter::default(), Gauge::default());
        let left_out = Gauge::default();
        let help = "Entries of the platform that name no upstream, as this daemon read them";
        registry.register("entries_left_out", help, left_out.clone());
        let age = Gauge::<f64, AtomicU64>::default();
        age.set(f64::INFINITY);
        registry.register("events_dropped", "Events that the time line had no room for", dropped.clone());
        registry.register("revision", "The configuration revision in force", revision.clone());
        let era = Gauge::default();
        registry.register("era", "The era of the platform that it is of", era.clone());
        let help = "For how long a newer revision may have been confirmed";
        registry.register("config_age_seconds", help, age.clone());
        let times = Times::new_with_constructor(|| {
            Histogram::new(exponential_buckets(FIRST_BUCKET, BUCKET_FACTOR, BUCKETS))
        });
        registry.register("answer_seconds", "Time from a request to its answer, by lookup", times.clone());
        let lookups = Mutex::default();
        Self {
            registry,
            answers,
            codes,
            sent,
            failures,
            gaps,
            events,
            groups,
            shards_left_out,
            refused_no_room,
            dispatch_waiting,
            dispatch_delay,
            ended,
            views,
            changed_values,
            changed_bytes,
            rejected,
            held: bytes,
            dropped,
            revision,
            era,
            left_out,
            age,
            times,
            lookups,
        }
    }

    /// Updates the metrics from one event of the time line.
    pub fn record(&self, event: &Event) {
        match event {
            Event::Answered { lookup, outcome, code, missing, micros, .. } => {
                let name = outcome_name(*outcome, *missing);
                count(&self.answers, name);
                if name != WHOLE {
                    count(&self.codes, &code.to_string());
                }
                let seconds = Duration::from_micros(*micros).as_secs_f64();
                self.times.get_or_create(&self.label(lookup)).observe(seconds);
            }
            Event::Sent { cause, .. } => count(&self.sent, cause_name(*cause)),
            Event::AttemptFailed { why, .. } => count(&self.failures, why.name()),
            Event::ShardMissing { why, .. } => count(&self.gaps, why.name()),
            Event::LeftOut { lookup, count, .. } => {
                let count = u64::try_from(*count).unwrap_or(u64::MAX);
                self.shards_left_out.get_or_create(&self.label(lookup)).inc_by(count);
            }
            Event::NoShardRoom { lookup, .. } => {
                self.refused_no_room.get_or_create(&self.label(lookup)).inc();
            }
            Event::GroupSent { .. } => count(&self.groups, "sent"),
            Event::GroupTaken { .. } => count(&self.groups, "taken"),
            Event::GroupRevoked { .. } => count(&self.groups, "revoked"),
            Event::ConfigAccepted { revision, size, .. } => {
                self.changed_values.inc_by(size.values.try_into().unwrap_or(u64::MAX));
                self.changed_bytes.inc_by(size.bytes.try_into().unwrap_or(u64::MAX));
                self.revision.set(i64::try_from(revision.number).unwrap_or(i64::MAX));
                self.era.set(i64::try_from(revision.era).unwrap_or(i64::MAX));
            }
            Event::RingOverflow { dropped } => {
                self.dropped.inc_by(*dropped);
            }
            other => self.count_other(other),
        }
    }

    fn count_other(&self, event: &Event) {
        let name = match event {
            Event::HedgeDenied { .. } => "hedge-denied",
            Event::RetryDenied { .. } => "retry-denied",
            Event::ConfigRefused { .. } => "config-refused",
            Event::NewsRefused { .. } => "news-refused",
            Event::EraHeard { .. } => "era-heard",
            Event::CallerGone { .. } => "caller-gone",
            Event::Paused { .. } => "paused",
            Event::Confirmed { .. } => "confirmed",
            Event::PeerSeen { .. } => "peer-seen",
            Event::PlatformLost { .. } => "platform-lost",
            Event::PlatformRegained { .. } => "platform-regained",
            Event::ConfigBehind { .. } => "config-behind",
            Event::UpstreamEnded { .. } => "upstream-ended",
            Event::WorkSuspected { .. } => "work-suspected",
            Event::WorkCleared { .. } => "work-cleared",
            Event::CanarySent { .. } => "canary-sent",
            Event::TrialBegun { .. } => "trial-begun",
            Event::TrialEnded { .. } => "trial-ended",
            Event::TrialInconclusive { .. } => "trial-inconclusive",
            Event::EvidenceCleared { .. } => "evidence-cleared",
            Event::EvidenceUnsent { .. } => "evidence-unsent",
            _ => return,
        };
        count(&self.events, name);
    }

    fn label(&self, lookup: &str) -> Lookup {
        let mut known = self.lookups.lock().unwrap_or_else(PoisonError::into_inner);
        if !known.contains(lookup) {
            if known.len() >= MAX_LOOKUPS {
                return Lookup { lookup: OTHER_LOOKUPS.to_owned() };
            }
            known.insert(lookup.to_owned());
        }
        Lookup { lookup: escape(lookup) }
    }

    /// Sets how long a newer revision may have been confirmed without having been received. `None`,
    /// shown as infinity, means that nothing has yet proven that the active revision is current.
    pub fn set_age(&self, age: Option<Duration>) {
        self.age.set(age.map_or(f64::INFINITY, |age| age.as_secs_f64()));
    }

    /// Counts a view that was computed since something of this kind changed.
    pub fn count_view(&self, kind: &str) {
        count(&self.views, kind);
    }

    /// Sets whether the newest revision of the platform is rejected.
    pub fn set_rejected(&self, rejected: bool) {
        self.rejected.set(rejected.into());
    }

    /// Sets the gauges of the wait queues, by rank.
    pub fn set_queues(&self, ranks: &[RankQueue]) {
        for (rank, queue) in (0..).zip(ranks) {
            let waiting = i64::try_from(queue.waiting).unwrap_or(i64::MAX);
            self.dispatch_waiting.get_or_create(&Rank { rank }).set(waiting);
            self.dispatch_delay.get_or_create(&Rank { rank }).set(queue.delay_ms);
        }
    }

    /// Returns the metrics that memory accounting updates.
    #[must_use]
    pub fn meters(&self) -> Meters {
        let kind = |kind: &str| Kind { kind: kind.to_owned() };
        // A family's metric is returned under a lock, which the next call would wait for, so the
        // metric is cloned and the lock released.
        let gauge = |held_for: Purpose| {
            let metric = self.held.get_or_create(&kind(held_for.name())).clone();
            (held_for, metric)
        };
        let ended = |name: &str| self.ended.get_or_create(&kind(name)).clone();
        let (stalled, evicted) = (ended("stalled"), ended("evicted"));
        Meters { held: Purpose::ALL.map(gauge).into(), stalled, evicted }
    }

    /// Returns the gauge of platform entries that don't describe an upstream.
    #[must_use]
    pub fn left_out(&self) -> Gauge {
        self.left_out.clone()
    }

    /// Returns all metrics in the Prometheus text format.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            log::warn!("cannot encode the metrics: {error}");
        }
        text
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

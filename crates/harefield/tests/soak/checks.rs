//! The promises, checked against what callers and upstreams saw.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::client::Answer;
use crate::client::Ending;
use crate::ledger::Kind;
use crate::ledger::Pages;
use crate::ledger::Published;
use crate::ledger::Request;
use crate::ledger::Route;
use crate::world::ATTEMPTS;
use crate::world::LEAST_SHARE;
use crate::world::RECORDS;
use crate::world::SLACK;
use crate::world::Upstream;

/// Within this time a configuration is in force and no work reaches an upstream that
/// is leaving.
const IN_FORCE: Duration = Duration::from_secs(3);

/// How long after a disturbance a daemon may act on what it missed.
const AFTER: Duration = Duration::from_secs(2);

/// The window of the extra load.
const WINDOW: Duration = Duration::from_secs(10);

/// The extra load allowed, as a share of the requests.
const EXTRA_SHARE: f64 = 0.2;

/// A promise that was broken.
#[derive(Clone, Debug)]
pub(crate) struct Broken {
    pub promise: &'static str,
    pub what: String,
}

/// Everything that the checks go by.
pub(crate) struct Checks<'a> {
    pages: &'a Pages,
    upstreams: &'a BTreeMap<String, Upstream>,
    /// Where each request ran, and when.
    runs: HashMap<String, Vec<(String, Instant)>>,
    broken: Vec<Broken>,
}

impl<'a> Checks<'a> {
    /// Gathers what the upstreams ran.
    pub fn new(pages: &'a Pages, upstreams: &'a BTreeMap<String, Upstream>) -> Self {
        let mut runs: HashMap<String, Vec<(String, Instant)>> = HashMap::new();
        for (name, upstream) in upstreams {
            for (at, id) in upstream.inner.arrivals() {
                runs.entry(id).or_default().push((name.clone(), at));
            }
        }
        Self { pages, upstreams, runs, broken: Vec::new() }
    }

    /// Checks everything; returns what was broken.
    pub fn all(mut self, calm: Instant) -> Vec<Broken> {
        for request in &self.pages.requests {
            self.answer(request);
            self.runs_of(request);
            self.cut(request);
        }
        self.versions();
        self.leaving();
        self.extra_load();
        self.recovery(calm);
        self.broken
    }

    fn note(&mut self, promise: &'static str, request: &Request, what: &str) {
        let what = format!("{} {:?} at daemon {}: {what}", request.id, request.route, request.daemon);
        self.broken.push(Broken { promise, what });
    }

    /// Each caller gets the whole answer to its own request, truly described.
    fn answer(&mut self, request: &Request) {
        let Ending::Answered(answer) = &request.ending else {
            if matches!(request.ending, Ending::Garbled) {
                self.note("own answer", request, "what came is no answer");
            }
            return;
        };
        if (400..500).contains(&answer.status) && ![408, 421, 429].contains(&answer.status) {
            self.note("configuration", request, &format!("denied with {}", answer.status));
        }
        if answer.status != 200 {
            return;
        }
        let fault = match request.route {
            Route::All => self.merged(request, answer),
            Route::One | Route::Once | Route::Version => self.single(request, answer),
        };
        if let Err(fault) = fault {
            self.note("own answer", request, &fault);
        }
    }

    fn upstream_of(&self, request: &Request, signature: &str) -> Result<&Upstream, String> {
        let (name, id) = signature.split_once('.').ok_or_else(|| format!("no signature: {signature}"))?;
        if id != request.id {
            return Err(format!("a signature of another request: {signature}"));
        }
        self.upstreams.get(name).ok_or_else(|| format!("a signature of nobody: {signature}"))
    }

    fn single(&self, request: &Request, answer: &Answer) -> Result<(), String> {
        let upstream = self.upstream_of(request, answer.header("server-seal"))?;
        if answer.body != upstream.records.iter().flat_map(|byte| [*byte; 16]).collect::<Vec<u8>>() {
            return Err("the body is not the upstream's".to_owned());
        }
        Ok(())
    }

    fn merged(&self, request: &Request, answer: &Answer) -> Result<(), String> {
        let mut services = BTreeSet::new();
        let mut records = Vec::new();
        for signature in answer.header("part-seals").split(", ") {
            let upstream = self.upstream_of(request, signature)?;
            if !services.insert(upstream.service.clone()) {
                return Err(format!("two parts of {}", upstream.service));
            }
            records.extend(upstream.records.iter().copied());
        }
        records.sort_unstable_by(|a, b| b.cmp(a));
        records.truncate(RECORDS);
        if answer.body != records.iter().flat_map(|byte| [*byte; 16]).collect::<Vec<u8>>() {
            return Err("the body is not what its parts make".to_owned());
        }
        let missing: usize = answer.header("missing-parts").parse().unwrap_or(0);
        let fits = |version: &&Published| {
            services.iter().all(|service| version.shards.contains(service))
                && version.shards.len() == services.len() + missing
        };
        let version = self.pages.published.iter().find(fits);
        let version = version.ok_or("no version has these shards and as many missing")?;
        let least = LEAST_SHARE * f64::from(u32::try_from(version.shards.len()).unwrap_or(u32::MAX));
        if f64::from(u32::try_from(services.len()).unwrap_or(u32::MAX)) < least {
            return Err("too few shards".to_owned());
        }
        Ok(())
    }

    /// What is said not to have run ran nowhere; nothing runs more often than it may.
    fn runs_of(&mut self, request: &Request) {
        let runs = self.runs.get(&request.id).cloned().unwrap_or_default();
        if let Ending::Answered(answer) = &request.ending
            && [503, 429, 408, 421].contains(&answer.status)
            && !runs.is_empty()
        {
            self.note("not run", request, &format!("{} after {} runs", answer.status, runs.len()));
        }
        if request.route == Route::Once && runs.len() > 1 {
            self.note("once only", request, &format!("{} runs", runs.len()));
        }
        let lost = |kind| matches!(kind, Kind::Daemon(_) | Kind::Peers | Kind::Stop(_));
        if self.pages.disturbed(request.sent, request.ended, AFTER, lost) {
            return;
        }
        let mut by_service: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
        for (name, _) in &runs {
            let service = self.upstreams.get(name).map_or("", |upstream| upstream.service.as_str());
            by_service.entry(service).or_default().insert(name);
        }
        if by_service.values().any(|names| names.len() > ATTEMPTS) {
            self.note("attempts", request, &format!("{by_service:?}"));
        }
    }

    /// No daemon cuts a request that it passed on, nor holds one past its time.
    fn cut(&mut self, request: &Request) {
        let own = |kind| kind == Kind::Daemon(request.daemon);
        if self.pages.disturbed(request.sent, request.ended, Duration::ZERO, own) {
            return;
        }
        match request.ending {
            Ending::Cut if self.runs.contains_key(&request.id) => {
                self.note("planned stop", request, "cut after it was passed on");
            }
            Ending::Silent => self.note("answered in time", request, "no answer"),
            _ => {}
        }
    }

    /// A configuration is in force within seconds, and no process goes back.
    fn versions(&mut self) {
        let mut newest: HashMap<(usize, u64), (u64, Instant)> = HashMap::new();
        let mut asked: Vec<&Request> =
            self.pages.requests.iter().filter(|request| request.route == Route::Version).collect();
        asked.sort_by_key(|request| request.sent);
        for request in asked {
            let Some(version) = self.version_of(request) else { continue };
            let held = newest.entry((request.daemon, request.life)).or_insert((version, request.ended));
            if version < held.0 && request.sent > held.1 {
                let what = format!("version {version} after {}", held.0);
                self.note("never reverts", request, &what);
            }
            if version > held.0 {
                *held = (version, request.ended);
            }
            let due = self.pages.published.iter().filter(|p| p.at + IN_FORCE < request.sent);
            let Some(due) = due.max_by_key(|published| published.version) else { continue };
            let excused = |kind| matches!(kind, Kind::Store) || kind == Kind::Daemon(request.daemon);
            if version < due.version && !self.pages.disturbed(due.at, request.sent, AFTER, excused) {
                let what = format!("version {version} where {} is due", due.version);
                self.note("in force", request, &what);
            }
        }
    }

    fn version_of(&self, request: &Request) -> Option<u64> {
        let Ending::Answered(answer) = &request.ending else { return None };
        let (name, _) = answer.header("server-seal").split_once('.')?;
        self.upstreams.get(name)?.service.strip_prefix("version-")?.parse().ok()
    }

    /// An upstream that is leaving gets no new work after seconds.
    fn leaving(&mut self) {
        for leaving in &self.pages.leaving {
            let Some(upstream) = self.upstreams.get(&leaving.id) else { continue };
            for (at, id) in upstream.inner.arrivals() {
                let excused = |kind| matches!(kind, Kind::Store | Kind::Daemon(_));
                let late = at > leaving.at + IN_FORCE;
                if late && !self.pages.disturbed(leaving.at, at, AFTER, excused) {
                    let after = at.duration_since(leaving.at);
                    let what = format!("{id} at {} after {after:?}", leaving.id);
                    self.broken.push(Broken { promise: "leaving", what });
                }
            }
        }
    }

    /// What is sent again stays within a share of the requests and the slack.
    fn extra_load(&mut self) {
        let mut by_service: BTreeMap<&str, Vec<(Instant, bool)>> = BTreeMap::new();
        for (id, runs) in &self.runs {
            let mut first: BTreeMap<&str, Instant> = BTreeMap::new();
            for (name, at) in runs {
                let service = self.upstreams.get(name).map_or("", |upstream| upstream.service.as_str());
                let held = first.entry(service).or_insert(*at);
                *held = (*held).min(*at);
            }
            let _ = id;
            for (name, at) in runs {
                let service = self.upstreams.get(name).map_or("", |upstream| upstream.service.as_str());
                by_service.entry(service).or_default().push((*at, first.get(service) != Some(at)));
            }
        }
        for (service, mut arrivals) in by_service {
            arrivals.sort_unstable();
            let mut from = 0;
            for at in 0..arrivals.len() {
                while arrivals[at].0 - arrivals[from].0 > WINDOW {
                    from += 1;
                }
                let window = &arrivals[from..=at];
                let extra = window.iter().filter(|(_, extra)| *extra).count();
                let earlier = arrivals[at].0.checked_sub(WINDOW * 2);
                let counted = |(when, extra): &&(Instant, bool)| !extra && earlier.is_none_or(|e| *when >= e);
                let needed = arrivals[..=at].iter().filter(counted).count();
                let float = |count: usize| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
                if float(extra) > EXTRA_SHARE * float(needed) + SLACK {
                    let what = format!("{service}: {extra} beside {needed}");
                    self.broken.push(Broken { promise: "extra load", what });
                    break;
                }
            }
        }
    }

    /// Once all is calm, requests are served.
    fn recovery(&mut self, calm: Instant) {
        let after: Vec<&Request> = self.pages.requests.iter().filter(|r| r.sent > calm).collect();
        let good =
            |request: &&&Request| matches!(&request.ending, Ending::Answered(answer) if answer.status == 200);
        let served = after.iter().filter(good).count();
        if served * 10 < after.len() * 9 || after.is_empty() {
            let what = format!("{served} of {} requests are served when all is calm", after.len());
            self.broken.push(Broken { promise: "recovery", what });
        }
    }
}

//! Stand-ins for the cases 4 to 8: the platform's store, searchers, clients and the start of daemons.
//! It uses the standard library only. All addresses are loopback addresses on free ports.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

// ---------------------------------------------------------------- record

/// Writes `record.txt`: a line with the time in milliseconds for all that is sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    pub start: Instant,
}

impl Record {
    pub fn new(path: &Path) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        Self { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64() * 1000.0;
        let _ = writeln!(self.file.lock().unwrap(), "{at:10.1} ms  {text}");
    }

    /// Writes a line and prints it too.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

// ---------------------------------------------------------------- HTTP

/// A request or an answer: the first line, the headers in lower case, and the body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    /// Returns a value of the query of a request.
    pub fn query(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, query)| query);
        let found = query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name);
        found.map_or(String::new(), |(_, value)| decode(value))
    }
}

/// Decodes the percent signs and plus signs of a value in a query.
fn decode(value: &str) -> String {
    let (bytes, mut text, mut at) = (value.as_bytes(), Vec::new(), 0);
    while at < bytes.len() {
        let hex = value.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                text.push(byte);
                at += 2;
            }
            (b'+', _) => text.push(b' '),
            (byte, _) => text.push(byte),
        }
        at += 1;
    }
    String::from_utf8_lossy(&text).into_owned()
}

/// Reads a message; none at the end of the connection, an error where it is cut or malformed.
pub fn read_message(reader: &mut BufReader<TcpStream>, is_answer: bool) -> std::io::Result<Option<Message>> {
    let cut = |what: &str| std::io::Error::new(std::io::ErrorKind::UnexpectedEof, what.to_owned());
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.first = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(cut("the head is cut"));
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        let (name, value) = text.split_once(':').ok_or_else(|| cut("a header without a colon"))?;
        message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    if message.header("transfer-encoding").is_some_and(|coding| coding.contains("chunked")) {
        loop {
            line.clear();
            if reader.read_line(&mut line)? == 0 {
                return Err(cut("a chunk is cut"));
            }
            let size = usize::from_str_radix(line.trim(), 16).map_err(|_| cut("a chunk without a size"))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            message.body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                return Ok(Some(message));
            }
        }
    }
    match message.header("content-length").and_then(|length| length.parse::<usize>().ok()) {
        Some(length) => {
            message.body = vec![0; length];
            reader.read_exact(&mut message.body)?;
        }
        None if is_answer => {
            reader.read_to_end(&mut message.body)?;
        }
        None => {}
    }
    Ok(Some(message))
}

pub fn answer(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Returns a port that is free now.
pub fn free_address() -> SocketAddr {
    listen().1
}

// ---------------------------------------------------------------- store

#[derive(Default)]
struct StoreState {
    revision: u64,
    /// The items by key: revision and value in base64.
    items: BTreeMap<String, (u64, String)>,
    /// All writes in order; a tombstone has no value.
    log: Vec<(u64, String, Option<String>)>,
    /// The most items on a page.
    page: usize,
    /// While set, watches hear nothing.
    deaf: bool,
    /// Watches from before this revision are answered with 410.
    forgotten: u64,
    /// Counts the times at which waiting watches were cut.
    cuts: u64,
}

/// The platform's store, as `PROTOCOL.md` describes it.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
    pub address: SocketAddr,
    record: Record,
}

impl Store {
    pub fn start(record: &Record) -> Self {
        let (listener, address) = listen();
        let state = StoreState { page: 500, ..StoreState::default() };
        let store =
            Self { state: Arc::new((Mutex::new(state), Condvar::new())), address, record: record.clone() };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a value, or deletes the key; returns when the store has taken it.
    pub fn put(&self, key: &str, value: Option<&[u8]>) -> Instant {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let value = value.map(base64);
        match &value {
            Some(value) => state.items.insert(key.to_owned(), (revision, value.clone())),
            None => state.items.remove(key),
        };
        state.log.push((revision, key.to_owned(), value.clone()));
        let at = Instant::now();
        drop(state);
        changed.notify_all();
        let what = if value.is_some() { "written" } else { "gone" };
        self.record.line(&format!("store: {key} is {what}, revision {revision}"));
        at
    }

    /// Sets the most items on a page of a listing.
    pub fn set_page(&self, most: usize) {
        self.state.0.lock().unwrap().page = most;
    }

    /// Begins or ends a time in which watches hear nothing.
    pub fn set_deaf(&self, deaf: bool) {
        self.state.0.lock().unwrap().deaf = deaf;
        self.record.line(&format!("store: watches hear nothing = {deaf}"));
    }

    /// Forgets the history, and cuts the watches that wait.
    pub fn forget(&self) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.forgotten = state.revision;
        state.cuts += 1;
        drop(state);
        changed.notify_all();
        self.record.line("store: forgets its history and cuts the watches");
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader, false) {
            let Some(bytes) = self.handle(&request) else { return };
            if writer.write_all(&bytes).is_err() {
                return;
            }
        }
    }

    /// Answers a call; none for a watch that is cut.
    fn handle(&self, request: &Message) -> Option<Vec<u8>> {
        let json = [("content-type", "application/json")];
        let path = request.target().split('?').next().unwrap_or("");
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        let body = match path {
            "/-/kv-range" => {
                let (prefix, after) = (request.query("pathPrefix"), request.query("after"));
                let fits = |key: &&String| key.starts_with(&prefix) && (after.is_empty() || **key > after);
                let all: Vec<&String> = state.items.keys().filter(fits).collect();
                let items = all.iter().take(state.page).map(|key| {
                    let (revision, value) = &state.items[*key];
                    item(key, *revision, Some(value))
                });
                let items: Vec<String> = items.collect();
                format!(
                    "{{\"items\":[{}],\"truncated\":{},\"storeRevision\":{}}}",
                    items.join(","),
                    all.len() > state.page,
                    state.revision
                )
            }
            "/-/kv-watch" => {
                let after: u64 = request.query("after").parse().unwrap_or(0);
                let until = Instant::now() + ms(request.query("waitMs").parse().unwrap_or(0));
                let cuts = state.cuts;
                while (state.revision <= after || state.deaf) && Instant::now() < until {
                    let left = until.saturating_duration_since(Instant::now());
                    state = changed.wait_timeout(state, left.min(ms(50))).unwrap().0;
                    if state.cuts > cuts {
                        return None;
                    }
                }
                if after < state.forgotten {
                    self.record.line(&format!("store: answers a watch after {after} with 410"));
                    return Some(answer("410 Gone", &json, b"{}"));
                }
                if state.deaf {
                    let body = format!("{{\"events\":[],\"storeRevision\":{after}}}");
                    return Some(answer("200 OK", &json, body.as_bytes()));
                }
                let newer = state.log.iter().filter(|(revision, ..)| *revision > after);
                let events: Vec<String> =
                    newer.map(|(revision, key, value)| item(key, *revision, value.as_deref())).collect();
                format!("{{\"events\":[{}],\"storeRevision\":{}}}", events.join(","), state.revision)
            }
            "/-/kv-key" => match state.items.get(&request.query("privateKey")) {
                Some((revision, value)) => item(&request.query("privateKey"), *revision, Some(value)),
                None => return Some(answer("404 Not Found", &json, b"{}")),
            },
            _ => return Some(answer("404 Not Found", &json, b"{}")),
        };
        Some(answer("200 OK", &json, body.as_bytes()))
    }
}

fn item(key: &str, revision: u64, value: Option<&str>) -> String {
    match value {
        Some(value) => format!(
            "{{\"privateKey\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{revision},\"lease\":0}}"
        ),
        None => format!("{{\"privateKey\":\"{key}\",\"revision\":{revision},\"tombstone\":true}}"),
    }
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let number = three.iter().fold(0_u32, |number, byte| number << 8 | u32::from(*byte))
            << (8 * (3 - three.len()));
        for at in 0..4 {
            let sign = SIGNS[(number >> (18 - 6 * at) & 63) as usize] as char;
            text.push(if at <= three.len() { sign } else { '=' });
        }
    }
    text
}

// ---------------------------------------------------------------- searchers

/// A request that reached a searcher.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub id: String,
    /// Whether the searcher ran it, rather than to reject it.
    pub ran: bool,
}

struct SearcherState {
    running: usize,
    waiting: usize,
    arrivals: Vec<Arrival>,
}

/// A searcher: it runs `slots` requests at a time, each for `work`, and queues a few more.
#[derive(Clone)]
pub struct Searcher {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub slots: usize,
    queue: usize,
    work: Arc<AtomicU64>,
    state: Arc<(Mutex<SearcherState>, Condvar)>,
    ended: Arc<AtomicBool>,
    /// Since and until when it is cold, and how often its health path was asked.
    health: Arc<Mutex<(Option<(Instant, Instant)>, usize)>>,
    bears: Arc<AtomicUsize>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    record: Record,
}

impl Searcher {
    pub fn start(id: &str, service: &str, zone: &str, slots: usize, work: Duration, record: &Record) -> Self {
        let (listener, address) = listen();
        let state = SearcherState { running: 0, waiting: 0, arrivals: Vec::new() };
        let searcher = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            slots,
            queue: 16,
            work: Arc::new(AtomicU64::new(work.as_millis() as u64)),
            state: Arc::new((Mutex::new(state), Condvar::new())),
            ended: Arc::default(),
            health: Arc::default(),
            bears: Arc::default(),
            open: Arc::default(),
            record: record.clone(),
        };
        let served = searcher.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if served.ended.load(Ordering::SeqCst) {
                    return;
                }
                let searcher = served.clone();
                thread::spawn(move || searcher.serve(stream));
            }
        });
        searcher
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    pub fn entry(&self, state: &str) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\"state\":\"{state}\",\"coldRemainingMs\":0,\"sequence\":1,\"born\":1700000000000}}",
            self.service, self.address, self.zone, self.slots
        )
    }

    /// Makes it cold from now on. It falls over at over `bears` requests within a second.
    pub fn set_cold(&self, time: Duration, bears: usize) {
        self.bears.store(bears, Ordering::SeqCst);
        let now = Instant::now();
        self.health.lock().unwrap().0 = Some((now, now + time));
    }

    /// Falls over if it is cold and got more requests within a second than it bears.
    fn check_load(&self, arrivals: &[Arrival]) {
        let now = Instant::now();
        let cold = self.health.lock().unwrap().0;
        let Some((since, _)) = cold.filter(|(_, until)| now < *until) else { return };
        let recent = arrivals
            .iter()
            .rev()
            .take_while(|arrival| arrival.at >= since && now.duration_since(arrival.at) < ms(1000));
        if recent.count() > self.bears.load(Ordering::SeqCst) && !self.ended.load(Ordering::SeqCst) {
            self.record.line(&format!("{}: falls over", self.id));
            self.end();
        }
    }

    pub fn health_calls(&self) -> usize {
        self.health.lock().unwrap().1
    }

    /// Ends: open connections are reset, and new ones refused or reset.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        self.record.line(&format!("{}: ends", self.id));
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.state.0.lock().unwrap().arrivals.clone()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        if let Ok(held) = stream.try_clone() {
            self.open.lock().unwrap().push(held);
        }
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader, false) {
            let bytes = self.handle(&request);
            if writer.write_all(&bytes).is_err() {
                return;
            }
        }
    }

    fn handle(&self, request: &Message) -> Vec<u8> {
        let load = |state: &SearcherState| format!("{},{},{}", state.running, state.waiting, self.slots);
        if request.target() == "/health" {
            let load = load(&self.state.0.lock().unwrap());
            let mut health = self.health.lock().unwrap();
            health.1 += 1;
            let left =
                health.0.map_or(0, |(_, until)| until.saturating_duration_since(Instant::now()).as_millis());
            let cold = left.to_string();
            let headers =
                [("instance-id", self.id.as_str()), ("server-load", &load), ("cold-remaining", &cold)];
            return answer("200 OK", &headers, b"");
        }
        let id = request.header("attempt-id").unwrap_or("").to_owned();
        if request.header("expect-instance").is_some_and(|expected| expected != self.id) {
            self.record.line(&format!("{}: rejects {id} with 421", self.id));
            return answer("421 Misdirected Request", &[("instance-id", &self.id)], b"");
        }
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        if state.running >= self.slots && state.waiting >= self.queue {
            state.arrivals.push(Arrival { at: Instant::now(), id: id.clone(), ran: false });
            self.record.line(&format!("{}: rejects {id}, as it is full", self.id));
            return answer("503 Service Unavailable", &[("not-executed", "1"), ("attempt-id", &id)], b"");
        }
        state.arrivals.push(Arrival { at: Instant::now(), id: id.clone(), ran: true });
        self.record.line(&format!("{}: {id} arrives ({} {})", self.id, request.method(), request.target()));
        self.check_load(&state.arrivals);
        state.waiting += 1;
        while state.running >= self.slots {
            state = changed.wait(state).unwrap();
        }
        state.waiting -= 1;
        state.running += 1;
        drop(state);
        thread::sleep(ms(self.work.load(Ordering::SeqCst)));
        let mut state = lock.lock().unwrap();
        state.running -= 1;
        let load = load(&state);
        drop(state);
        changed.notify_one();
        self.record.line(&format!("{}: {id} is done", self.id));
        let seal = format!("{}.{id}", self.id);
        answer(
            "200 OK",
            &[("attempt-id", &id), ("server-seal", &seal), ("server-load", &load)],
            id.as_bytes(),
        )
    }
}

// ---------------------------------------------------------------- daemons

/// The addresses of a daemon, and its process.
pub struct Daemon {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    zone: String,
    child: Option<Child>,
    folder: PathBuf,
    starts: AtomicUsize,
}

/// What all daemons of a case have in common.
pub struct Fleet {
    pub store: SocketAddr,
    pub zones: Vec<(String, String)>,
    pub seeds: Vec<SocketAddr>,
    /// `configurationApplyMs` of the site.
    pub apply: Duration,
    /// The lines that a site with cold searchers adds to the section of routing.
    pub routing: String,
    /// The lines that a site with tenants adds to the section of accounts.
    pub accounts: String,
    pub folder: PathBuf,
    pub program: PathBuf,
}

impl Fleet {
    pub fn new(store: &Store, zones: &[(&str, &str)]) -> Self {
        let folder = std::env::var("CASE_TMP").map_or_else(|_| std::env::temp_dir(), PathBuf::from);
        let program =
            std::env::var("HAREFIELD").map_or_else(|_| "target/release/harefield".into(), PathBuf::from);
        let zones = zones.iter().map(|(zone, region)| ((*zone).to_owned(), (*region).to_owned())).collect();
        Self {
            store: store.address,
            zones,
            seeds: Vec::new(),
            apply: ms(3000),
            routing: String::new(),
            accounts: String::new(),
            folder,
            program,
        }
    }

    /// Returns `count` daemons that aren't started yet; the first three are the seeds.
    pub fn daemons(&mut self, count: usize) -> Vec<Daemon> {
        let daemon = |at: usize| Daemon {
            name: format!("daemon-{at}"),
            front: free_address(),
            ready: free_address(),
            control: free_address(),
            zone: self.zones[at % self.zones.len()].0.clone(),
            child: None,
            folder: self.folder.clone(),
            starts: AtomicUsize::new(0),
        };
        let daemons: Vec<Daemon> = (0..count).map(daemon).collect();
        self.seeds = daemons.iter().take(3).map(|daemon| daemon.control).collect();
        daemons
    }

    /// Starts a daemon as the deploy file does, with the settings that its template gives.
    pub fn start(&self, daemon: &mut Daemon, first: bool) {
        let region = &self.zones.iter().find(|(zone, _)| *zone == daemon.zone).expect("a known zone").1;
        let regions: Vec<String> =
            self.zones.iter().map(|(zone, region)| format!("\"{zone}\" = \"{region}\"")).collect();
        let seeds: Vec<String> = self.seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let settings = format!(
            "[host]\nzone = \"{}\"\nregion = \"{region}\"\ncores = 0.25\nmemory-mb = 260\n\n[host.regions]\n{}\n\n\
             [listen]\ncallers = \"{}\"\npeers = \"{}\"\noperators = \"{}\"\n\n\
             [platform]\nkind = \"store\"\naddresses = [\"{}\"]\napply-ms = {}\nreaders = 1\nheartbeat-ms = 1200\n\n\
             [peers]\nseeds = [{}]\ndaemons = 8\n{}\n[limits]\nconnections = 1500\nhead-ms = 20000\n\n\
             [routing]\nextra-load = 0.2\nextra-slack = 54\nmargin-ms = 14\n{}connections = 3\n\n\
             [scheduling]\nenabled = true\n\n[accounts]\n{}\n[stop]\nlinger-ms = 3000\nlimit-ms = 5500\n\n\
             [events]\nkeep = 2000\ndetail-every = 0\n",
            daemon.zone,
            regions.join("\n"),
            daemon.front,
            daemon.control,
            daemon.ready,
            self.store,
            self.apply.as_millis(),
            seeds.join(", "),
            if first { "first-start = true\n" } else { "" },
            self.routing,
            self.accounts,
        );
        let path = self.folder.join(format!("{}.toml", daemon.name));
        std::fs::write(&path, settings).expect("the settings can be written");
        let number = daemon.starts.fetch_add(1, Ordering::SeqCst);
        let log =
            File::create(self.folder.join(format!("{}-{number}.log", daemon.name))).expect("a log file");
        let errors = log.try_clone().expect("a log file");
        let child = Command::new(&self.program)
            .args(["serve", "--settings"])
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .unwrap_or_else(|error| {
                println!("{} cannot be started: {error}", self.program.display());
                std::process::exit(2)
            });
        let pid = self.folder.join(format!("{}-{number}.pid", daemon.name));
        let _ = std::fs::write(pid, format!("{}\n", child.id()));
        daemon.child = Some(child);
    }
}

impl Daemon {
    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill").args([format!("-{name}"), child.id().to_string()]).status();
        }
    }

    /// Returns whether the daemon says that it is ready.
    pub fn is_ready(&self) -> bool {
        let answer = call(self.ready, &request("GET", "/ready", "ready", &[], b""), ms(1000));
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Waits until the daemon is ready.
    pub fn await_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(ms(20));
        }
        false
    }

    /// Returns the exit status if the process has ended by itself.
    pub fn ended(&mut self) -> Option<String> {
        let child = self.child.as_mut()?;
        child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            let number = self.starts.load(Ordering::SeqCst).saturating_sub(1);
            let _ = std::fs::remove_file(self.folder.join(format!("{}-{number}.pid", self.name)));
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

// ---------------------------------------------------------------- clients

pub fn request(method: &str, path: &str, host: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\nhost: {host}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method == "POST" {
        text.push_str(&format!("content-length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// A connection that a client keeps.
pub struct Connection {
    pub writer: TcpStream,
    pub reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(address: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, ms(1000))?;
        stream.set_nodelay(true)?;
        Ok(Self { writer: stream.try_clone()?, reader: BufReader::new(stream) })
    }

    /// Sends a request and reads its answer.
    pub fn call(&mut self, bytes: &[u8], limit: Duration) -> std::io::Result<Message> {
        self.writer.set_read_timeout(Some(limit))?;
        self.writer.write_all(bytes)?;
        let cut = || std::io::Error::new(std::io::ErrorKind::UnexpectedEof, "closed without an answer");
        read_message(&mut self.reader, true)?.ok_or_else(cut)
    }
}

/// Sends a request on a new connection and reads its answer.
pub fn call(address: SocketAddr, bytes: &[u8], limit: Duration) -> std::io::Result<Message> {
    Connection::open(address)?.call(bytes, limit)
}

/// Returns whether the case runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Returns the path of the record, in the folder of the case.
pub fn record_path() -> PathBuf {
    std::env::var("CASE_RECORD").map_or_else(|_| "record.txt".into(), PathBuf::from)
}

//! The `standin` program: stand-ins and load for scripts.

use std::collections::HashMap;
use std::fs::File;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;
use serde_json::json;
use standin::Deployment;
use standin::Layout;
use standin::Platform;
use standin::Searchers;
use standin::experiment;
use standin::experiment::Experiment;
use standin::experiment::Outcome;
use standin::fleet::Fleet;
use standin::load;
use standin::load::Load;
use standin::load::RequestRate;
use standin::losses;
use standin::plot;

const HELP: &str = "\
standin: stand-ins for harefield's platform and searchers

Usage:
  standin platform  --listen IP:PORT --admin IP:PORT --layout L --base-port N [--daemon IP:PORT ...]
  standin searchers --base-port N --admin IP:PORT --layout L
  standin load      --daemon IP:PORT ... --mix LOOKUP=RATE ... [--seconds N] [--seed N]
  standin experiment --scenario S --variant V --layout L --base-port N --listen IP:PORT
                    --daemon IP:PORT ... --operator IP:PORT ... --peer IP:PORT ... --pids FILE
                    [--seconds N] [--seed N] [--scale N]
  standin table     FILE
  standin fleet     --layout small --base-port N --listen IP:PORT --operator IP:PORT ...
                    --peer IP:PORT ... --pids FILE [--upstreams N] [--made-daemons N]
                    [--seconds N] [--rate N]
  standin losses    OUTPUT [--width SECONDS]
  standin plot      JOURNAL --site NAME --out DIR
  standin tell      --admin IP:PORT PATH BODY

Layouts: small, caroni, licence. Searchers listen on 127.0.0.1 from the base
port on, in the layout's order; the platform publishes them there.
";

type Failure = Box<dyn std::error::Error>;

fn main() -> Result<(), Failure> {
    let options = Options::read()?;
    match options.words.first().map(String::as_str) {
        Some("platform") => platform(&options),
        Some("searchers") => searchers(&options),
        Some("load") => run_load(&options),
        Some("experiment") => run_experiment(&options),
        Some("table") => print_table(&options),
        Some("losses") => print_losses(&options),
        Some("plot") => draw(&options),
        Some("fleet") => run_fleet(&options),
        Some("tell") => tell(&options),
        _ => {
            print!("{HELP}");
            Ok(())
        }
    }
}

#[derive(Debug, Default)]
struct Options {
    words: Vec<String>,
    values: HashMap<String, Vec<String>>,
}

impl Options {
    fn read() -> Result<Self, Failure> {
        let mut options = Self::default();
        let mut parser = Parser::from_env();
        while let Some(argument) = parser.next()? {
            match argument {
                Arg::Value(word) => options.words.push(word.string()?),
                Arg::Long(name) => {
                    let name = name.to_owned();
                    let value = parser.value()?.string()?;
                    options.values.entry(name).or_default().push(value);
                }
                Arg::Short(_) => return Err(argument.unexpected().into()),
            }
        }
        Ok(options)
    }

    fn all(&self, name: &str) -> &[String] {
        self.values.get(name).map_or(&[], Vec::as_slice)
    }

    fn one<T: std::str::FromStr>(&self, name: &str, default: Option<T>) -> Result<T, Failure> {
        match (self.all(name).last(), default) {
            (Some(text), _) => text.parse().map_err(|_error| format!("--{name} {text} is not valid").into()),
            (None, Some(default)) => Ok(default),
            (None, None) => Err(format!("--{name} is needed").into()),
        }
    }

    fn layout(&self) -> Result<Layout, Failure> {
        let name: String = self.one("layout", Some("small".to_owned()))?;
        let deployment = match name.as_str() {
            "small" => Deployment::Small,
            "caroni" => Deployment::Caroni,
            "licence" => Deployment::Licence,
            other => return Err(format!("no layout {other}").into()),
        };
        Ok(Layout::new(deployment))
    }

    fn places(&self, layout: &Layout) -> Result<HashMap<String, SocketAddr>, Failure> {
        let base: u16 = self.one("base-port", None)?;
        let mut places = HashMap::new();
        for (offset, spec) in layout.searchers.iter().enumerate() {
            let port = base + u16::try_from(offset)?;
            places.insert(spec.name.clone(), SocketAddr::from(([127, 0, 0, 1], port)));
        }
        Ok(places)
    }
}

fn platform(options: &Options) -> Result<(), Failure> {
    let platform = start_platform(options, &options.layout()?, "daemon")?;
    standin::serve_admin(options.one("admin", None)?, Some(platform), None);
    wait()
}

fn searchers(options: &Options) -> Result<(), Failure> {
    let searchers = start_searchers(options, &options.layout()?)?;
    standin::serve_admin(options.one("admin", None)?, None, Some(searchers));
    wait()
}

fn wait() -> Result<(), Failure> {
    println!("ready");
    loop {
        std::thread::sleep(Duration::from_secs(3600));
    }
}

fn run_load(options: &Options) -> Result<(), Failure> {
    let daemons: Result<Vec<SocketAddr>, _> = options.all("daemon").iter().map(|text| text.parse()).collect();
    let mut mixes = Vec::new();
    for text in options.all("mix") {
        let (lookup, rate) = text.split_once('=').ok_or("--mix is LOOKUP=RATE")?;
        mixes.push(RequestRate { lookup: lookup.to_owned(), rate: rate.parse()? });
    }
    let seconds: f64 = options.one("seconds", Some(10.0))?;
    let load = Load {
        daemons: daemons?,
        mixes,
        time: Duration::from_secs_f64(seconds),
        warmup: Duration::from_secs_f64(seconds / 5.0),
        latency: Duration::from_micros(options.one("latency-us", Some(1000))?),
        seed: options.one("seed", Some(1))?,
    };
    println!("{}", serde_json::to_string_pretty(&load::run(&load))?);
    Ok(())
}

/// Publishes a layout and the daemons' rows on a new platform.
fn start_platform(options: &Options, layout: &Layout, peers: &str) -> Result<Platform, Failure> {
    let places = options.places(layout)?;
    let platform = Platform::start(&[options.one("listen", None)?]);
    platform.publish("config", layout.resources(|name| places[name]));
    let row = |role: &str| Some(json!({ "role": role, "state": "live", "zone": "hall-1a" }));
    let daemons = options.all(peers).iter().map(|address| (format!("hosts/{address}"), row("harefield")));
    let upstreams = places.values().map(|address| (format!("hosts/{address}"), row("upstream")));
    platform.publish("hosts", daemons.chain(upstreams).collect());
    Ok(platform)
}

fn start_searchers(options: &Options, layout: &Layout) -> Result<Searchers, Failure> {
    let places = options.places(layout)?;
    let specs = layout.searchers.iter().map(|s| (s.name.clone(), places[&s.name], s.behaviour.clone()));
    Ok(Searchers::start(specs.collect()))
}

fn run_experiment(options: &Options) -> Result<(), Failure> {
    let layout = options.layout()?;
    let searchers = start_searchers(options, &layout)?;
    let platform = start_platform(options, &layout, "peer")?;
    let scenario: String = options.one("scenario", None)?;
    let pids: String = options.one("pids", None)?;
    let experiment = Experiment {
        scenario: serde_json::from_value(scenario.into())?,
        variant: options.one("variant", None)?,
        layout,
        platform,
        searchers,
        daemons: parse_all(options.all("daemon"))?,
        operators: parse_all(options.all("operator"))?,
        pids: parse_all(&read_words(&pids)?)?,
        time: Duration::from_secs_f64(options.one("seconds", Some(8.0))?),
        seed: options.one("seed", Some(1))?,
        scale: options.one("scale", Some(1.0))?,
    };
    println!("{}", serde_json::to_string(&experiment.run())?);
    Ok(())
}

/// Reads a file's words, once it is there and not empty.
fn read_words(path: &str) -> Result<Vec<String>, Failure> {
    for _ in 0..200 {
        let text = std::fs::read_to_string(path).unwrap_or_default();
        if text.ends_with('\n') {
            return Ok(text.split_whitespace().map(str::to_owned).collect());
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    Err(format!("{path} is not there").into())
}

fn parse_all<T: std::str::FromStr>(texts: &[String]) -> Result<Vec<T>, Failure> {
    let parse = |text: &String| text.parse().map_err(|_error| format!("{text} is not valid").into());
    texts.iter().map(parse).collect()
}

fn print_table(options: &Options) -> Result<(), Failure> {
    let path = options.words.get(1).ok_or("a FILE is needed")?;
    let text = std::fs::read_to_string(path)?;
    let outcomes: Result<Vec<Outcome>, _> = text.lines().map(serde_json::from_str).collect();
    print!("{}", experiment::table(&outcomes?));
    Ok(())
}

/// Says where the requests of a run lost their worth, from the daemons' lines in its
/// output.
fn print_losses(options: &Options) -> Result<(), Failure> {
    let path = options.words.get(1).ok_or("the OUTPUT of a run is needed")?;
    let width: f64 = options.one("width", Some(2.0))?;
    if !width.is_finite() || width <= 0.0 {
        return Err("--width is a number of seconds above 0".into());
    }
    let lines = losses::read(BufReader::new(File::open(path)?))?;
    let stories = losses::request_losses(&lines);
    if stories.is_empty() {
        return Err(format!("{path} holds no line of a daemon on a request").into());
    }
    println!("{}\n{}", losses::by_kind(&stories), losses::by_interval(&stories, width));
    Ok(())
}

/// Draws what the days of a site were worth, and where the worth went.
fn draw(options: &Options) -> Result<(), Failure> {
    let folder = options.words.get(1).ok_or("the JOURNAL is needed")?;
    let (site, out): (String, PathBuf) = (options.one("site", None)?, options.one("out", None)?);
    let runs = plot::read(Path::new(folder), &site)?;
    std::fs::create_dir_all(&out)?;
    plot::draw_worth(&runs, &format!("{site}: worth, run by run"), &out.join(format!("{site}-worth.svg")))?;
    let title = format!("{site}: where the worth went, newest runs");
    plot::draw_prices(&runs, &title, &out.join(format!("{site}-prices.svg")))
}

fn run_fleet(options: &Options) -> Result<(), Failure> {
    let layout = options.layout()?;
    let _searchers = start_searchers(options, &layout)?;
    let platform = start_platform(options, &layout, "peer")?;
    let pids: String = options.one("pids", None)?;
    let fleet = Fleet {
        platform,
        operators: parse_all(options.all("operator"))?,
        pids: parse_all(&read_words(&pids)?)?,
        synthetic_upstreams: options.one("upstreams", Some(0))?,
        synthetic_daemons: options.one("made-daemons", Some(0))?,
        phase_time: Duration::from_secs_f64(options.one("seconds", Some(15.0))?),
        rate: options.one("rate", Some(0.4))?,
    };
    println!("{}", serde_json::to_string(&fleet.run())?);
    Ok(())
}

fn tell(options: &Options) -> Result<(), Failure> {
    let to = options.one("admin", None)?;
    let word = |at: usize| options.words.get(at).map_or("", String::as_str);
    let method = if word(2).is_empty() { "GET" } else { "POST" };
    let reply = standin::Client::once(to, method, word(1), word(2), Duration::from_secs(5));
    let (status, body) = reply.ok_or("no reply")?;
    println!("{}", String::from_utf8_lossy(&body));
    if status == 200 { Ok(()) } else { Err(format!("status {status}").into()) }
}

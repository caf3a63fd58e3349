//! The `standin` program: runs stand-ins, loads, experiments and reports for scripts.

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

Layouts: small, caroni, licence. Searchers listen on 127.0.0.1 on consecutive
ports from the base port on, in the layout's order; the platform publishes
these addresses.
";

type BoxError = Box<dyn std::error::Error>;

fn main() -> Result<(), BoxError> {
    let options = Options::read()?;
    match options.arguments.first().map(String::as_str) {
        Some("platform") => platform(&options),
        Some("searchers") => searchers(&options),
        Some("load") => run_load(&options),
        Some("experiment") => run_experiment(&options),
        Some("table") => print_table(&options),
        Some("losses") => print_losses(&options),
        Some("plot") => draw_charts(&options),
        Some("fleet") => run_fleet(&options),
        Some("tell") => send_admin(&options),
        _ => {
            print!("{HELP}");
            Ok(())
        }
    }
}

#[derive(Debug, Default)]
struct Options {
    arguments: Vec<String>,
    values: HashMap<String, Vec<String>>,
}

impl Options {
    fn read() -> Result<Self, BoxError> {
        let mut options = Self::default();
        let mut parser = Parser::from_env();
        while let Some(argument) = parser.next()? {
            match argument {
                Arg::Value(value) => options.arguments.push(value.string()?),
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

    fn one<T: std::str::FromStr>(&self, name: &str, default: Option<T>) -> Result<T, BoxError> {
        match (self.all(name).last(), default) {
            (Some(text), _) => text.parse().map_err(|_error| format!("--{name} {text} is not valid").into()),
            (None, Some(default)) => Ok(default),
            (None, None) => Err(format!("--{name} is required").into()),
        }
    }

    fn layout(&self) -> Result<Layout, BoxError> {
        let name: String = self.one("layout", Some("small".to_owned()))?;
        let deployment = match name.as_str() {
            "small" => Deployment::Small,
            "caroni" => Deployment::Caroni,
            "licence" => Deployment::Licence,
            other => return Err(format!("unknown layout {other}: use small, caroni or licence").into()),
        };
        Ok(Layout::new(deployment))
    }

    fn addresses(&self, layout: &Layout) -> Result<HashMap<String, SocketAddr>, BoxError> {
        let base: u16 = self.one("base-port", None)?;
        let mut addresses = HashMap::new();
        for (offset, spec) in layout.searchers.iter().enumerate() {
            let port = base + u16::try_from(offset)?;
            addresses.insert(spec.name.clone(), SocketAddr::from(([127, 0, 0, 1], port)));
        }
        Ok(addresses)
    }
}

fn platform(options: &Options) -> Result<(), BoxError> {
    let platform = start_platform(options, &options.layout()?, "daemon")?;
    standin::serve_admin(options.one("admin", None)?, Some(platform), None);
    run_forever()
}

fn searchers(options: &Options) -> Result<(), BoxError> {
    let searchers = start_searchers(options, &options.layout()?)?;
    standin::serve_admin(options.one("admin", None)?, None, Some(searchers));
    run_forever()
}

fn run_forever() -> Result<(), BoxError> {
    println!("ready");
    loop {
        std::thread::sleep(Duration::from_secs(3600));
    }
}

fn run_load(options: &Options) -> Result<(), BoxError> {
    let daemons: Result<Vec<SocketAddr>, _> = options.all("daemon").iter().map(|text| text.parse()).collect();
    let mut mixes = Vec::new();
    for text in options.all("mix") {
        let (lookup, rate) = text.split_once('=').ok_or("--mix must have the form LOOKUP=RATE")?;
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

/// Starts a platform and publishes a layout, and the daemons and searchers as hosts. `peers` is
/// the option that lists the daemons.
fn start_platform(options: &Options, layout: &Layout, peers: &str) -> Result<Platform, BoxError> {
    let addresses = options.addresses(layout)?;
    let platform = Platform::start(&[options.one("listen", None)?]);
    platform.publish("config", layout.resources(|name| addresses[name]));
    let row = |role: &str| Some(json!({ "role": role, "state": "live", "zone": "hall-1a" }));
    let daemons = options.all(peers).iter().map(|address| (format!("hosts/{address}"), row("harefield")));
    let upstreams = addresses.values().map(|address| (format!("hosts/{address}"), row("upstream")));
    platform.publish("hosts", daemons.chain(upstreams).collect());
    Ok(platform)
}

fn start_searchers(options: &Options, layout: &Layout) -> Result<Searchers, BoxError> {
    let addresses = options.addresses(layout)?;
    let specs = layout.searchers.iter().map(|s| (s.name.clone(), addresses[&s.name], s.behaviour.clone()));
    Ok(Searchers::start(specs.collect()))
}

fn run_experiment(options: &Options) -> Result<(), BoxError> {
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
        pids: parse_all(&await_words(&pids)?)?,
        time: Duration::from_secs_f64(options.one("seconds", Some(8.0))?),
        seed: options.one("seed", Some(1))?,
        scale: options.one("scale", Some(1.0))?,
    };
    println!("{}", serde_json::to_string(&experiment.run())?);
    Ok(())
}

/// Waits up to 10 seconds until a file exists and ends with a newline; returns its words.
fn await_words(path: &str) -> Result<Vec<String>, BoxError> {
    for _ in 0..200 {
        let text = std::fs::read_to_string(path).unwrap_or_default();
        if text.ends_with('\n') {
            return Ok(text.split_whitespace().map(str::to_owned).collect());
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    Err(format!("{path} does not exist or has no final newline after 10 seconds").into())
}

fn parse_all<T: std::str::FromStr>(texts: &[String]) -> Result<Vec<T>, BoxError> {
    let parse = |text: &String| text.parse().map_err(|_error| format!("{text} is not valid").into());
    texts.iter().map(parse).collect()
}

fn print_table(options: &Options) -> Result<(), BoxError> {
    let path = options.arguments.get(1).ok_or("FILE is required")?;
    let text = std::fs::read_to_string(path)?;
    let outcomes: Result<Vec<Outcome>, _> = text.lines().map(serde_json::from_str).collect();
    print!("{}", experiment::table(&outcomes?));
    Ok(())
}

/// Prints the losses of a run's requests, from the daemons' log lines in its output.
fn print_losses(options: &Options) -> Result<(), BoxError> {
    let path = options.arguments.get(1).ok_or("OUTPUT, a file with the output of a run, is required")?;
    let width: f64 = options.one("width", Some(2.0))?;
    if !width.is_finite() || width <= 0.0 {
        return Err("--width must be a positive number of seconds".into());
    }
    let lines = losses::read(BufReader::new(File::open(path)?))?;
    let request_losses = losses::request_losses(&lines);
    if request_losses.is_empty() {
        return Err(format!("{path} has no daemon's log line on a request").into());
    }
    println!("{}\n{}", losses::by_kind(&request_losses), losses::by_interval(&request_losses, width));
    Ok(())
}

/// Draws the scores of a site's simulated days, and which prices reduced them.
fn draw_charts(options: &Options) -> Result<(), BoxError> {
    let folder = options.arguments.get(1).ok_or("JOURNAL, a folder of journal entries, is required")?;
    let (site, out): (String, PathBuf) = (options.one("site", None)?, options.one("out", None)?);
    let runs = plot::read(Path::new(folder), &site)?;
    std::fs::create_dir_all(&out)?;
    plot::draw_worth(&runs, &format!("{site}: worth, run by run"), &out.join(format!("{site}-worth.svg")))?;
    let title = format!("{site}: where the worth went, newest runs");
    plot::draw_prices(&runs, &title, &out.join(format!("{site}-prices.svg")))
}

fn run_fleet(options: &Options) -> Result<(), BoxError> {
    let layout = options.layout()?;
    let _searchers = start_searchers(options, &layout)?;
    let platform = start_platform(options, &layout, "peer")?;
    let pids: String = options.one("pids", None)?;
    let fleet = Fleet {
        platform,
        operators: parse_all(options.all("operator"))?,
        pids: parse_all(&await_words(&pids)?)?,
        synthetic_upstreams: options.one("upstreams", Some(0))?,
        synthetic_daemons: options.one("made-daemons", Some(0))?,
        phase_time: Duration::from_secs_f64(options.one("seconds", Some(15.0))?),
        rate: options.one("rate", Some(0.4))?,
    };
    println!("{}", serde_json::to_string(&fleet.run())?);
    Ok(())
}

fn send_admin(options: &Options) -> Result<(), BoxError> {
    let to = options.one("admin", None)?;
    let argument = |index: usize| options.arguments.get(index).map_or("", String::as_str);
    let method = if argument(2).is_empty() { "GET" } else { "POST" };
    let reply = standin::Client::once(to, method, argument(1), argument(2), Duration::from_secs(5));
    let (status, body) = reply.ok_or("no reply from the admin address")?;
    println!("{}", String::from_utf8_lossy(&body));
    if status == 200 { Ok(()) } else { Err(format!("status {status}").into()) }
}

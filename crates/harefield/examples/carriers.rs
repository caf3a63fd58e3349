//! Measures the assignment of shards to carriers and prints the figures for
//! `docs/design/carriers.md`: `cargo run --release --example carriers`.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::sync::Arc;
use std::time::Instant;

use harefield::domain::ids::HostId;
use harefield::domain::ids::ShardId;
use harefield::domain::routing::CarrierCandidate;
use harefield::domain::routing::Carriers;

const CANDIDATES: usize = 8;

/// How many sets of candidates are drawn, each with other names.
const SETS: usize = 1000;

fn main() {
    println!(
        "| shards | assign, us | look up all, us | most shards | moved when one goes, besides its own |"
    );
    println!("|---|---|---|---|---|");
    for shards in [90, 135, 270] {
        measure(shards);
    }
}

fn measure(count: usize) {
    let shards: Vec<ShardId> = (0..count).map(|number| format!("s{number:03}/0").into()).collect();
    let (mut assign, mut look_up, mut most, mut moved, mut worst) = (0.0, 0.0, 0, 0, 0);
    for set in 0..SETS {
        let hosts = candidates(set);
        let start = Instant::now();
        let carriers = black_box(Carriers::assign(black_box(&shards), black_box(&hosts)));
        assign += start.elapsed().as_secs_f64();
        let start = Instant::now();
        for shard in &shards {
            black_box(carriers.carrier(shard, |_| true));
        }
        look_up += start.elapsed().as_secs_f64();
        let before = assigned(&shards, &carriers);
        let mut held: BTreeMap<&HostId, usize> = BTreeMap::new();
        for host in &before {
            *held.entry(host).or_default() += 1;
        }
        most = most.max(held.values().copied().max().unwrap_or(0));
        let gone = &hosts[0].host;
        let after = assigned(&shards, &Carriers::assign(&shards, &hosts[1..]));
        let others = before.iter().zip(&after).filter(|(before, after)| *before != gone && before != after);
        let others = others.count();
        moved += others;
        worst = worst.max(others);
    }
    #[expect(clippy::cast_precision_loss, reason = "they are small counts")]
    let (sets, moved) = (SETS as f64, moved as f64);
    let micros = |seconds: f64| seconds * 1e6 / sets;
    println!(
        "| {count} | {:.1} | {:.1} | {most} | {:.1}, at most {worst} |",
        micros(assign),
        micros(look_up),
        moved / sets
    );
}

fn candidates(set: usize) -> Vec<CarrierCandidate> {
    let name = |number: usize| format!("10.{}.{}.{number}:7200", set / 250, set % 250);
    (0..CANDIDATES).map(|n| CarrierCandidate { host: name(n).into(), capacity: 500 }).collect()
}

fn assigned(shards: &[ShardId], carriers: &Carriers) -> Vec<HostId> {
    shards.iter().filter_map(|shard| carriers.carrier(shard, |_| true)).map(Arc::clone).collect()
}

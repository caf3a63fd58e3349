//! Short soaks with fixed seeds.

use std::path::PathBuf;
use std::time::Duration;

use soak::Soak;
use soak::play;

fn program() -> PathBuf {
    let own = std::env::current_exe().expect("a test has a path");
    let beside = own.parent().and_then(|deps| deps.parent()).expect("it stands in a folder of the build");
    let program = beside.join("harefield");
    assert!(program.exists(), "build it first, as `cargo test --workspace` does: {}", program.display());
    program
}

fn soak(seed: u64) {
    let folder = std::env::temp_dir().join(format!("harefield-soak-{}-{seed}", std::process::id()));
    let report = play(&Soak {
        seed,
        time: Duration::from_secs(5),
        daemons: 4,
        callers: 4,
        shards: 4,
        program: program(),
        folder: folder.clone(),
    });
    assert!(report.broken.is_empty(), "{:#?}; logs: {}", report.broken, folder.display());
    assert!(report.served > 50, "{} of {} served", report.served, report.requests);
    std::fs::remove_dir_all(&folder).expect("the folder can be taken away");
}

#[test]
fn short_seed() {
    soak(1);
}

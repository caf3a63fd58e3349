//! Tests of the charts drawn from journal entries.

use serde_json::Value;
use serde_json::json;
use standin::plot;

/// Writes entries to a new temporary folder and returns its path.
fn journal(name: &str, entries: &[Value]) -> std::path::PathBuf {
    let folder = std::env::temp_dir().join(format!("harefield-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder can be created");
    for (number, entry) in entries.iter().enumerate() {
        let path = folder.join(format!("{number}.json"));
        std::fs::write(path, entry.to_string()).expect("the entry can be written");
    }
    folder
}

fn entry(at: &str, site: &str, worth: f64, arguments: &[&str]) -> Value {
    json!({
        "cmd": "run", "argv": arguments, "at": [at, at], "site": site,
        "days": [{ "name": "quiet-1", "G": worth, "prices": [["machine-seconds", 3.0, 0.1], ["none", 0, 0.0]] }],
    })
}

#[test]
fn charged_runs_in_order() {
    let entries = [
        entry("2026-12-02T12:00:00Z", "here", 0.7, &[]),
        entry("2026-12-02T11:00:00Z", "here", 0.5, &[]),
        entry("2026-12-02T13:00:00Z", "here", 0.9, &["--no-cpu"]),
        entry("2026-12-02T14:00:00Z", "elsewhere", 0.2, &[]),
    ];
    let folder = journal("charged", &entries);
    let runs = plot::read(&folder, "here").expect("the entries are valid");
    let worths: Vec<f64> = runs.iter().map(|run| run.worth).collect();
    assert_eq!(
        worths,
        [0.5, 0.7],
        "oldest first, without runs of other sites or without processor time charged"
    );
    assert_eq!(runs[0].prices.len(), 1, "prices that reduced nothing are left out");
    std::fs::remove_dir_all(folder).expect("the folder can be removed");
}

#[test]
fn charts_contain_days() {
    let entries = [entry("1", "here", 0.7, &[]), entry("2", "here", 0.8, &[])];
    let folder = journal("drawings", &entries);
    let runs = plot::read(&folder, "here").expect("the entries are valid");
    let (worth, prices) = (folder.join("worth.svg"), folder.join("prices.svg"));
    plot::draw_worth(&runs, "worth", &worth).expect("it can be drawn");
    plot::draw_prices(&runs, "prices", &prices).expect("it can be drawn");
    let text = |path| std::fs::read_to_string(path).expect("it was drawn");
    assert!(text(worth).contains("quiet-1"));
    assert!(text(prices).contains("machine-seconds"));
    std::fs::remove_dir_all(folder).expect("the folder can be removed");
}

#[test]
fn empty_runs_rejected() {
    let to = std::env::temp_dir().join("harefield-none.svg");
    assert!(plot::draw_worth(&[], "none", &to).is_err());
    assert!(plot::draw_prices(&[], "none", &to).is_err());
}

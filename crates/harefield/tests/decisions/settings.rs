//! Errors and defaults of the settings file.

use miette::Diagnostic;

use harefield::adapters::settings::Settings;

const MINIMAL: &str = "
[host]
zone = \"a\"

[platform]
addresses = [\"127.0.0.1:1\"]
";

/// Returns the positions and messages of all errors in a text.
fn errors(text: &str) -> Vec<(usize, String)> {
    let error = Settings::parse("daemon.toml", text).expect_err("the text has errors");
    let labels = error.labels().expect("errors have positions");
    labels.map(|label| (label.offset(), label.label().unwrap_or("").to_owned())).collect()
}

#[test]
fn minimal_settings() {
    let settings = Settings::parse("daemon.toml", MINIMAL).expect("the rest has defaults");
    assert_eq!(settings.limits.workers, 1);
    assert_eq!(settings.host.zone, "a");
}

#[test]
fn all_errors_at_once() {
    let text = format!("{MINIMAL}\n[limits]\nworkers = \"many\"\nbogus = 1\nconnections = 0\n");
    let found = errors(&text);
    assert_eq!(found.len(), 3, "{found:?}");
    assert!(found.iter().any(|(at, _)| text[*at..].starts_with("\"many\"")));
    assert!(found.iter().any(|(at, _)| text[*at..].starts_with("bogus")));
    assert!(found.iter().any(|(_, text)| text.contains("limits.connections")));
}

#[test]
fn required_fields() {
    let found = errors("");
    let texts: Vec<&str> = found.iter().map(|(_, text)| text.as_str()).collect();
    assert!(texts.iter().any(|text| text.contains("host.zone")), "{texts:?}");
    assert!(texts.iter().any(|text| text.contains("platform.addresses")), "{texts:?}");
}

#[test]
fn heartbeat_bounds() {
    for heartbeat in [0, 60_001] {
        let found = errors(&format!("{MINIMAL}heartbeat-ms = {heartbeat}\n"));
        assert!(found.iter().any(|(_, text)| text.contains("platform.heartbeat-ms")), "{found:?}");
    }
}

#[test]
fn not_toml() {
    assert!(!errors("[host\nzone = ").is_empty());
}

#[test]
fn missing_file() {
    let error = Settings::load(std::path::Path::new("/nonexistent/daemon.toml")).expect_err("no file");
    assert!(error.to_string().starts_with("HF5001"), "{error}");
}

#[test]
fn scheduling_bounds() {
    for faulty in ["shares = []", "shares = [8, 0]", "min-shards = 0"] {
        let found = errors(&format!("{MINIMAL}\n[scheduling]\n{faulty}\n"));
        assert!(found.iter().any(|(_, text)| text.contains("scheduling.")), "{faulty}: {found:?}");
    }
    let settings = Settings::parse("daemon.toml", MINIMAL).expect("the rest has defaults");
    assert!(!settings.scheduling.enabled);
    assert_eq!((&*settings.scheduling.shares, settings.scheduling.min_shards), (&[64, 32, 16, 1][..], 40));
}

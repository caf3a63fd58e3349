//! The settings file.

use miette::Diagnostic;

use harefield::adapters::settings::Settings;

const LEAST: &str = "
[host]
zone = \"a\"

[platform]
addresses = [\"127.0.0.1:1\"]
";

/// Returns the places and messages of a text's faults.
fn faults(text: &str) -> Vec<(usize, String)> {
    let error = Settings::parse("daemon.toml", text).expect_err("the text has faults");
    let labels = error.labels().expect("faults have places");
    labels.map(|label| (label.offset(), label.label().unwrap_or("").to_owned())).collect()
}

#[test]
fn least_settings() {
    let settings = Settings::parse("daemon.toml", LEAST).expect("the rest has defaults");
    assert_eq!(settings.limits.workers, 1);
    assert_eq!(settings.host.zone, "a");
}

#[test]
fn all_faults_at_once() {
    let text = format!("{LEAST}\n[limits]\nworkers = \"many\"\nbogus = 1\nconnections = 0\n");
    let found = faults(&text);
    assert_eq!(found.len(), 3, "{found:?}");
    assert!(found.iter().any(|(at, _)| text[*at..].starts_with("\"many\"")));
    assert!(found.iter().any(|(at, _)| text[*at..].starts_with("bogus")));
    assert!(found.iter().any(|(_, text)| text.contains("limits.connections")));
}

#[test]
fn required_fields() {
    let found = faults("");
    let texts: Vec<&str> = found.iter().map(|(_, text)| text.as_str()).collect();
    assert!(texts.iter().any(|text| text.contains("host.zone")), "{texts:?}");
    assert!(texts.iter().any(|text| text.contains("platform.addresses")), "{texts:?}");
}

#[test]
fn heartbeat_bounds() {
    for heartbeat in [0, 60_001] {
        let found = faults(&format!("{LEAST}heartbeat-ms = {heartbeat}\n"));
        assert!(found.iter().any(|(_, text)| text.contains("platform.heartbeat-ms")), "{found:?}");
    }
}

#[test]
fn not_toml() {
    assert!(!faults("[host\nzone = ").is_empty());
}

#[test]
fn missing_file() {
    let error = Settings::load(std::path::Path::new("/nonexistent/daemon.toml")).expect_err("no file");
    assert!(error.to_string().starts_with("HF5001"), "{error}");
}

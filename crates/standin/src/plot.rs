//! Charts of measured runs from the journal: the score of each simulated day over time, and which
//! prices reduced it.

use std::collections::BTreeMap;
use std::error::Error;
use std::path::Path;

use plotters::prelude::*;
use serde_json::Value;

/// Width and height of a chart, in pixels.
const SIZE: (u32, u32) = (1100, 600);

/// The most prices that get a bar part of their own; the others are summed.
const MAX_PRICES: usize = 6;

/// The result of one simulated day in one run.
#[derive(Clone, Debug, PartialEq)]
pub struct DayRun {
    /// When the run started, as written in the journal; these texts sort in time order.
    pub at: String,
    /// The day's name.
    pub day: String,
    /// The score, from 0 to 1.
    pub worth: f64,
    /// How much each price reduced the score.
    pub prices: BTreeMap<String, f64>,
}

/// Reads the day results of one site from a folder of journal entries, oldest run first.
///
/// # Errors
///
/// Returns an error if the folder or an entry cannot be read, or an entry is not JSON.
pub fn read(folder: &Path, site: &str) -> Result<Vec<DayRun>, Box<dyn Error>> {
    let mut runs = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        if path.extension().is_none_or(|extension| extension != "json") {
            continue;
        }
        let entry: Value = serde_json::from_str(&std::fs::read_to_string(&path)?)
            .map_err(|error| format!("{}: {error}", path.display()))?;
        runs.extend(day_runs(&entry, site));
    }
    runs.sort_by(|a, b| a.at.cmp(&b.at));
    Ok(runs)
}

/// Returns the day results of a journal entry if it is a run of this site that played whole days
/// with processor time charged, without the days whose names start with `fresh`.
fn day_runs(entry: &Value, site: &str) -> Vec<DayRun> {
    let played = ["score", "run"].iter().any(|verb| entry["cmd"] == *verb);
    let charged =
        !entry["argv"].to_string().contains("--no-cpu") && !entry["argv"].to_string().contains("--until");
    if !played || !charged || entry["site"] != site {
        return Vec::new();
    }
    let at = entry["at"][0].as_str().unwrap_or("").to_owned();
    let all = entry["days"].as_array().map_or(&[][..], Vec::as_slice);
    let day = |day: &Value| {
        let name = day["name"].as_str().filter(|name| !name.starts_with("fresh"))?;
        Some(DayRun { at: at.clone(), day: name.to_owned(), worth: day["G"].as_f64()?, prices: prices(day) })
    };
    all.iter().filter_map(day).collect()
}

fn prices(day: &Value) -> BTreeMap<String, f64> {
    let all = day["prices"].as_array().map_or(&[][..], Vec::as_slice);
    let price = |price: &Value| Some((price[0].as_str()?.to_owned(), price[2].as_f64()?));
    all.iter().filter_map(price).filter(|(_, took)| *took > 0.0).collect()
}

/// Draws the score of each day, run by run.
///
/// # Errors
///
/// Returns why the drawing cannot be made.
pub fn draw_worth(runs: &[DayRun], title: &str, to: &Path) -> Result<(), Box<dyn Error>> {
    let mut by_day: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
    for run in runs {
        by_day.entry(&run.day).or_default().push(run.worth);
    }
    let max_runs = by_day.values().map(Vec::len).max().ok_or("the journal has no run of this site")?;
    let area = SVGBackend::new(to, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 22))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(1_usize..max_runs.max(2), 0.0..1.0)?;
    chart.configure_mesh().x_desc("run of the day, the oldest first").y_desc("worth").draw()?;
    for (number, (day, worths)) in by_day.into_iter().enumerate() {
        let colour = Palette99::pick(number).to_rgba();
        let points = worths.into_iter().enumerate().map(|(at, worth)| (at + 1, worth));
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
            .label(day)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2)));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}

/// Draws a stacked bar for each day's newest run: the score, the highest prices, and the rest.
///
/// # Errors
///
/// Returns why the drawing cannot be made.
pub fn draw_prices(runs: &[DayRun], title: &str, to: &Path) -> Result<(), Box<dyn Error>> {
    let newest: BTreeMap<&str, &DayRun> = runs.iter().map(|run| (run.day.as_str(), run)).collect();
    if newest.is_empty() {
        return Err("the journal has no run of this site".into());
    }
    let names = bar_parts(&newest);
    let area = SVGBackend::new(to, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let days = newest.len();
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 22))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..to_f64(days) + 2.5, 0.0..1.0)?;
    let label = |x: &f64| newest.keys().enumerate().find(|(at, _)| (to_f64(*at) + 0.4 - x).abs() < 0.2);
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(days * 5)
        .x_label_formatter(&|x| label(x).map_or(String::new(), |(_, day)| (*day).to_owned()))
        .y_desc("share of the credit owed")
        .draw()?;
    for (number, part) in names.iter().enumerate() {
        let colour = Palette99::pick(number).mix(0.85);
        let bars = newest.values().enumerate().map(|(at, run)| {
            let (from, until) = span(run, &names, number);
            Rectangle::new([(to_f64(at), from), (to_f64(at) + 0.8, until)], colour.filled())
        });
        chart
            .draw_series(bars)?
            .label(part.as_str())
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 12, y + 5)], colour.filled()));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}

/// The label of the remaining part of a bar, most of which is requests not served in time.
const REMAINDER: &str = "late, missing, refused and small prices";

/// Returns the names of the bar parts from the bottom: the score, the highest prices, and the
/// rest.
fn bar_parts(runs: &BTreeMap<&str, &DayRun>) -> Vec<String> {
    let mut sums: BTreeMap<&str, f64> = BTreeMap::new();
    for (name, took) in runs.values().flat_map(|run| &run.prices) {
        *sums.entry(name).or_default() += took;
    }
    let mut ranked: Vec<_> = sums.into_iter().collect();
    ranked.sort_by(|a, b| b.1.total_cmp(&a.1));
    let highest = ranked.into_iter().take(MAX_PRICES).map(|(name, _)| name.to_owned());
    std::iter::once("worth".to_owned()).chain(highest).chain([REMAINDER.to_owned()]).collect()
}

/// Returns the lower and upper end of a part of a day's bar.
fn span(run: &DayRun, names: &[String], number: usize) -> (f64, f64) {
    let size = |name: &String| match name.as_str() {
        "worth" => run.worth.max(0.0),
        other => run.prices.get(other).copied().unwrap_or(0.0),
    };
    let from: f64 = names[..number].iter().map(size).sum();
    let until = if names[number] == REMAINDER { 1.0 } else { from + size(&names[number]) };
    (from.min(1.0), until.clamp(from.min(1.0), 1.0))
}

fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

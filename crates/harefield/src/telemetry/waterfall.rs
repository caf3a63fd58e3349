//! Draws one request as an SVG waterfall of its processes and attempts.

use std::collections::BTreeMap;
use std::fmt::Write;

use crate::domain::event::Cause;
use crate::domain::event::Event;
use crate::domain::event::Record;
use crate::domain::ids::AttemptId;

// The layout of the drawing, in pixels.
const LABEL_WIDTH: f64 = 330.0;
const CHART_WIDTH: f64 = 640.0;
const LINE_HEIGHT: f64 = 18.0;
const HEADER_HEIGHT: f64 = 34.0;

/// One line of the drawing; times in microseconds.
#[derive(Clone, Debug, PartialEq)]
struct Bar {
    label: String,
    start: u64,
    end: Option<u64>,
    kind: &'static str,
    note: String,
}

/// Draws the records of one request as SVG; they must be sorted by stamp.
#[must_use]
pub fn waterfall(records: &[Record]) -> String {
    let Some(origin) = records.first().map(|record| record.stamp.micros) else {
        return "<svg xmlns='http://www.w3.org/2000/svg' width='300' height='30'><text x='5' y='20' \
                font-size='13'>no events are held</text></svg>"
            .to_owned();
    };
    let last = records.last().map_or(origin, |record| record.stamp.micros);
    let span = last.saturating_sub(origin).max(1);
    let bars = bars(records);
    let height = HEADER_HEIGHT + LINE_HEIGHT * (count(bars.len()) + 1.0);
    let mut svg = format!(
        "<svg xmlns='http://www.w3.org/2000/svg' width='{}' height='{height}' font-family='sans-serif' font-size='12'>",
        LABEL_WIDTH + CHART_WIDTH + 220.0
    );
    let request = records.iter().find_map(|record| record.request.as_deref()).unwrap_or("");
    let millis = to_f64(span) / 1000.0;
    let _ = write!(svg, "<text x='4' y='18'>{}: {millis:.1} ms</text>", escape(request));
    for (line, bar) in bars.iter().enumerate() {
        draw(&mut svg, bar, origin, span, HEADER_HEIGHT + LINE_HEIGHT * count(line));
    }
    svg.push_str("</svg>");
    svg
}

fn draw(svg: &mut String, bar: &Bar, origin: u64, span: u64, y: f64) {
    let x_of = |at: u64| LABEL_WIDTH + CHART_WIDTH * to_f64(at.saturating_sub(origin)) / to_f64(span);
    let (x, end) = (x_of(bar.start), x_of(bar.end.unwrap_or(origin + span)));
    let width = (end - x).max(2.0);
    let colour = match bar.kind {
        "first" => "#4a7fb5",
        "hedge" => "#c58a1c",
        "retry" => "#8a5fb0",
        "probe" => "#999999",
        "failed" => "#b03030",
        _ => "#3c8a4e",
    };
    let text_y = y + 12.0;
    let _ = write!(
        svg,
        "<text x='4' y='{text_y}'>{}</text><rect x='{x:.1}' y='{y}' width='{width:.1}' height='13' fill='{colour}'>\
         <title>{}</title></rect><text x='{:.1}' y='{text_y}' fill='#555'>{}</text>",
        escape(&bar.label),
        escape(&bar.note),
        end.max(x + width) + 4.0,
        escape(&bar.note),
    );
}

/// Returns a line for each process and each attempt.
fn bars(records: &[Record]) -> Vec<Bar> {
    let mut bars = Vec::new();
    let mut attempts: BTreeMap<AttemptId, usize> = BTreeMap::new();
    let mut processes: BTreeMap<&str, usize> = BTreeMap::new();
    for record in records {
        let at = record.stamp.micros;
        let index = *processes.entry(&record.host).or_insert_with(|| {
            bars.push(bar(format!("daemon {}", record.host), at, "process"));
            bars.len() - 1
        });
        bars[index].end = Some(at);
        match &record.event {
            Event::Sent { shard, upstream, attempt, cause } => {
                attempts.insert(*attempt, bars.len());
                bars.push(bar(format!("{shard} at {upstream}"), at, cause_name(*cause)));
            }
            Event::Answered { outcome, code, .. } => {
                bars[index].note = format!("{code} {outcome:?}");
            }
            event => end_attempt(event, at, &attempts, &mut bars),
        }
    }
    bars
}

fn bar(label: String, start: u64, kind: &'static str) -> Bar {
    Bar { label, start, end: None, kind, note: kind.to_owned() }
}

fn end_attempt(event: &Event, at: u64, attempts: &BTreeMap<AttemptId, usize>, bars: &mut [Bar]) {
    let (attempt, note, failed) = match event {
        Event::ReplyTaken { attempt, micros, .. } => {
            (attempt, format!("{:.1} ms", to_f64(*micros) / 1000.0), false)
        }
        Event::ReplyDropped { attempt, why, .. } => (attempt, format!("dropped, {why:?}"), false),
        Event::AttemptFailed { attempt, why, .. } => (attempt, format!("{why:?}"), true),
        Event::Cancelled { attempt, .. } => (attempt, "cancelled".to_owned(), false),
        _ => return,
    };
    let Some(bar) = attempts.get(attempt).and_then(|index| bars.get_mut(*index)) else { return };
    bar.end.get_or_insert(at);
    bar.note = format!("{}, {note}", bar.note);
    if failed {
        bar.kind = "failed";
    }
}

const fn cause_name(cause: Cause) -> &'static str {
    match cause {
        Cause::First => "first",
        Cause::Retry => "retry",
        Cause::Hedge => "hedge",
        Cause::Probe => "probe",
    }
}

fn count(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}

fn to_f64(number: u64) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('\'', "&apos;")
}

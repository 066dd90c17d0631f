//! An HTML report with a table and a plot for each topic.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::{Path, PathBuf};
use std::{fs, io};

use plotters::prelude::{
    BLUE, ChartBuilder, Color, IntoDrawingArea, RED, Rectangle, SVGBackend, WHITE,
};

use crate::runner::BenchResults;
use crate::scenario::{Bound, Measurement, ScenarioResult};

const PLOT_WIDTH_PX: u32 = 900;
const BAR_HEIGHT_PX: u32 = 18;
const PLOT_MARGIN_PX: u32 = 70;

/// The share of a bound at which a bar is clipped.
const MAX_SHARE: f64 = 2.0;

/// An error while a report was written.
#[derive(Debug, thiserror::Error)]
pub enum ReportError {
    /// A file or directory cannot be written.
    #[error("cannot write {}: {source}", path.display())]
    Write {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The results cannot be serialized as JSON.
    #[error("cannot serialize the results as JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// A plot cannot be drawn.
    #[error("cannot draw the plot of {topic}: {cause}")]
    Plot {
        /// The topic.
        topic: String,
        /// The cause.
        cause: String,
    },
}

/// Writes `results.json`, `report.html` and a plot for each topic.
///
/// # Errors
///
/// Returns an error that names the file that could not be written.
pub fn write(results: &BenchResults, dir: &Path) -> Result<(), ReportError> {
    fs::create_dir_all(dir).map_err(|source| write_error(dir, source))?;
    let json = serde_json::to_vec_pretty(results)?;
    write_file(&dir.join("results.json"), &json)?;
    let mut page = String::from(PAGE_HEAD);
    for (topic, results) in by_topic(results) {
        let bars = bars(&results);
        if !bars.is_empty() {
            draw(&topic, &bars, &dir.join(format!("{topic}.svg")))?;
        }
        push_topic(&mut page, &topic, &results, !bars.is_empty());
    }
    page.push_str("</body></html>\n");
    write_file(&dir.join("report.html"), page.as_bytes())
}

const PAGE_HEAD: &str = "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
<title>waxwingusher bench</title><style>body{font-family:sans-serif;margin:2em}\
td,th{padding:0.2em 0.8em;text-align:left;border-bottom:1px solid #ccc}\
.short{color:#b00}</style></head><body><h1>waxwingusher bench</h1>\n";

/// A bounded value as a share of its bound; above 1 it is out of bounds.
struct Bar {
    label: String,
    share: f64,
    is_within_bound: bool,
}

fn by_topic(results: &BenchResults) -> BTreeMap<String, Vec<&ScenarioResult>> {
    let mut topics: BTreeMap<String, Vec<&ScenarioResult>> = BTreeMap::new();
    for result in &results.results {
        let topic = result.scenario.split('/').next().unwrap_or("other");
        topics.entry(topic.to_owned()).or_default().push(result);
    }
    topics
}

fn bars(results: &[&ScenarioResult]) -> Vec<Bar> {
    let mut bars = Vec::new();
    for result in results {
        for measurement in &result.measurements {
            let Some(share) = share_of_bound(measurement) else {
                continue;
            };
            let case = result.scenario.split('/').nth(1).unwrap_or("");
            bars.push(Bar {
                label: format!("{case}: {}", measurement.name),
                share: share.min(MAX_SHARE),
                is_within_bound: measurement.is_within_bound(),
            });
        }
    }
    bars
}

fn share_of_bound(measurement: &Measurement) -> Option<f64> {
    let (used, allowed) = match measurement.bound? {
        Bound::AtMost(limit) => (measurement.value, limit),
        Bound::AtLeast(limit) => (limit, measurement.value),
    };
    if used <= 0.0 {
        return Some(0.0);
    }
    Some(if allowed > 0.0 {
        used / allowed
    } else {
        MAX_SHARE
    })
}

fn draw(topic: &str, bars: &[Bar], path: &Path) -> Result<(), ReportError> {
    let count = u32::try_from(bars.len()).unwrap_or(u32::MAX);
    let height = count.saturating_mul(BAR_HEIGHT_PX) + PLOT_MARGIN_PX;
    let plot = |path: &Path| -> Result<(), Box<dyn std::error::Error>> {
        let area = SVGBackend::new(path, (PLOT_WIDTH_PX, height)).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(10)
            .x_label_area_size(30)
            .y_label_area_size(360)
            .build_cartesian_2d(0.0..MAX_SHARE, 0.0..f64::from(count))?;
        let label = |y: &f64| -> String {
            let index = *y as usize;
            bars.get(index)
                .map_or(String::new(), |bar| bar.label.clone())
        };
        chart
            .configure_mesh()
            .disable_y_mesh()
            .y_labels(bars.len() + 1)
            .y_label_formatter(&label)
            .x_desc("value as a share of its bound (above 1: out of bounds)")
            .draw()?;
        for (index, bar) in bars.iter().enumerate() {
            let color = if bar.is_within_bound {
                BLUE.mix(0.6)
            } else {
                RED.mix(0.8)
            };
            let low = index as f64 + 0.15;
            let corners = [(0.0, low), (bar.share, low + 0.7)];
            chart.draw_series([Rectangle::new(corners, color.filled())])?;
        }
        area.present()?;
        Ok(())
    };
    plot(path).map_err(|cause| ReportError::Plot {
        topic: topic.to_owned(),
        cause: cause.to_string(),
    })
}

fn push_topic(page: &mut String, topic: &str, results: &[&ScenarioResult], has_plot: bool) {
    // Writing to a string cannot fail.
    let _ = writeln!(page, "<h2>{topic}</h2>");
    if has_plot {
        let _ = writeln!(
            page,
            "<img src=\"{topic}.svg\" alt=\"Values of {topic} by bound\">"
        );
    }
    page.push_str("<table><tr><th>scenario</th><th>measurement</th><th>value</th><th>unit</th><th>bound</th></tr>\n");
    for result in results {
        for measurement in &result.measurements {
            let class = if measurement.is_within_bound() {
                ""
            } else {
                " class=\"short\""
            };
            let _ = writeln!(
                page,
                "<tr{class}><td>{}</td><td>{}</td><td>{:.6}</td><td>{}</td><td>{}</td></tr>",
                result.scenario,
                measurement.name,
                measurement.value,
                measurement.unit,
                measurement.bound.map_or(String::new(), bound_text),
            );
        }
    }
    page.push_str("</table>\n");
}

fn bound_text(bound: Bound) -> String {
    match bound {
        Bound::AtMost(limit) => format!("&le; {limit}"),
        Bound::AtLeast(limit) => format!("&ge; {limit}"),
    }
}

fn write_file(path: &Path, bytes: &[u8]) -> Result<(), ReportError> {
    fs::write(path, bytes).map_err(|source| write_error(path, source))
}

fn write_error(path: &Path, source: io::Error) -> ReportError {
    ReportError::Write {
        path: path.to_owned(),
        source,
    }
}

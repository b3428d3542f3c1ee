//! Measures how the cost of each role grows with its size, for docs/CAPACITY.md.
//!
//! `cargo run --release --example slopes -- [--out DIR] [--workers N]` writes `slopes.json` and `slopes.svg` to a
//! folder and prints a table. It runs in one process. The membership of groups has a measurement of its own,
//! `cargo run --release --example membership`.

mod measure;
mod plot;
#[path = "../../benches/support/mod.rs"]
mod support;

use std::path::PathBuf;
use std::process::ExitCode;

use serde::Serialize;

/// Maximum number of workers of a measured group; this many need about 2 GiB of memory.
const MAX_GROUP_WORKERS: u32 = 4_096;
/// Default number of workers of the largest measured group.
const DEFAULT_GROUP_WORKERS: u32 = 512;

/// Measured value of a series at one size.
#[derive(Clone, Debug, Serialize)]
pub struct Point {
    /// Name of the measured quantity.
    pub series: &'static str,
    /// Unit of the value.
    pub unit: &'static str,
    /// Name of the items that the size counts.
    pub counts: &'static str,
    /// Number of items at this point.
    pub size: u32,
    /// Measured value.
    pub value: f64,
}

/// Straight line fitted to the points of one series.
#[derive(Clone, Debug, Serialize)]
pub struct Slope {
    /// Name of the measured quantity.
    pub series: &'static str,
    /// Unit of the value.
    pub unit: &'static str,
    /// Name of the items that the size counts.
    pub counts: &'static str,
    /// Increase of the value for each additional item.
    pub slope: f64,
    /// Value of the line at size zero.
    pub intercept: f64,
}

#[derive(Serialize)]
struct Results {
    points: Vec<Point>,
    slopes: Vec<Slope>,
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("slopes: {error}");
            ExitCode::from(2)
        }
    }
}

fn run() -> Result<(), String> {
    let mut options = getopts::Options::new();
    options.optopt(
        "",
        "out",
        "folder for slopes.json and slopes.svg, default target/slopes",
        "DIR",
    );
    options.optopt("", "workers", "workers of the largest group, default 512", "N");
    let matches = options.parse(std::env::args().skip(1)).map_err(|error| error.to_string())?;
    let workers = parse_group_workers(matches.opt_str("workers").as_deref())?;
    let folder =
        PathBuf::from(matches.opt_str("out").unwrap_or_else(|| "target/slopes".to_owned()));
    std::fs::create_dir_all(&folder).map_err(|error| format!("{}: {error}", folder.display()))?;

    let points = measure::all(workers);
    let slopes = fit_all(&points);
    print(&points, &slopes);
    let results = Results { points, slopes };
    let json = serde_json::to_string_pretty(&results).map_err(|error| error.to_string())?;
    let path = folder.join("slopes.json");
    std::fs::write(&path, json).map_err(|error| format!("{}: {error}", path.display()))?;
    plot::draw(&results.points, &folder.join("slopes.svg"))
}

fn parse_group_workers(text: Option<&str>) -> Result<u32, String> {
    let Some(text) = text else {
        return Ok(DEFAULT_GROUP_WORKERS);
    };
    match text.parse() {
        Ok(workers @ 16..=MAX_GROUP_WORKERS) => Ok(workers),
        _ => Err(format!("--workers must be from 16 to {MAX_GROUP_WORKERS}, not {text:?}")),
    }
}

/// Fits a line to each series, in the order of their first points.
fn fit_all(points: &[Point]) -> Vec<Slope> {
    let mut slopes: Vec<Slope> = Vec::new();
    for point in points {
        if slopes.iter().any(|slope| slope.series == point.series) {
            continue;
        }
        let series_points: Vec<&Point> =
            points.iter().filter(|p| p.series == point.series).collect();
        let (slope, intercept) = fit(&series_points);
        let Point { series, unit, counts, .. } = *point;
        slopes.push(Slope { series, unit, counts, slope, intercept });
    }
    slopes
}

/// Fits a straight line by least squares and returns its slope and intercept.
fn fit(points: &[&Point]) -> (f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|p| f64::from(p.size)).sum::<f64>() / count;
    let mean_y = points.iter().map(|p| p.value).sum::<f64>() / count;
    let squared_deviations =
        points.iter().map(|p| (f64::from(p.size) - mean_x).powi(2)).sum::<f64>();
    if squared_deviations == 0.0 {
        return (0.0, mean_y);
    }
    let product = |p: &&Point| (f64::from(p.size) - mean_x) * (p.value - mean_y);
    let slope = points.iter().map(product).sum::<f64>() / squared_deviations;
    (slope, mean_y - slope * mean_x)
}

fn print(points: &[Point], slopes: &[Slope]) {
    println!("| series | unit | size | value |\n|---|---|---|---|");
    for point in points {
        println!(
            "| {} | {} | {} {} | {:.2} |",
            point.series, point.unit, point.size, point.counts, point.value
        );
    }
    println!("\n| series | slope | intercept |\n|---|---|---|");
    for slope in slopes {
        let Slope { series, unit, counts, slope, intercept } = slope;
        println!("| {series} | {slope:.4} {unit} for each of {counts} | {intercept:.2} {unit} |");
    }
}

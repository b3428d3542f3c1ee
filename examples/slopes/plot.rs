//! Plots the points of each series relative to the point at the smallest size.

use std::path::Path;

use plotters::prelude::*;

use super::Point;

/// Width and height of the picture, in pixels.
const PICTURE_SIZE: (u32, u32) = (960, 640);

/// Writes an SVG file with one line for each series, on logarithmic axes.
pub fn draw(points: &[Point], path: &Path) -> Result<(), String> {
    let root = SVGBackend::new(path, PICTURE_SIZE).into_drawing_area();
    let failed = |error: &dyn std::fmt::Display| format!("{}: {error}", path.display());
    root.fill(&WHITE).map_err(|error| failed(&error))?;
    let series = relative_series(points);
    let points = || series.iter().flat_map(|(_, line)| line.iter());
    let max_x = points().map(|(x, _)| *x).fold(10.0, f64::max);
    let max_y = points().map(|(_, y)| *y).fold(10.0, f64::max);
    let mut chart = ChartBuilder::on(&root)
        .margin(20)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d((1.0..max_x).log_scale(), (0.5..max_y).log_scale())
        .map_err(|error| failed(&error))?;
    chart
        .configure_mesh()
        .x_desc("size relative to the smallest size")
        .y_desc("cost relative to the cost at the smallest size")
        .draw()
        .map_err(|error| failed(&error))?;
    for (index, (name, line)) in series.into_iter().enumerate() {
        let colour = Palette99::pick(index).mix(1.0);
        chart
            .draw_series(LineSeries::new(line, colour.stroke_width(2)))
            .map_err(|error| failed(&error))?
            .label(name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .position(SeriesLabelPosition::UpperLeft)
        .draw()
        .map_err(|error| failed(&error))?;
    root.present().map_err(|error| failed(&error))
}

/// Returns the points of each series divided by its first point. Values below 0.5, the lower end of the axis, are
/// raised to it.
fn relative_series(points: &[Point]) -> Vec<(&'static str, Vec<(f64, f64)>)> {
    let mut series: Vec<(&'static str, Vec<(f64, f64)>)> = Vec::new();
    for point in points {
        if series.iter().any(|(name, _)| *name == point.series) {
            continue;
        }
        let series_points = points.iter().filter(|p| p.series == point.series);
        let line = series_points
            .map(|p| (f64::from(p.size) / f64::from(point.size), (p.value / point.value).max(0.5)));
        series.push((point.series, line.collect()));
    }
    series
}

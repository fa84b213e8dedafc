//! Plots results as SVG files.

use std::path::Path;

use plotters::prelude::ChartBuilder;
use plotters::prelude::Color;
use plotters::prelude::IntoDrawingArea;
use plotters::prelude::LineSeries;
use plotters::prelude::SVGBackend;
use plotters::style::BLUE;
use plotters::style::RED;
use plotters::style::RGBColor;
use plotters::style::WHITE;

use crate::policy::Comparison;

/// Width and height of a plot in pixels.
const SIZE: (u32, u32) = (720, 400);

/// Line of a plot.
pub struct Line {
    /// Name in the legend.
    pub name: &'static str,
    /// Points of the line, ordered by the horizontal coordinate.
    pub points: Vec<(f64, f64)>,
}

/// Writes a plot of the tokens per second over time of each comparison into a folder, which is
/// created if necessary.
pub fn write(folder: &Path, results: &[Comparison]) -> anyhow::Result<()> {
    std::fs::create_dir_all(folder)?;
    for result in results {
        let fault = format!("{:?}", result.fault).to_lowercase();
        let name = format!("{}-{}-{fault}.svg", result.deployment, result.level);
        let title = format!("{} level {} fault {fault}", result.deployment, result.level);
        let lines = [
            Line {
                name: "product",
                points: minutes(&result.product.token_rates),
            },
            Line {
                name: "baseline",
                points: minutes(&result.baseline.token_rates),
            },
        ];
        draw(&folder.join(name), &title, ("minute", "tokens/s"), &lines)?;
    }
    Ok(())
}

/// Draws lines into an SVG file. `axes` holds the labels of the horizontal and vertical axis.
pub fn draw(path: &Path, title: &str, axes: (&str, &str), lines: &[Line]) -> anyhow::Result<()> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let points = || lines.iter().flat_map(|line| &line.points);
    let right = points().map(|p| p.0).fold(1e-9, f64::max);
    let top = points().map(|p| p.1).fold(1e-9, f64::max);
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..right, 0.0..top * 1.05)?;
    chart
        .configure_mesh()
        .x_desc(axes.0)
        .y_desc(axes.1)
        .draw()?;
    let colours: [RGBColor; 2] = [BLUE, RED];
    for (line, colour) in lines.iter().zip(colours.iter().cycle()) {
        let series = LineSeries::new(line.points.iter().copied(), colour);
        chart.draw_series(series)?.label(line.name).legend({
            let colour = *colour;
            move |(x, y)| plotters::prelude::PathElement::new([(x, y), (x + 16, y)], colour)
        });
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(plotters::style::BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}

fn minutes(values: &[f64]) -> Vec<(f64, f64)> {
    let points = values.iter().enumerate();
    points
        // A run has at most a few thousand minutes.
        .map(|(minute, value)| (f64::from(u32::try_from(minute).unwrap_or(0)), *value))
        .collect()
}

use std::error::Error;
use std::path::Path;

use plotters::prelude::{
    BLACK, ChartBuilder, Color, IntoDrawingArea, IntoFont, LineSeries, Palette, Palette99,
    PathElement, SVGBackend, WHITE,
};

use crate::experiment::RunSummary;
use crate::experiment::random::usize_to_f64;

const PLOT_PIXELS: (u32, u32) = (1200, 800);

/// Column and title of each panel of a plot.
const PANELS: [(&str, &str); 4] = [
    ("stall_s", "total stall, s"),
    ("gap_p99_ms", "time between tokens p99, ms"),
    ("first_p99_ms", "time to first token p99, ms"),
    ("good_tok_s", "goodput, tokens/s"),
];

/// Means of one policy's column over the seeds.
struct Line {
    points: Vec<(f64, f64)>,
    policy: String,
}

/// Writes a plot for each load file, with a panel for each of `PANELS`; skips runs with faults.
pub(crate) fn write_plots(summaries: &[RunSummary], folder: &Path) -> Result<(), Box<dyn Error>> {
    let without_fault: Vec<&RunSummary> = summaries.iter().filter(|s| s.fault == "none").collect();
    let loads = distinct(without_fault.iter().map(|summary| summary.load.as_str()));
    for load in loads {
        let of_load: Vec<&RunSummary> = without_fault
            .iter()
            .copied()
            .filter(|s| s.load == load)
            .collect();
        plot(&of_load, &folder.join(format!("{load}.svg")))?;
    }
    Ok(())
}

fn plot(summaries: &[&RunSummary], path: &Path) -> Result<(), Box<dyn Error>> {
    let area = SVGBackend::new(path, PLOT_PIXELS).into_drawing_area();
    area.fill(&WHITE)?;
    for (panel, (name, title)) in area.split_evenly((2, 2)).iter().zip(PANELS) {
        let lines = lines(summaries, name);
        let points = || lines.iter().flat_map(|line| &line.points);
        let top = points().map(|point| point.1).fold(1.0, f64::max) * 1.05;
        let right = points().map(|point| point.0).fold(1.0, f64::max) * 1.05;
        let mut builder = ChartBuilder::on(panel);
        builder.caption(title, ("sans-serif", 18).into_font());
        builder
            .margin(10)
            .x_label_area_size(30)
            .y_label_area_size(60);
        let mut chart = builder.build_cartesian_2d(0.0..right, 0.0..top)?;
        chart.configure_mesh().x_desc("load over capacity").draw()?;
        for (position, line) in lines.into_iter().enumerate() {
            let colour = Palette99::pick(position).to_rgba();
            let series = LineSeries::new(line.points, colour.stroke_width(2));
            let drawn = chart.draw_series(series)?.label(line.policy);
            drawn.legend(move |(x, y)| PathElement::new([(x, y), (x + 15, y)], colour));
        }
        chart.configure_series_labels().border_style(BLACK).draw()?;
    }
    area.present()?;
    Ok(())
}

fn distinct<'a>(names: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut distinct = Vec::new();
    for name in names {
        if !distinct.contains(&name) {
            distinct.push(name);
        }
    }
    distinct
}

fn lines(summaries: &[&RunSummary], name: &str) -> Vec<Line> {
    let policies = distinct(summaries.iter().map(|summary| summary.policy.as_str()));
    let line = |policy: &str| {
        let same = || summaries.iter().filter(|summary| summary.policy == policy);
        let mut loads: Vec<f64> = same().map(|summary| summary.load_factor).collect();
        loads.sort_by(f64::total_cmp);
        loads.dedup();
        let mean = |load: f64| {
            let at_load = same().filter(|s| s.load_factor.total_cmp(&load).is_eq());
            let values: Vec<f64> = at_load.filter_map(|s| s.value(name)).collect();
            (
                load,
                values.iter().sum::<f64>() / usize_to_f64(values.len()),
            )
        };
        let points = loads.into_iter().map(mean).collect();
        Line {
            points,
            policy: policy.to_owned(),
        }
    };
    policies.into_iter().map(line).collect()
}

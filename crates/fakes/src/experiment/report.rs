use std::error::Error;
use std::fmt::Write;
use std::fs;
use std::path::Path;

use plotters::prelude::{
    BLACK, ChartBuilder, Color, IntoDrawingArea, IntoFont, LineSeries, Palette, Palette99,
    PathElement, SVGBackend, WHITE,
};

use crate::experiment::Summary;

const PLOT_PIXELS: (u32, u32) = (1200, 800);

/// Figures of many runs, as files.
#[derive(Debug, Default)]
pub struct Report {
    /// One a policy and run.
    pub summaries: Vec<Summary>,
}

/// One column of the printed table.
type Column = (&'static str, fn(&Summary) -> f64, usize);

const COLUMNS: [Column; 13] = [
    ("stall s", |s| s.stall_total_s, 1),
    ("p99 ms", |s| s.stall_p99_ms, 0),
    ("others", |s| s.others_stall_p99_ms, 0),
    ("preempt/1k", |s| s.preemptions_per_1000, 1),
    ("gap p95", |s| s.gap_p95_ms, 1),
    ("p99", |s| s.gap_p99_ms, 1),
    ("p99.9", |s| s.gap_p999_ms, 1),
    ("first p50", |s| s.first_p50_ms, 0),
    ("p99 ms", |s| s.first_p99_ms, 0),
    ("good tok/s", |s| s.good_tokens_per_s, 0),
    ("jain", |s| s.jain, 3),
    ("MB across", |s| s.megabytes_across_regions, 0),
    ("call p99", |s| s.call_p99_ms, 0),
];

impl Report {
    /// The most telling columns, aligned.
    #[must_use]
    pub fn table(&self) -> String {
        let mut text = format!("{:<30} {:<15}", "run", "policy");
        for (title, _, _) in COLUMNS {
            let _ = write!(text, " {title:>10}");
        }
        text.push_str(" completed   refused   gave up   lost\n");
        for summary in &self.summaries {
            let _ = write!(text, "{:<30} {:<15}", run_name(summary), summary.policy);
            for (_, value, decimals) in COLUMNS {
                let _ = write!(text, " {:>10.decimals$}", value(summary));
            }
            let Summary {
                completed,
                refused,
                gave_up,
                lost,
                ..
            } = summary;
            let _ = writeln!(text, " {completed:>9} {refused:>9} {gave_up:>9} {lost:>6}");
        }
        text
    }

    /// Writes `table.txt`, `summary.csv` and `plot.svg`.
    ///
    /// # Errors
    ///
    /// When a file cannot be written.
    pub fn write(&self, folder: &Path) -> Result<(), Box<dyn Error>> {
        fs::create_dir_all(folder)?;
        fs::write(folder.join("table.txt"), self.table())?;
        let mut csv = csv::Writer::from_path(folder.join("summary.csv"))?;
        for summary in &self.summaries {
            csv.serialize(summary)?;
        }
        csv.flush()?;
        self.plot(&folder.join("plot.svg"))
    }

    /// Draws four figures over the load, without faults and averaged over seeds.
    fn plot(&self, path: &Path) -> Result<(), Box<dyn Error>> {
        let area = SVGBackend::new(path, PLOT_PIXELS).into_drawing_area();
        area.fill(&WHITE)?;
        let panels: [Column; 4] = [
            ("total stall, s", |s| s.stall_total_s, 0),
            ("time between tokens p99, ms", |s| s.gap_p99_ms, 0),
            ("preemptions per 1,000", |s| s.preemptions_per_1000, 0),
            ("goodput, tokens/s", |s| s.good_tokens_per_s, 0),
        ];
        for (part, (title, value, _)) in area.split_evenly((2, 2)).iter().zip(panels) {
            let lines = self.lines(value);
            let points = || lines.iter().flat_map(|(_, points)| points);
            let top = points().map(|point| point.1).fold(1.0, f64::max);
            let right = points().map(|point| point.0).fold(1.0, f64::max);
            let mut chart = ChartBuilder::on(part)
                .caption(title, ("sans-serif", 18).into_font())
                .margin(10)
                .x_label_area_size(30)
                .y_label_area_size(60)
                .build_cartesian_2d(0.0..right * 1.05, 0.0..top * 1.05)?;
            chart.configure_mesh().x_desc("load over capacity").draw()?;
            for (position, (policy, points)) in lines.into_iter().enumerate() {
                let colour = Palette99::pick(position).to_rgba();
                chart
                    .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
                    .label(policy)
                    .legend(move |(x, y)| PathElement::new([(x, y), (x + 15, y)], colour));
            }
            chart.configure_series_labels().border_style(BLACK).draw()?;
        }
        area.present()?;
        Ok(())
    }

    fn lines(&self, value: fn(&Summary) -> f64) -> Vec<(String, Vec<(f64, f64)>)> {
        let calm = || {
            self.summaries
                .iter()
                .filter(|summary| summary.fault == "none")
        };
        let mut lines: Vec<(String, Vec<(f64, f64)>)> = Vec::new();
        for summary in calm() {
            if lines.iter().any(|(policy, _)| *policy == summary.policy) {
                continue;
            }
            let same = || calm().filter(|other| other.policy == summary.policy);
            let mut loads: Vec<f64> = same().map(|other| other.load_factor).collect();
            loads.sort_by(f64::total_cmp);
            loads.dedup();
            let mean = |load: f64| {
                let values = same().filter(|other| other.load_factor.total_cmp(&load).is_eq());
                let values: Vec<f64> = values.map(value).collect();
                (
                    load,
                    values.iter().sum::<f64>() / crate::experiment::metrics::wide(values.len()),
                )
            };
            lines.push((
                summary.policy.clone(),
                loads.into_iter().map(mean).collect(),
            ));
        }
        lines
    }
}

fn run_name(summary: &Summary) -> String {
    let Summary {
        fault,
        load,
        load_factor,
        seed,
        ..
    } = summary;
    format!("{load} x{load_factor} {fault} #{seed}")
}

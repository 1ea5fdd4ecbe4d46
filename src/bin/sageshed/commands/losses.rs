//! `sageshed logs losses`: why requests were refused, failed or late, by log files.

use std::{fs, path};

use plotters::prelude as plot;
use plotters::prelude::{Color, IntoDrawingArea};
use sageshed::losses;

use crate::{failure, failure::Failure, globals, table};

/// The size of the drawing, in pixels.
const SIZE: (u32, u32) = (960, 320);

/// Prints the tables, and draws losses over time if asked to.
pub(crate) fn exec(
    globals: &globals::Globals,
    files: &[String],
    svg: Option<&path::Path>,
) -> Result<(), Failure> {
    let mut report = losses::Report::default();
    for file in files {
        let text = fs::read_to_string(file)
            .map_err(|e| Failure::Refused(format!("cannot read {file}: {e}")))?;
        report
            .read(file, &text)
            .map_err(|e| Failure::Refused(format!("cannot read {file}: {e}")))?;
    }
    report.finish();
    if let Some(svg) = svg {
        draw(&report.by_second(), svg)
            .map_err(|e| Failure::Refused(format!("cannot draw {}: {e}", svg.display())))?;
    }
    if globals.json {
        return failure::print_json(&losses::Tables::of(&report));
    }
    failure::print(&text(&report))
}

fn text(report: &losses::Report) -> String {
    let lost = report.losses.len();
    let mut text = format!(
        "{lost} tries not served well, {} answered well, {} answers left out of the logs\n",
        report.answered, report.left_out
    );
    for remark in &report.remarks {
        text.push_str("note: ");
        text.push_str(remark);
        text.push('\n');
    }
    let causes = report.counts(|it| (it.outcome, it.cause));
    let causes = causes.into_iter().map(|((outcome, cause), tries)| {
        vec![outcome.to_string(), cause.to_string(), tries.to_string()]
    });
    let of = |counts: Vec<(String, u64)>| -> Vec<Vec<String>> {
        let dash = |of: String| if of.is_empty() { "-".to_owned() } else { of };
        let row = |(of, tries): (String, u64)| vec![dash(of), tries.to_string()];
        counts.into_iter().map(row).collect()
    };
    let causes: Vec<_> = causes.collect();
    let tables = [
        table::text(&["outcome", "cause", "tries"], &causes),
        table::text(
            &["route", "tries"],
            &of(report.counts(|it| it.route.clone())),
        ),
        table::text(
            &["model", "tries"],
            &of(report.counts(|it| it.model.clone())),
        ),
    ];
    for table in tables {
        text.push('\n');
        text.push_str(&table);
    }
    text
}

/// Draws the losses of each second as an area over time.
fn draw(by_second: &[u64], file: &path::Path) -> Result<(), String> {
    let most = by_second.iter().copied().max().unwrap_or(0).max(1);
    let area = plot::SVGBackend::new(file, SIZE).into_drawing_area();
    let mut chart = plot::ChartBuilder::on(&area)
        .caption("tries not served well, by second", ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(40)
        .build_cartesian_2d(0..by_second.len(), 0..most)
        .map_err(|e| e.to_string())?;
    chart.configure_mesh().draw().map_err(|e| e.to_string())?;
    let points = by_second.iter().copied().enumerate();
    let series = plot::AreaSeries::new(points, 0, plot::BLUE.mix(0.4));
    chart.draw_series(series).map_err(|e| e.to_string())?;
    area.present().map_err(|e| e.to_string())
}

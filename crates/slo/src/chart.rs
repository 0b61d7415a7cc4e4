//! The burn report as an SVG chart.

use {
    crate::{Alert, AlertRule, BurnReport, BurnRow},
    compact_str::{CompactString, ToCompactString},
    plotters::prelude::*,
    std::{error::Error, fmt},
};

const WIDTH: u32 = 760;
const TOP_MARGIN: u32 = 70;
const ROW_HEIGHT: u32 = 52;
const LABEL_WIDTH: i32 = 130;
/// Height of a bar, as a fraction of the row.
const BAR_HEIGHT: f64 = 0.18;
const WINDOWS: usize = 4;
const COLOURS: [RGBColor; WINDOWS] = [
    RGBColor(178, 24, 43),
    RGBColor(239, 138, 98),
    RGBColor(103, 169, 207),
    RGBColor(33, 102, 172),
];

/// Error when the chart could not be drawn.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChartError(CompactString);

impl fmt::Display for ChartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "cannot draw the chart: {}", self.0)
    }
}

impl Error for ChartError {}

fn chart_error(error: impl fmt::Display) -> ChartError {
    ChartError(error.to_compact_string())
}

fn burn_rates(row: &BurnRow) -> [f64; WINDOWS] {
    [row.short, row.middle, row.hour, row.long]
}

/// Draws the burn rates of the classes as SVG: four bars for each class, one per window, and lines
/// at the rates of the alert rules.
pub fn draw_chart(report: &BurnReport) -> Result<String, ChartError> {
    let mut text = String::new();
    let rows = report.classes.len().max(1);
    let height = TOP_MARGIN + ROW_HEIGHT * u32::try_from(rows).unwrap_or(u32::MAX / ROW_HEIGHT / 2);
    let highest = report
        .classes
        .iter()
        .flat_map(burn_rates)
        .fold(0.0, f64::max);
    let right = (highest * 1.05).max(AlertRule::ALL[0].rate * 1.1);
    {
        let area = SVGBackend::with_string(&mut text, (WIDTH, height)).into_drawing_area();
        area.fill(&WHITE).map_err(chart_error)?;
        let mut chart = ChartBuilder::on(&area)
            .caption("Burn rate of error budgets by class", ("sans-serif", 16))
            .margin(10)
            .x_label_area_size(24)
            .y_label_area_size(LABEL_WIDTH)
            .build_cartesian_2d(0.0..right, 0.0..rows as f64)
            .map_err(chart_error)?;
        chart
            .configure_mesh()
            .disable_y_mesh()
            .y_labels(0)
            .x_labels(8)
            .light_line_style(WHITE)
            .draw()
            .map_err(chart_error)?;
        for rule in AlertRule::ALL {
            let line = [(rule.rate, 0.0), (rule.rate, rows as f64)];
            let line = PathElement::new(line, BLACK.mix(0.5));
            chart.draw_series([line]).map_err(chart_error)?;
        }
        for (index, row) in report.classes.iter().enumerate() {
            let top = (rows - index) as f64;
            let bars = burn_rates(row).into_iter().zip(COLOURS).enumerate();
            let bars = bars.map(|(i, (rate, colour))| {
                let upper = top - 0.1 - i as f64 * BAR_HEIGHT * 1.1;
                Rectangle::new([(0.0, upper), (rate, upper - BAR_HEIGHT)], colour.filled())
            });
            chart.draw_series(bars).map_err(chart_error)?;
            let (_, y) = chart.backend_coord(&(0.0, top));
            draw_label(&area, row, y)?;
        }
        draw_legend(&area, report, height)?;
        area.present().map_err(chart_error)?;
    }
    Ok(text)
}

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

/// Draws the name, the attainment and the alert of a class to the left of its bars.
fn draw_label(area: &Area<'_>, row: &BurnRow, y: i32) -> Result<(), ChartError> {
    let colour = match row.alert {
        Alert::None => BLACK,
        Alert::Ticket | Alert::Page => COLOURS[0],
    };
    let style = ("sans-serif", 13).into_font().color(&colour);
    area.draw_text(row.class.as_str(), &style, (10, y + 8))
        .map_err(chart_error)?;
    let detail = format!("{:.2}%  {}", row.attainment * 100.0, row.alert);
    let small = ("sans-serif", 11).into_font().color(&colour);
    area.draw_text(&detail, &small, (10, y + 26))
        .map_err(chart_error)
}

/// Draws the lengths of the four windows.
fn draw_legend(area: &Area<'_>, report: &BurnReport, height: u32) -> Result<(), ChartError> {
    let y = i32::try_from(height).unwrap_or(0) - 14;
    for (i, (units, colour)) in [5.0, 30.0, 60.0, 360.0]
        .into_iter()
        .zip(COLOURS)
        .enumerate()
    {
        let x = i32::try_from(i).unwrap_or(0) * 30 + 6;
        let minutes = report.unit * units / 60.0;
        let style = ("sans-serif", 10).into_font().color(&colour);
        area.draw_text(&format!("{minutes:.0}m"), &style, (x, y))
            .map_err(chart_error)?;
    }
    Ok(())
}

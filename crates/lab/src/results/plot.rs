//! Plots target attainment by class and arm as an SVG image.

use {
    super::PairReport,
    eyre::{Result, eyre},
    plotters::{
        coord::Shift,
        prelude::{
            BLACK, ChartBuilder, Color, DrawingArea, IntoDrawingArea, Palette, Palette99,
            Rectangle, SVGBackend, WHITE,
        },
    },
    std::path::Path,
};

const PANEL_WIDTH: u32 = 860;
const PANEL_HEIGHT: u32 = 260;
/// Total width of the bars of one class, in widths of a class.
const GROUP_WIDTH: f64 = 0.8;

/// Space for the legend beside the bars, in widths of a class.
const LEGEND_WIDTH: f64 = 0.5;

/// Writes an SVG image with one panel per experiment to `path`.
pub fn plot_attainment(reports: &[PairReport], path: &Path) -> Result<()> {
    let height = PANEL_HEIGHT * reports.len().max(1) as u32;
    let root = SVGBackend::new(path, (PANEL_WIDTH, height)).into_drawing_area();
    let plot_error = |e| eyre!("cannot write plot {}: {e}", path.display());
    root.fill(&WHITE).map_err(|e| plot_error(e.to_string()))?;
    for (panel, report) in root
        .split_evenly((reports.len().max(1), 1))
        .iter()
        .zip(reports)
    {
        draw_panel(panel, report).map_err(|e| plot_error(e.to_string()))?;
    }
    root.present().map_err(|e| plot_error(e.to_string()))
}

fn draw_panel(panel: &DrawingArea<SVGBackend<'_>, Shift>, report: &PairReport) -> Result<()> {
    let classes: Vec<String> = report
        .arms
        .first()
        .map(|a| a.classes.keys().map(ToString::to_string).collect())
        .unwrap_or_default();
    let title = format!(
        "{} {}: share of requests within target, %",
        report.site, report.experiment
    );
    let mut chart = ChartBuilder::on(panel)
        .caption(title, ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(40)
        .build_cartesian_2d(-0.5..classes.len() as f64 + LEGEND_WIDTH, 0.0..100.0)
        .map_err(|e| eyre!("{e}"))?;
    let label = |x: &f64| {
        let near = (x - x.round()).abs() < 0.01 && *x > -0.01;
        let class = classes.get(x.round() as usize);
        class.filter(|_| near).cloned().unwrap_or_default()
    };
    chart
        .configure_mesh()
        .disable_x_mesh()
        .max_light_lines(0)
        .x_labels(2 * classes.len() + 1)
        .x_label_formatter(&label)
        .draw()
        .map_err(|e| eyre!("{e}"))?;
    let width = GROUP_WIDTH / report.arms.len().max(1) as f64;
    for (index, arm) in report.arms.iter().enumerate() {
        let colour = Palette99::pick(index).filled();
        let bars = arm.classes.values().enumerate().map(|(at, c)| {
            let left = at as f64 - GROUP_WIDTH / 2.0 + index as f64 * width;
            let top = 100.0 * c.attainment();
            Rectangle::new([(left, 0.0), (left + width, top)], colour)
        });
        let series = chart.draw_series(bars).map_err(|e| eyre!("{e}"))?;
        series
            .label(arm.name.as_str())
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 10, y + 5)], colour));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()
        .map_err(|e| eyre!("{e}"))
}

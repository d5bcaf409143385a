//! Formats a report as a self-contained HTML page.

use std::fmt::Write as _;

use merlinfold_simulation::report::{Report, Span};
use plotters::prelude::*;

/// Width and height of a plot in pixels.
const SIZE: (u32, u32) = (960, 260);
/// Maximum servers with a line of their own in the plot of attempts.
const MAX_SERVERS: usize = 40;

/// Formats the page. Fails if a plot cannot be drawn.
pub fn page(report: &Report) -> Result<String, String> {
    let span = |of: fn(&Span) -> f64| -> Vec<(f64, f64)> {
        report.points.iter().map(|point| (point.from_s, of(point))).collect()
    };
    let share = |of: fn(&Span) -> u64| -> Vec<(f64, f64)> {
        let each = report.points.iter();
        each.map(|p| (p.from_s, 100.0 * of(p) as f64 / p.asked.max(1) as f64)).collect()
    };
    let answers = [
        ("served", GREEN, share(|p| p.served)),
        ("late", RGBColor(255, 152, 0), share(|p| p.late)),
        ("refused", BLUE, share(|p| p.refused)),
        ("failed", RED, share(|p| p.failed)),
        ("none", BLACK, share(|p| p.unanswered)),
    ];
    let latency = [
        ("p50", GREEN, span(|p| p.latency_ms[0])),
        ("p90", BLUE, span(|p| p.latency_ms[1])),
        ("p99", RED, span(|p| p.latency_ms[2])),
    ];
    let load: Vec<Line> = report
        .load
        .iter()
        .take(MAX_SERVERS)
        .enumerate()
        .map(|(n, attempts)| {
            let hue = HSLColor(n as f64 / report.load.len().max(1) as f64, 0.7, 0.45).to_rgba();
            let points = report.points.iter().zip(attempts).map(|(p, &n)| (p.from_s, n as f64));
            ("", RGBColor(hue.0, hue.1, hue.2), points.collect())
        })
        .collect();
    let mut body = String::new();
    for (title, unit, lines) in [
        ("What became of requests", "% of those asked", &answers[..]),
        ("Latency of what was answered", "ms", &latency[..]),
        ("Attempts that reached each server", "attempts", &load[..]),
    ] {
        let svg = plot(report, unit, lines).map_err(|error| format!("plot: {error}"))?;
        let _ = write!(body, "<h2>{title}</h2>{svg}");
    }
    let breaches = if report.violations.is_empty() {
        "<p>All rules were kept.</p>".to_owned()
    } else {
        let each: Vec<String> =
            report.violations.iter().map(|b| format!("<li>{}</li>", escaped(b))).collect();
        format!("<h2>Broken rules</h2><ul class=bad>{}</ul>", each.concat())
    };
    let void = report.lab.void.as_ref().map(|why| format!("<p class=bad>Void: {}</p>", escaped(why)));
    let classes: Vec<String> =
        report.classes.iter().map(|(name, worth)| format!("{}: {worth:.3}", escaped(name))).collect();
    let usage: Vec<String> = report
        .usage
        .iter()
        .map(|u| {
            format!("{:.1} MB, {} descriptors, {:.2} s of processor", u.memory_mb, u.descriptors, u.cpu_s)
        })
        .collect();
    Ok(format!(
        "<!doctype html><meta charset=utf-8><title>{name}, seed {seed}</title><style>body{{font:15px \
         system-ui,sans-serif;max-width:980px;margin:2em auto;padding:0 1em}}pre{{background:#f4f4f4;\
         padding:.8em;overflow:auto}}.bad{{color:#a00}}svg{{max-width:100%;height:auto}}</style>\
         <h1>{name}</h1><p>{question}</p><p>Seed {seed}; nodes: <code>{nodes}</code>; worth served \
         <b>{worth:.3}</b> ({classes}).</p>{void}{breaches}{body}<h2>Windows of 5 s</h2><pre>{table}</pre>\
         <h2>Nodes</h2><pre>{usage}</pre><p>The lab's own lateness: {l0:.2} ms at the median, {l1:.2} ms at the \
         99th percentile, {l2:.2} ms at most.</p>\n",
        name = escaped(&report.experiment),
        seed = report.seed,
        question = escaped(&report.question),
        nodes = escaped(&report.nodes),
        worth = report.whole.worth_served,
        classes = classes.join(", "),
        void = void.unwrap_or_default(),
        table = escaped(&report.table()),
        usage = escaped(&usage.join("\n")),
        l0 = report.lab.lateness_ms[0],
        l1 = report.lab.lateness_ms[1],
        l2 = report.lab.lateness_ms[2],
    ))
}

/// Escapes text for HTML.
fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

/// Name, colour and points of a line.
type Line<'a> = (&'a str, RGBColor, Vec<(f64, f64)>);

/// Draws lines and the report's marks as SVG.
fn plot(report: &Report, unit: &str, lines: &[Line]) -> Result<String, Box<dyn std::error::Error>> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        let end = report.points.last().map_or(1.0, |point| point.from_s).max(1.0);
        let top = lines.iter().flat_map(|(.., points)| points).map(|&(_, y)| y).fold(1.0, f64::max) * 1.05;
        let mut chart = ChartBuilder::on(&area);
        let chart = chart.margin(8).x_label_area_size(28).y_label_area_size(52);
        let mut chart = chart.build_cartesian_2d(0.0..end, 0.0..top)?;
        chart.configure_mesh().light_line_style(TRANSPARENT).x_desc("s").y_desc(unit).draw()?;
        for (n, (at, what)) in report.marks.iter().enumerate() {
            let style = RGBColor(189, 189, 189).stroke_width(1);
            chart.draw_series(LineSeries::new([(*at, 0.0), (*at, top)], style))?;
            let height = top * (0.97 - 0.08 * (n % 4) as f64);
            let label = Text::new(what.clone(), (*at, height), ("sans-serif", 11).into_font());
            chart.draw_series(std::iter::once(label))?;
        }
        for (name, colour, points) in lines {
            let drawn = chart.draw_series(LineSeries::new(points.iter().copied(), colour.stroke_width(2)))?;
            if !name.is_empty() {
                let colour = *colour;
                drawn
                    .label(*name)
                    .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
            }
        }
        if lines.iter().any(|(name, ..)| !name.is_empty()) {
            chart
                .configure_series_labels()
                .position(SeriesLabelPosition::MiddleLeft)
                .background_style(WHITE.mix(0.8))
                .border_style(BLACK)
                .draw()?;
        }
        area.present()?;
    }
    Ok(svg)
}

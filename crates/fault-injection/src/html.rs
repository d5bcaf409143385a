//! Renders a report as an HTML page: a bar for each fault, a row for the view of each node, and the share of served
//! requests below.

use std::fmt::Write;

use crate::report::Report;

const WIDTH: f64 = 1_100.0;
const ROW: f64 = 14.0;
const LEFT: f64 = 150.0;
const MAX_NODE_ROWS: usize = 100; // rows beyond this are left out

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// Returns the page, which refers to no other files.
pub fn page(report: &Report) -> String {
    let scenario = &report.scenario;
    let x = |at: f64| LEFT + (WIDTH - LEFT) * (at / scenario.seconds).clamp(0.0, 1.0);
    let nodes = scenario.fleet.nodes.min(MAX_NODE_ROWS);
    let height = ROW * (scenario.faults.len() + nodes + 8) as f64;
    let mut svg =
        format!("<svg width=\"{WIDTH}\" height=\"{height}\" font-family=\"sans-serif\" font-size=\"10\">\n");
    let mut y = ROW;
    let mut add_line = |line: String| {
        let _ = writeln!(svg, "{line}");
    };
    for fault in &scenario.faults {
        let (from, to) =
            (x(fault.at), x(fault.duration.map_or(scenario.seconds, |duration| fault.at + duration)));
        let what = serde_json::to_string(&fault.kind).unwrap_or_default();
        add_line(format!(
            "<rect x=\"{from:.1}\" y=\"{y:.1}\" width=\"{:.1}\" height=\"{:.1}\" fill=\"#e8a0a0\"><title>{}</title></rect>\
             <text x=\"2\" y=\"{:.1}\">{}</text>",
            (to - from).max(2.0),
            ROW - 3.0,
            escape(&what),
            y + ROW - 5.0,
            escape(&what.chars().take(26).collect::<String>())
        ));
        y += ROW;
    }
    y += ROW;
    for node in 0..nodes {
        add_line(format!(
            "<text x=\"2\" y=\"{:.1}\">n{node} ({})</text>",
            y + ROW - 5.0,
            escape(&scenario.machine(node))
        ));
        for (sample, next) in report.samples.iter().zip(report.samples.iter().skip(1)) {
            let Some(alive) = sample.alive.get(node).copied().flatten() else { continue };
            let share = alive as f64 / scenario.fleet.nodes as f64;
            let (red, green) = ((200.0 * (1.0 - share)) as u8 + 40, (160.0 * share) as u8 + 60);
            add_line(format!(
                "<rect x=\"{:.1}\" y=\"{y:.1}\" width=\"{:.1}\" height=\"{:.1}\" fill=\"rgb({red},{green},90)\"><title>sees {alive} at {} s</title></rect>",
                x(sample.at),
                x(next.at) - x(sample.at) + 0.5,
                ROW - 3.0,
                sample.at
            ));
        }
        y += ROW;
    }
    y += ROW;
    for sample in &report.samples {
        let Some(served) = sample.served else { continue };
        add_line(format!(
            "<rect x=\"{:.1}\" y=\"{:.1}\" width=\"3\" height=\"{:.1}\" fill=\"#4060c0\"><title>served {served:.3} at {} s</title></rect>",
            x(sample.at),
            y + 4.0 * ROW * (1.0 - served),
            4.0 * ROW * served,
            sample.at
        ));
    }
    add_line(format!("<text x=\"2\" y=\"{:.1}\">served</text>", y + 2.0 * ROW));
    svg.push_str("</svg>");
    format!(
        "<!doctype html><meta charset=\"utf-8\"><title>{0}</title><h1>{0}</h1><pre>{1}</pre>\n{svg}\n",
        escape(&report.name),
        escape(&report.text())
    )
}

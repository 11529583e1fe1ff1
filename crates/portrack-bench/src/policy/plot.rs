//! Draws the results as an SVG bar chart.

use super::result::Outcome;

/// Width of the chart.
const WIDTH: f64 = 760.0;
/// Height of one bar with its gap.
const BAR_HEIGHT: f64 = 22.0;
/// Horizontal start of the bars.
const LEFT: f64 = 210.0;

/// Bars of total load stall and mean batch size, grouped by load shape.
pub fn svg(all: &[(&str, Outcome)]) -> String {
    let mut body = String::new();
    let mut y = 10.0;
    for (title, value, unit) in [
        ("total load stall", (|o| o.stall_total as f64 / 1_000.0) as fn(&Outcome) -> f64, "s"),
        ("batch depth", Outcome::mean_batch_size, "requests a step"),
    ] {
        let mut shape = "";
        for (name, outcome) in all {
            if shape != *name {
                shape = name;
                y += BAR_HEIGHT;
                body.push_str(&text(10.0, y, &format!("{title}, {name} ({unit})"), true));
                y += BAR_HEIGHT / 2.0;
            }
            let group = all.iter().filter(|(n, _)| n == name);
            let most = group.map(|(_, o)| value(o)).fold(f64::MIN_POSITIVE, f64::max);
            let length = value(outcome) / most * (WIDTH - LEFT - 90.0);
            let fill = if outcome.policy == "portrack" { "#2a6f97" } else { "#a9b4bd" };
            body.push_str(&format!(
                "<rect x=\"{LEFT}\" y=\"{y:.1}\" width=\"{length:.1}\" height=\"14\" fill=\"{fill}\"/>\n"
            ));
            body.push_str(&text(10.0, y + 11.0, outcome.policy, false));
            let end = LEFT + length + 6.0;
            body.push_str(&text(end, y + 11.0, &format!("{:.2}", value(outcome)), false));
            y += BAR_HEIGHT;
        }
    }
    let height = y + 10.0;
    format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{WIDTH}\" height=\"{height}\" \
         font-family=\"sans-serif\" font-size=\"12\">\n\
         <rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n{body}</svg>\n"
    )
}

fn text(x: f64, y: f64, content: &str, bold: bool) -> String {
    let weight = if bold { "bold" } else { "normal" };
    format!("<text x=\"{x:.1}\" y=\"{y:.1}\" font-weight=\"{weight}\">{content}</text>\n")
}

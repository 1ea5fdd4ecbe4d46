//! Tables for people.

/// Columns, each as wide as its widest cell, with two spaces between.
pub(crate) fn text(titles: &[&str], rows: &[Vec<String>]) -> String {
    let width = |column: usize, title: &str| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        cells
            .map(|cell| cell.chars().count())
            .fold(title.chars().count(), usize::max)
    };
    let widths: Vec<usize> = titles
        .iter()
        .enumerate()
        .map(|(column, title)| width(column, title))
        .collect();
    let titles: Vec<String> = titles.iter().map(|title| (*title).to_owned()).collect();
    let mut text = line(&titles, &widths);
    for row in rows {
        text.push_str(&line(row, &widths));
    }
    text
}

fn line(cells: &[String], widths: &[usize]) -> String {
    let padded: Vec<String> = cells
        .iter()
        .zip(widths)
        .map(|(cell, width)| format!("{cell:width$}"))
        .collect();
    format!("{}\n", padded.join("  ").trim_end())
}

/// `yes` or `no`.
pub(crate) fn yes(value: bool) -> String {
    if value { "yes" } else { "no" }.to_owned()
}

/// The text, or a dash where there is none.
pub(crate) fn or_dash(value: Option<&str>) -> String {
    value.unwrap_or("-").to_owned()
}

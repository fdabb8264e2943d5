//! `guavacove explain --log`: the timeline of a request, from the logs of any processes.

use crate::commands::CommandError;
use serde_json::Value;
use std::{
    fmt::Write,
    fs, io,
    path::{Path, PathBuf},
};

/// Prints the log lines of a request in chronological order.
///
/// # Errors
/// Fails if a file cannot be read, or if no line belongs to the request.
pub fn run(logs: &[PathBuf], request: &str) -> Result<(), CommandError> {
    let mut timeline = Vec::new();
    for log in logs {
        timeline.extend(request_lines(&read_log(log)?, request));
    }
    timeline.sort();
    if timeline.is_empty() {
        let message = format!("no log line belongs to the request {request}");
        return Err(CommandError::Failed(message));
    }
    print!("{}", timeline.concat());
    Ok(())
}

fn read_log(log: &Path) -> Result<String, CommandError> {
    let text = match log == Path::new("-") {
        true => io::read_to_string(io::stdin()),
        false => fs::read_to_string(log),
    };
    text.map_err(|error| CommandError::Invalid(format!("{}: {error}", log.display())))
}

/// Formats the lines of a request, each starting with its timestamp. Text before the JSON
/// object of a line, such as a log collector's prefix, is ignored.
pub fn request_lines(log: &str, request: &str) -> Vec<String> {
    let lines = log.lines().filter(|line| line.contains(request));
    let records = lines.filter_map(|line| {
        let json = &line[line.find('{')?..];
        serde_json::from_str::<Value>(json).ok()
    });
    records
        .filter(|record| record["fields"]["request"] == request)
        .map(|record| format_line(&record))
        .collect()
}

fn format_line(record: &Value) -> String {
    let text = |value: &Value| match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    let mut line = format!("{}  ", text(&record["timestamp"]));
    let fields = record["fields"].as_object();
    line.push_str(&text(&record["fields"]["message"]));
    for (name, value) in fields.into_iter().flatten() {
        if !matches!(name.as_str(), "message" | "request") {
            write!(line, "  {name}={}", text(value)).expect("writing to a string cannot fail");
        }
    }
    line.push('\n');
    line
}

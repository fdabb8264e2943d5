//! `guavacove explain --log`: one request's course, from the log lines of any processes.

use crate::commands::CommandError;
use serde_json::Value;
use std::{
    fmt::Write,
    fs, io,
    path::{Path, PathBuf},
};

/// Prints what the logs say of a request, in order of time.
///
/// # Errors
/// Fails if a file cannot be read, or none of them names the request.
pub fn run(logs: &[PathBuf], request: &str) -> Result<(), CommandError> {
    let mut course = Vec::new();
    for log in logs {
        course.extend(lines_of(&read(log)?, request));
    }
    course.sort();
    if course.is_empty() {
        let message = format!("no log line that was read names the request {request}");
        return Err(CommandError::Failed(message));
    }
    print!("{}", course.concat());
    Ok(())
}

fn read(log: &Path) -> Result<String, CommandError> {
    let read = match log == Path::new("-") {
        true => io::read_to_string(io::stdin()),
        false => fs::read_to_string(log),
    };
    read.map_err(|error| CommandError::Invalid(format!("{}: {error}", log.display())))
}

/// The lines about a request, each with its time first. What stands before a line's JSON, as
/// a collector may put there, is left out.
pub fn lines_of(log: &str, request: &str) -> Vec<String> {
    let lines = log.lines().filter(|line| line.contains(request));
    let records = lines.filter_map(|line| {
        let json = &line[line.find('{')?..];
        serde_json::from_str::<Value>(json).ok()
    });
    records
        .filter(|record| record["fields"]["request"] == request)
        .map(|record| line(&record))
        .collect()
}

fn line(record: &Value) -> String {
    let text = |value: &Value| match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    let mut line = format!("{}  ", text(&record["timestamp"]));
    let fields = record["fields"].as_object();
    line.push_str(&text(&record["fields"]["message"]));
    for (name, value) in fields.into_iter().flatten() {
        if !matches!(name.as_str(), "message" | "request") {
            write!(line, "  {name}={}", text(value)).expect("a string takes every text");
        }
    }
    line.push('\n');
    line
}

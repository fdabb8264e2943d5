//! Formats documents as YAML and compares them line by line.

use crate::{derives::record, document::SCHEMA};
use serde_norway::Value as Yaml;
use similar::{ChangeTag, TextDiff};
use std::sync::LazyLock;

/// The schema of documents; the order of its properties is that of the formatted document.
static ORDERED_SCHEMA: LazyLock<Yaml> =
    LazyLock::new(|| serde_norway::from_str(SCHEMA).expect("the schema is JSON, thus YAML"));

record! {
    /// One line of a diff.
    pub struct DiffLine {
        /// Whether the line is unchanged, added or removed.
        pub change: LineChange,
        /// The text of the line, without its line ending.
        pub text: String,
    }

    /// Which of the two documents contain a line.
    #[derive(Copy)]
    #[serde(rename_all = "kebab-case")]
    pub enum LineChange {
        /// Both documents.
        Same,
        /// Only the new document.
        Added,
        /// Only the old document.
        Removed,
    }
}

/// Formats a document as YAML, with its properties in the order of the schema.
pub fn to_yaml(document: &serde_json::Value) -> String {
    let document = serde_norway::to_value(document).unwrap_or_default();
    serde_norway::to_string(&order_properties(&ORDERED_SCHEMA, document)).unwrap_or_default()
}

/// Orders the properties of all objects as in the schema; unknown ones come last.
fn order_properties(schema: &Yaml, value: Yaml) -> Yaml {
    let schema = resolve(schema);
    match value {
        Yaml::Mapping(mut remaining) => {
            let properties = schema.get("properties").and_then(Yaml::as_mapping);
            let mut ordered = serde_norway::Mapping::new();
            for (name, property) in properties.into_iter().flatten() {
                if let Some(value) = remaining.remove(name) {
                    ordered.insert(name.clone(), order_properties(property, value));
                }
            }
            ordered.extend(remaining);
            Yaml::Mapping(ordered)
        }
        Yaml::Sequence(items) => {
            let schema = schema.get("items").unwrap_or(&Yaml::Null);
            let ordered = items.into_iter().map(|item| order_properties(schema, item));
            Yaml::Sequence(ordered.collect())
        }
        other => other,
    }
}

/// Follows a `$ref` to the schema's definitions.
fn resolve(schema: &Yaml) -> &Yaml {
    let reference = schema.get("$ref").and_then(Yaml::as_str);
    let name = reference.and_then(|reference| reference.rsplit('/').next());
    let definitions = ORDERED_SCHEMA.get("definitions");
    let target = name.and_then(|name| definitions?.get(name));
    target.unwrap_or(schema)
}

/// Compares two texts line by line.
pub fn diff_lines(before: &str, after: &str) -> Vec<DiffLine> {
    let diff = TextDiff::from_lines(before, after);
    let lines = diff.iter_all_changes().map(|line| DiffLine {
        change: match line.tag() {
            ChangeTag::Equal => LineChange::Same,
            ChangeTag::Insert => LineChange::Added,
            ChangeTag::Delete => LineChange::Removed,
        },
        text: line.value().trim_end_matches('\n').to_string(),
    });
    lines.collect()
}

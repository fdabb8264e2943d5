//! A document as the forms send it: laid out as YAML, and held against another one.

use crate::{derives::record, document::SCHEMA};
use serde_norway::Value as Yaml;
use similar::{ChangeTag, TextDiff};
use std::sync::LazyLock;

/// The schema, with its properties in the order in which documents are laid out.
static LAYOUT: LazyLock<Yaml> =
    LazyLock::new(|| serde_norway::from_str(SCHEMA).expect("the schema is JSON, thus YAML"));

record! {
    /// One line of a comparison.
    pub struct DiffLine {
        /// Whether it is in both documents.
        pub change: LineChange,
        /// The line, without its end.
        pub text: String,
    }

    /// How a line differs.
    #[derive(Copy)]
    #[serde(rename_all = "kebab-case")]
    pub enum LineChange {
        /// In both documents.
        Same,
        /// In the new document only.
        Added,
        /// In the old document only.
        Removed,
    }
}

/// Lays a document out as YAML, in the order of the schema.
pub fn lay_out(document: &serde_json::Value) -> String {
    let document = serde_norway::to_value(document).unwrap_or_default();
    serde_norway::to_string(&arrange(&LAYOUT, document)).unwrap_or_default()
}

/// Puts the members of objects in the order of the schema; unknown ones come last.
fn arrange(schema: &Yaml, value: Yaml) -> Yaml {
    let schema = resolve(schema);
    match value {
        Yaml::Mapping(mut members) => {
            let properties = schema.get("properties").and_then(Yaml::as_mapping);
            let mut arranged = serde_norway::Mapping::new();
            for (name, property) in properties.into_iter().flatten() {
                if let Some(member) = members.remove(name) {
                    arranged.insert(name.clone(), arrange(property, member));
                }
            }
            arranged.extend(members);
            Yaml::Mapping(arranged)
        }
        Yaml::Sequence(items) => {
            let schema = schema.get("items").unwrap_or(&Yaml::Null);
            let arranged = items.into_iter().map(|item| arrange(schema, item));
            Yaml::Sequence(arranged.collect())
        }
        other => other,
    }
}

fn resolve(schema: &Yaml) -> &Yaml {
    let reference = schema.get("$ref").and_then(Yaml::as_str);
    let name = reference.and_then(|reference| reference.rsplit('/').next());
    let definitions = LAYOUT.get("definitions");
    let target = name.and_then(|name| definitions?.get(name));
    target.unwrap_or(schema)
}

/// Compares two documents line by line.
pub fn compare(before: &str, after: &str) -> Vec<DiffLine> {
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

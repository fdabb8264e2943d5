//! Redoes an edit on top of a document that came first.

use serde_json::{Map, Value};
use std::collections::BTreeSet;

/// An edit on top of another document.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Rebased {
    /// The other document with the edit.
    pub document: Value,
    /// Paths that both changed differently; the edit's value was taken.
    pub conflicts: Vec<String>,
}

/// Redoes the edit that leads from `base` to `mine` on top of `theirs`. Members of
/// lists are told apart by their names, and those without a name by their value.
pub fn rebase(base: &Value, mine: &Value, theirs: &Value) -> Rebased {
    let mut conflicts = Vec::new();
    let merged = merge("", Some(base), Some(mine), Some(theirs), &mut conflicts);
    Rebased {
        document: merged.unwrap_or(Value::Null),
        conflicts,
    }
}

fn merge(
    path: &str,
    base: Option<&Value>,
    mine: Option<&Value>,
    theirs: Option<&Value>,
    conflicts: &mut Vec<String>,
) -> Option<Value> {
    match (base, mine, theirs) {
        _ if mine == base => theirs.cloned(),
        _ if theirs == base || mine == theirs => mine.cloned(),
        (base, Some(Value::Object(mine)), Some(Value::Object(theirs))) => {
            let empty = Map::new();
            let base = base.and_then(Value::as_object).unwrap_or(&empty);
            Some(Value::Object(merge_objects(
                path, base, mine, theirs, conflicts,
            )))
        }
        (base, Some(Value::Array(mine)), Some(Value::Array(theirs))) => {
            let base = base
                .and_then(Value::as_array)
                .map_or(&[][..], Vec::as_slice);
            Some(Value::Array(merge_lists(
                path, base, mine, theirs, conflicts,
            )))
        }
        _ => {
            conflicts.push(if path.is_empty() { "/" } else { path }.to_string());
            mine.cloned()
        }
    }
}

fn merge_objects(
    path: &str,
    base: &Map<String, Value>,
    mine: &Map<String, Value>,
    theirs: &Map<String, Value>,
    conflicts: &mut Vec<String>,
) -> Map<String, Value> {
    let keys: BTreeSet<&String> = mine.keys().chain(theirs.keys()).collect();
    let mut merged = Map::new();
    for key in keys {
        let path = format!("{path}/{key}");
        let value = merge(
            &path,
            base.get(key),
            mine.get(key),
            theirs.get(key),
            conflicts,
        );
        if let Some(value) = value {
            merged.insert(key.clone(), value);
        }
    }
    merged
}

/// Their order, then what only the edit added, where it added it.
fn merge_lists(
    path: &str,
    base: &[Value],
    mine: &[Value],
    theirs: &[Value],
    conflicts: &mut Vec<String>,
) -> Vec<Value> {
    let mut merged = Vec::new();
    for item in theirs {
        let name = name_of(item);
        let path = format!("{path}/{name}");
        merged.extend(merge(
            &path,
            named(base, &name),
            named(mine, &name),
            Some(item),
            conflicts,
        ));
    }
    for (position, item) in mine.iter().enumerate() {
        let name = name_of(item);
        if named(theirs, &name).is_some() {
            continue;
        }
        let path = format!("{path}/{name}");
        let value = merge(&path, named(base, &name), Some(item), None, conflicts);
        let at = position.min(merged.len());
        if let Some(value) = value {
            merged.insert(at, value);
        }
    }
    merged
}

/// What tells a member of a list from the others.
fn name_of(item: &Value) -> String {
    match item.get("name").and_then(Value::as_str) {
        Some(name) => name.to_string(),
        None => item.to_string(),
    }
}

fn named<'a>(list: &'a [Value], name: &str) -> Option<&'a Value> {
    list.iter().find(|item| name_of(item) == name)
}

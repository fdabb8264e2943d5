//! Three-way merge of documents, to rebase an edit that lost a race onto the winning document.

use serde_json::{Map, Value};
use std::collections::BTreeSet;

/// The result of a rebase.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Rebased {
    /// The other document with the edit applied.
    pub document: Value,
    /// Paths that both sides changed differently; `document` has the edit's value.
    pub conflicts: Vec<String>,
}

/// Applies the changes between `base` and `mine` to `theirs`. List items are identified by
/// their name, or by their value if they have none.
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

/// Merges two lists in the order of `theirs`; items that are only in `mine` are inserted at
/// their position there.
fn merge_lists(
    path: &str,
    base: &[Value],
    mine: &[Value],
    theirs: &[Value],
    conflicts: &mut Vec<String>,
) -> Vec<Value> {
    let mut merged = Vec::new();
    for item in theirs {
        let id = item_id(item);
        let path = format!("{path}/{id}");
        merged.extend(merge(
            &path,
            find_item(base, &id),
            find_item(mine, &id),
            Some(item),
            conflicts,
        ));
    }
    for (position, item) in mine.iter().enumerate() {
        let id = item_id(item);
        if find_item(theirs, &id).is_some() {
            continue;
        }
        let path = format!("{path}/{id}");
        let value = merge(&path, find_item(base, &id), Some(item), None, conflicts);
        let at = position.min(merged.len());
        if let Some(value) = value {
            merged.insert(at, value);
        }
    }
    merged
}

/// The identity of a list item: its name, or its value if it has none.
fn item_id(item: &Value) -> String {
    match item.get("name").and_then(Value::as_str) {
        Some(name) => name.to_string(),
        None => item.to_string(),
    }
}

fn find_item<'a>(list: &'a [Value], id: &str) -> Option<&'a Value> {
    list.iter().find(|item| item_id(item) == id)
}

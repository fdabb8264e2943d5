//! The log file: torn tails are cut, damage before the end is refused.

use guavacove::consensus::*;
use std::{fs, path::Path};

fn entry(index: u64) -> Entry {
    let payload = Payload::Command(format!("command {index}").into_bytes().into());
    Entry {
        index: LogIndex(index),
        term: Term(1),
        payload,
    }
}

/// Writes one frame for each entry; returns where each ends in the file.
fn write(folder: &Path, count: u64) -> Vec<usize> {
    let (mut storage, durable) = Storage::open(folder, 1).unwrap();
    let hard = HardState {
        term: Term(1),
        voted_for: Some(durable.id),
    };
    let mut ends = Vec::new();
    for index in 1..=count {
        let entries = vec![entry(index)];
        let persist = Persist {
            entries,
            hard: Some(hard.clone()),
            ..Persist::default()
        };
        storage.save(persist, &Log::default(), &hard).unwrap();
        ends.push(fs::read(folder.join("log-0")).unwrap().len());
    }
    ends
}

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => { $(#[test] fn $name() { $body(); })* };
}

fn whole() {
    let folder = tempfile::tempdir().unwrap();
    write(folder.path(), 5);
    let (_, durable) = Storage::open(folder.path(), 1).unwrap();
    assert_eq!(durable.log.entries, (1..=5).map(entry).collect::<Vec<_>>());
    assert_eq!(durable.hard.term, Term(1));
    assert_eq!(durable.cut_bytes, 0);
}

fn torn_anywhere() {
    let folder = tempfile::tempdir().unwrap();
    let ends = write(folder.path(), 3);
    let path = folder.path().join("log-0");
    let bytes = fs::read(&path).unwrap();
    for length in ends[1]..bytes.len() {
        fs::write(&path, &bytes[..length]).unwrap();
        let (_, durable) = Storage::open(folder.path(), 1).unwrap();
        assert_eq!(durable.log.entries, (1..=2).map(entry).collect::<Vec<_>>());
        assert_eq!(durable.cut_bytes, length - ends[1]);
    }
}

fn damaged_before_the_end() {
    let folder = tempfile::tempdir().unwrap();
    let ends = write(folder.path(), 3);
    let path = folder.path().join("log-0");
    let bytes = fs::read(&path).unwrap();
    for offset in 0..ends[1] {
        let mut damaged = bytes.clone();
        damaged[offset] ^= 0x40;
        fs::write(&path, &damaged).unwrap();
        let error = Storage::open(folder.path(), 1)
            .err()
            .expect("damage is refused");
        assert!(matches!(error, StorageError::Damaged { .. }), "{error}");
    }
}

fn missing() {
    let folder = tempfile::tempdir().unwrap();
    write(folder.path(), 3);
    fs::remove_file(folder.path().join("log-0")).unwrap();
    let error = Storage::open(folder.path(), 1)
        .err()
        .expect("a missing log is refused");
    assert!(matches!(error, StorageError::Missing(_)), "{error}");
}

fn locked() {
    let folder = tempfile::tempdir().unwrap();
    let _open = Storage::open(folder.path(), 1).unwrap();
    let error = Storage::open(folder.path(), 1)
        .err()
        .expect("a second process is refused");
    assert!(matches!(error, StorageError::Locked(_)), "{error}");
}

cases! {
    a_whole_log_is_read_back => whole;
    a_torn_tail_is_cut => torn_anywhere;
    damage_before_the_end_is_refused => damaged_before_the_end;
    a_missing_log_is_refused => missing;
    a_folder_in_use_is_refused => locked;
}

#[test]
fn a_note_is_read_back_after_a_restart_and_a_damaged_one_is_left_out() {
    let folder = tempfile::tempdir().unwrap();
    let (storage, _) = Storage::open(folder.path(), 1).unwrap();
    assert_eq!(storage.read_note::<Vec<u32>>("known"), None);
    storage.note_writer("known", &vec![1u32, 2, 3])().unwrap();
    drop(storage);
    let (storage, _) = Storage::open(folder.path(), 1).unwrap();
    assert_eq!(storage.read_note::<Vec<u32>>("known"), Some(vec![1, 2, 3]));
    std::fs::write(folder.path().join("known"), b"torn").unwrap();
    assert_eq!(storage.read_note::<Vec<u32>>("known"), None);
}

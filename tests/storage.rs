//! Recovery of the log file: a torn tail is truncated, corruption before it is rejected.

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

/// Writes one record for each entry and returns the end offset of each in the file.
fn write_entries(folder: &Path, count: u64) -> Vec<usize> {
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

fn reads_back_the_log() {
    let folder = tempfile::tempdir().unwrap();
    write_entries(folder.path(), 5);
    let (_, durable) = Storage::open(folder.path(), 1).unwrap();
    assert_eq!(durable.log.entries, (1..=5).map(entry).collect::<Vec<_>>());
    assert_eq!(durable.hard.term, Term(1));
    assert_eq!(durable.cut_bytes, 0);
}

fn truncates_a_tail_torn_at_any_byte() {
    let folder = tempfile::tempdir().unwrap();
    let ends = write_entries(folder.path(), 3);
    let path = folder.path().join("log-0");
    let bytes = fs::read(&path).unwrap();
    for length in ends[1]..bytes.len() {
        fs::write(&path, &bytes[..length]).unwrap();
        let (_, durable) = Storage::open(folder.path(), 1).unwrap();
        assert_eq!(durable.log.entries, (1..=2).map(entry).collect::<Vec<_>>());
        assert_eq!(durable.cut_bytes, length - ends[1]);
    }
}

fn rejects_corruption_at_any_byte() {
    let folder = tempfile::tempdir().unwrap();
    let ends = write_entries(folder.path(), 3);
    let path = folder.path().join("log-0");
    let bytes = fs::read(&path).unwrap();
    for offset in 0..ends[1] {
        let mut corrupted = bytes.clone();
        corrupted[offset] ^= 0x40;
        fs::write(&path, &corrupted).unwrap();
        let error = Storage::open(folder.path(), 1)
            .err()
            .expect("corruption is rejected");
        assert!(matches!(error, StorageError::Corrupted { .. }), "{error}");
    }
}

fn rejects_a_missing_log() {
    let folder = tempfile::tempdir().unwrap();
    write_entries(folder.path(), 3);
    fs::remove_file(folder.path().join("log-0")).unwrap();
    let error = Storage::open(folder.path(), 1)
        .err()
        .expect("a missing log is rejected");
    assert!(matches!(error, StorageError::Missing(_)), "{error}");
}

fn rejects_a_locked_folder() {
    let folder = tempfile::tempdir().unwrap();
    let _open = Storage::open(folder.path(), 1).unwrap();
    let error = Storage::open(folder.path(), 1)
        .err()
        .expect("a second process is rejected");
    assert!(matches!(error, StorageError::Locked(_)), "{error}");
}

cases! {
    a_log_is_read_back => reads_back_the_log;
    a_torn_tail_is_truncated => truncates_a_tail_torn_at_any_byte;
    corruption_before_the_end_is_rejected => rejects_corruption_at_any_byte;
    a_missing_log_is_rejected => rejects_a_missing_log;
    a_folder_in_use_is_rejected => rejects_a_locked_folder;
}

#[test]
fn a_sidecar_file_is_read_back_after_a_restart_and_ignored_if_corrupted() {
    let folder = tempfile::tempdir().unwrap();
    let (storage, _) = Storage::open(folder.path(), 1).unwrap();
    assert_eq!(storage.read_sidecar::<Vec<u32>>("known"), None);
    storage.sidecar_writer("known", &vec![1u32, 2, 3])().unwrap();
    drop(storage);
    let (storage, _) = Storage::open(folder.path(), 1).unwrap();
    assert_eq!(
        storage.read_sidecar::<Vec<u32>>("known"),
        Some(vec![1, 2, 3])
    );
    std::fs::write(folder.path().join("known"), b"torn").unwrap();
    assert_eq!(storage.read_sidecar::<Vec<u32>>("known"), None);
}

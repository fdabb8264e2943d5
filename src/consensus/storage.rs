//! Durable storage of a replica: a snapshot and a checksummed log in the data folder.
//!
//! The log is a sequence of records. A record consists of the length of its payload,
//! the payload's CRC-32 and the CRC-32 of those eight bytes, all little-endian,
//! followed by the payload. Each sync writes exactly one record, so a torn tail is a
//! single record that was never acknowledged.

use super::{Entry, HardState, Log, LogIndex, Persist, ReplicaId, Snapshot};
use crate::derives::record;
use std::{
    fs::{self, File, OpenOptions},
    io::{self, Write},
    path::{Path, PathBuf},
};

const RECORD_HEADER_BYTES: usize = 12;
const IDENTITY_FILE: &str = "identity";
const LOCK_FILE: &str = "lock";

/// Error while opening the data folder.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
pub enum StorageError {
    /// An operation on the data folder failed.
    #[display("cannot use the data folder: {_0}")]
    Io(io::Error),
    /// A synced record is corrupted.
    #[display(
    "{}: corrupted at byte {offset}, with valid records after it. This replica does not start, \
     as synced records may be lost. Move its data folder away and restart it: it then joins as a \
     new replica and copies the log from the others.",
    path.display()
  )]
    #[from(ignore)]
    Corrupted {
        /// The corrupted file.
        path: PathBuf,
        /// Byte offset of the corrupted record.
        offset: usize,
    },
    /// Another process holds the lock of the folder.
    #[display("{}: the data folder is in use by another process", _0.display())]
    #[error(ignore)]
    #[from(ignore)]
    Locked(PathBuf),
    /// A synced file is missing.
    #[display(
    "{}: the file is missing. This replica does not start, as synced records may be lost. Move \
     its data folder away and restart it: it then joins as a new replica.",
    _0.display()
  )]
    #[error(ignore)]
    #[from(ignore)]
    Missing(PathBuf),
    /// A record with a valid checksum cannot be decoded.
    #[display("{}: cannot decode a record: {error}", path.display())]
    #[from(ignore)]
    InvalidRecord {
        /// File that holds the record.
        path: PathBuf,
        /// Error of the decoder.
        error: postcard::Error,
    },
}

record! {
    /// Payload of one record of the log file.
    struct LogRecord {
        truncate_after: Option<LogIndex>,
        entries: Vec<Entry>,
        hard: Option<HardState>,
    }

    /// State that a replica recovers from its disk at startup.
    pub struct RecoveredState {
        /// Id of the replica.
        pub id: ReplicaId,
        /// Last synced term and vote.
        pub hard: HardState,
        /// Last synced log.
        pub log: Log,
        /// Size of a torn, never acknowledged record that was truncated.
        pub cut_bytes: usize,
    }
}

/// Open files of one replica.
pub struct Storage {
    folder: PathBuf,
    log_path: PathBuf,
    /// `None` if the replica has no disk.
    log_file: Option<File>,
    log_bytes: u64,
    _lock: Option<File>,
}

impl Storage {
    /// Creates a replica without a disk. It loses its state when it stops and comes back as a
    /// new replica.
    pub fn in_memory(number: u8) -> (Self, RecoveredState) {
        let id = ReplicaId {
            number,
            disk: crate::units::Incarnation::random().0,
        };
        let storage = Self {
            folder: PathBuf::new(),
            log_path: PathBuf::new(),
            log_file: None,
            log_bytes: 0,
            _lock: None,
        };
        let recovered = RecoveredState {
            id,
            hard: HardState::default(),
            log: Log::default(),
            cut_bytes: 0,
        };
        (storage, recovered)
    }

    /// Opens a replica's files, or creates them with a new replica id.
    ///
    /// # Errors
    /// Fails if the folder is in use, cannot be written, lacks the log file, or holds
    /// a corrupted record before the last one.
    pub fn open(folder: &Path, number: u8) -> Result<(Self, RecoveredState), StorageError> {
        fs::create_dir_all(folder)?;
        let lock = File::create(folder.join(LOCK_FILE))?;
        lock.try_lock()
            .map_err(|_| StorageError::Locked(folder.into()))?;
        let id = read_or_create_identity(folder, number)?;
        let snapshot = read_snapshot(folder)?;
        let log_path = log_path(folder, snapshot.index);
        let mut recovered = RecoveredState {
            id,
            hard: HardState::default(),
            log: Log::default(),
            cut_bytes: 0,
        };
        recovered.log.snapshot = snapshot;
        let bytes = match fs::read(&log_path) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => {
                return Err(StorageError::Missing(log_path));
            }
            other => other?,
        };
        let end = replay_log(&log_path, &bytes, &mut recovered)?;
        let log_file = OpenOptions::new().append(true).open(&log_path)?;
        if end < bytes.len() {
            recovered.cut_bytes = bytes.len() - end;
            log_file.set_len(end as u64)?;
        }
        log_file.sync_all()?;
        sync_directory(folder)?;
        Ok((
            Self {
                folder: folder.into(),
                log_path,
                log_file: Some(log_file),
                log_bytes: end as u64,
                _lock: Some(lock),
            },
            recovered,
        ))
    }

    /// Writes and syncs the state that a step persists. `log` and `hard_state` are the
    /// replica's state after that step.
    ///
    /// # Errors
    /// Fails on an I/O error. The next call must then be a retry with the same arguments.
    pub fn save(&mut self, persist: Persist, log: &Log, hard_state: &HardState) -> io::Result<()> {
        if persist.is_empty() || self.log_file.is_none() {
            return Ok(());
        }
        if let Some(snapshot) = persist.snapshot {
            return self.save_snapshot(&snapshot, log, hard_state);
        }
        let Persist {
            truncate_after,
            entries,
            hard,
            ..
        } = persist;
        let bytes = encode_record(&LogRecord {
            truncate_after,
            entries,
            hard,
        })?;
        if let Some(log_file) = &mut self.log_file {
            // Removes what a failed write may have left behind.
            if log_file.metadata()?.len() != self.log_bytes {
                log_file.set_len(self.log_bytes)?;
            }
            log_file.write_all(&bytes)?;
            log_file.sync_data()?;
        }
        self.log_bytes += bytes.len() as u64;
        Ok(())
    }

    /// Writes a sidecar file next to the log and atomically replaces its old content.
    ///
    /// # Errors
    /// Fails on an I/O error; the old content is then kept.
    pub fn write_sidecar<T: serde::Serialize>(&self, name: &str, content: &T) -> io::Result<()> {
        match self.log_file {
            Some(_) => replace_file(&self.folder, name, &encode_record(content)?),
            None => Ok(()),
        }
    }

    /// Returns a closure that writes a sidecar file. It can run on another thread, as the
    /// disk may stall.
    pub fn sidecar_writer<T: serde::Serialize>(
        &self,
        name: &str,
        content: &T,
    ) -> impl FnOnce() -> io::Result<()> + Send + 'static {
        let folder = self.log_file.is_some().then(|| self.folder.clone());
        let (name, bytes) = (name.to_string(), encode_record(content));
        move || match folder {
            Some(folder) => replace_file(&folder, &name, &bytes?),
            None => Ok(()),
        }
    }

    /// Reads a sidecar file; `None` if it does not exist or cannot be read.
    pub fn read_sidecar<T: serde::de::DeserializeOwned>(&self, name: &str) -> Option<T> {
        self.log_file.as_ref()?;
        let path = self.folder.join(name);
        let bytes = fs::read(&path).ok()?;
        let content =
            parse_record(&bytes, 0).and_then(|(payload, _)| decode_payload(&path, payload).ok());
        if content.is_none() {
            tracing::warn!(path = %path.display(), "control: sidecar file cannot be read, ignoring it");
        }
        content
    }

    /// Writes a new log file, then the snapshot whose index makes it the current one.
    fn save_snapshot(
        &mut self,
        snapshot: &Snapshot,
        log: &Log,
        hard_state: &HardState,
    ) -> io::Result<()> {
        let path = log_path(&self.folder, snapshot.index);
        let mut file = File::create(&path)?;
        let entries = log.entries.clone();
        let record = LogRecord {
            truncate_after: None,
            entries,
            hard: Some(hard_state.clone()),
        };
        let bytes = encode_record(&record)?;
        file.write_all(&bytes)?;
        file.sync_all()?;
        sync_directory(&self.folder)?;
        replace_file(&self.folder, "snapshot", &encode_record(snapshot)?)?;
        let old_path = std::mem::replace(&mut self.log_path, path);
        if old_path != self.log_path {
            let _ = fs::remove_file(old_path);
        }
        self.log_file = Some(OpenOptions::new().append(true).open(&self.log_path)?);
        self.log_bytes = bytes.len() as u64;
        Ok(())
    }
}

fn log_path(folder: &Path, index: LogIndex) -> PathBuf {
    folder.join(format!("log-{index}"))
}

fn sync_directory(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}

/// Replaces a file atomically and syncs it and its directory.
fn replace_file(folder: &Path, name: &str, bytes: &[u8]) -> io::Result<()> {
    let temporary = folder.join(format!("{name}.tmp"));
    let mut file = File::create(&temporary)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    fs::rename(temporary, folder.join(name))?;
    sync_directory(folder)
}

fn read_or_create_identity(folder: &Path, number: u8) -> Result<ReplicaId, StorageError> {
    let path = folder.join(IDENTITY_FILE);
    match fs::read(&path) {
        Ok(bytes) => match parse_record(&bytes, 0) {
            Some((payload, _)) => decode_payload(&path, payload),
            None => Err(StorageError::Corrupted { path, offset: 0 }),
        },
        Err(error) if error.kind() == io::ErrorKind::NotFound => {
            File::create(log_path(folder, LogIndex(0)))?.sync_all()?;
            let id = ReplicaId {
                number,
                disk: crate::units::Incarnation::random().0,
            };
            replace_file(folder, IDENTITY_FILE, &encode_record(&id)?)?;
            Ok(id)
        }
        Err(error) => Err(error.into()),
    }
}

fn read_snapshot(folder: &Path) -> Result<Snapshot, StorageError> {
    let path = folder.join("snapshot");
    match fs::read(&path) {
        Ok(bytes) => match parse_record(&bytes, 0) {
            Some((payload, _)) => decode_payload(&path, payload),
            None => Err(StorageError::Corrupted { path, offset: 0 }),
        },
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(Snapshot::default()),
        Err(error) => Err(error.into()),
    }
}

/// Applies the records of a log file and returns the offset at which the last valid
/// record ends.
fn replay_log(
    path: &Path,
    bytes: &[u8],
    recovered: &mut RecoveredState,
) -> Result<usize, StorageError> {
    let mut offset = 0;
    while let Some((payload, end)) = parse_record(bytes, offset) {
        let record: LogRecord = decode_payload(path, payload)?;
        if let Some(index) = record.truncate_after {
            recovered.log.truncate_after(index);
        }
        recovered.log.entries.extend(record.entries);
        recovered.hard = record.hard.unwrap_or(std::mem::take(&mut recovered.hard));
        offset = end;
    }
    let valid_after = (offset + 1..bytes.len()).any(|at| parse_record(bytes, at).is_some());
    if valid_after {
        return Err(StorageError::Corrupted {
            path: path.into(),
            offset,
        });
    }
    Ok(offset)
}

/// Encodes a value as one record.
fn encode_record<T: serde::Serialize>(value: &T) -> io::Result<Vec<u8>> {
    let payload = postcard::to_stdvec(value).map_err(io::Error::other)?;
    let mut bytes = Vec::with_capacity(RECORD_HEADER_BYTES + payload.len());
    bytes.extend((payload.len() as u32).to_le_bytes());
    bytes.extend(crc32fast::hash(&payload).to_le_bytes());
    bytes.extend(crc32fast::hash(&bytes[..8]).to_le_bytes());
    bytes.extend(payload);
    Ok(bytes)
}

/// Payload and end offset of the record at `offset`; `None` if it is torn or corrupted.
fn parse_record(bytes: &[u8], offset: usize) -> Option<(&[u8], usize)> {
    let header = bytes.get(offset..offset + RECORD_HEADER_BYTES)?;
    let word = |at: usize| header[at..at + 4].try_into().map(u32::from_le_bytes).ok();
    let (length, payload_crc, header_crc) = (word(0)?, word(4)?, word(8)?);
    if crc32fast::hash(&header[..8]) != header_crc {
        return None;
    }
    let start = offset + RECORD_HEADER_BYTES;
    let end = start + length as usize;
    let payload = bytes.get(start..end)?;
    (crc32fast::hash(payload) == payload_crc).then_some((payload, end))
}

fn decode_payload<T: serde::de::DeserializeOwned>(
    path: &Path,
    payload: &[u8],
) -> Result<T, StorageError> {
    postcard::from_bytes(payload).map_err(|error| StorageError::InvalidRecord {
        path: path.into(),
        error,
    })
}

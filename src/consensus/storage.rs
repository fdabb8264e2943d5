//! The replica's file: a snapshot and a checksummed log under the data folder.
//!
//! The log is a sequence of frames. A frame is the length of its payload, the
//! payload's CRC-32 and the CRC-32 of those eight bytes, all little endian,
//! then the payload. One sync writes one frame, so that a torn tail is one
//! frame that was never acknowledged.

use super::{Entry, HardState, Log, LogIndex, Persist, ReplicaId, Snapshot};
use crate::derives::record;
use std::{
    fs::{self, File, OpenOptions},
    io::{self, Write},
    path::{Path, PathBuf},
};

const HEADER_BYTES: usize = 12;
const IDENTITY_FILE: &str = "identity";
const LOCK_FILE: &str = "lock";

/// Why the data folder cannot be used.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
pub enum StorageError {
    /// The operating system refused.
    #[display("the data folder cannot be used: {_0}")]
    Io(io::Error),
    /// A frame that was synced is damaged.
    #[display(
    "{}: damaged at byte {offset}, with valid records after it. This replica does not start, so \
     that it forgets nothing. Move its data folder away and start it again: it joins as a new \
     replica and copies the log from the others.",
    path.display()
  )]
    #[from(ignore)]
    Damaged {
        /// The damaged file.
        path: PathBuf,
        /// Where the damaged frame starts.
        offset: usize,
    },
    /// Another process uses the folder.
    #[display("{}: another process uses this data folder", _0.display())]
    #[error(ignore)]
    #[from(ignore)]
    Locked(PathBuf),
    /// A file that was synced is gone.
    #[display(
    "{}: this file is missing. This replica does not start, so that it forgets nothing. Move its \
     data folder away and start it again: it joins as a new replica.",
    _0.display()
  )]
    #[error(ignore)]
    #[from(ignore)]
    Missing(PathBuf),
    /// A record cannot be decoded.
    #[display("{}: a record cannot be read: {error}", path.display())]
    #[from(ignore)]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the codec says.
        error: postcard::Error,
    },
}

record! {
    /// What one sync adds to the log file.
    struct Batch {
        truncate_after: Option<LogIndex>,
        entries: Vec<Entry>,
        hard: Option<HardState>,
    }

    /// What a replica finds on its disk when it starts.
    pub struct Durable {
        /// This disk's replica.
        pub id: ReplicaId,
        /// The last synced term and vote.
        pub hard: HardState,
        /// The last synced log.
        pub log: Log,
        /// The bytes of a torn, never acknowledged frame that were cut.
        pub cut_bytes: usize,
    }
}

/// The open files of one replica.
pub struct Storage {
    folder: PathBuf,
    log_path: PathBuf,
    /// `None` where there is no disk.
    log_file: Option<File>,
    log_bytes: u64,
    _lock: Option<File>,
}

impl Storage {
    /// A replica without a disk: it forgets everything when it stops, and is a new one then.
    pub fn in_memory(number: u8) -> (Self, Durable) {
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
        let durable = Durable {
            id,
            hard: HardState::default(),
            log: Log::default(),
            cut_bytes: 0,
        };
        (storage, durable)
    }

    /// Opens or creates a replica's files. A new folder gets a new replica id.
    ///
    /// # Errors
    /// Fails if the folder is in use, cannot be written, or holds a damaged frame
    /// before its last one.
    pub fn open(folder: &Path, number: u8) -> Result<(Self, Durable), StorageError> {
        fs::create_dir_all(folder)?;
        let lock = File::create(folder.join(LOCK_FILE))?;
        lock.try_lock()
            .map_err(|_| StorageError::Locked(folder.into()))?;
        let id = open_identity(folder, number)?;
        let snapshot = read_snapshot(folder)?;
        let log_path = log_path(folder, snapshot.index);
        let mut durable = Durable {
            id,
            hard: HardState::default(),
            log: Log::default(),
            cut_bytes: 0,
        };
        durable.log.snapshot = snapshot;
        let bytes = match fs::read(&log_path) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => {
                return Err(StorageError::Missing(log_path));
            }
            other => other?,
        };
        let end = replay(&log_path, &bytes, &mut durable)?;
        let log_file = OpenOptions::new().append(true).open(&log_path)?;
        if end < bytes.len() {
            durable.cut_bytes = bytes.len() - end;
            log_file.set_len(end as u64)?;
        }
        log_file.sync_all()?;
        sync_folder(folder)?;
        Ok((
            Self {
                folder: folder.into(),
                log_path,
                log_file: Some(log_file),
                log_bytes: end as u64,
                _lock: Some(lock),
            },
            durable,
        ))
    }

    /// Writes and syncs what a step asks for. `log` and `hard` are the replica's
    /// after that step.
    ///
    /// # Errors
    /// Fails if the disk does. The same may be saved again then, but nothing else.
    pub fn save(&mut self, persist: Persist, log: &Log, hard: &HardState) -> io::Result<()> {
        if persist.is_empty() || self.log_file.is_none() {
            return Ok(());
        }
        if let Some(snapshot) = persist.snapshot {
            return self.start_file(&snapshot, log, hard);
        }
        let Persist {
            truncate_after,
            entries,
            hard,
            ..
        } = persist;
        let bytes = frame(&Batch {
            truncate_after,
            entries,
            hard,
        })?;
        if let Some(log_file) = &mut self.log_file {
            // What an earlier try may have left behind.
            if log_file.metadata()?.len() != self.log_bytes {
                log_file.set_len(self.log_bytes)?;
            }
            log_file.write_all(&bytes)?;
            log_file.sync_data()?;
        }
        self.log_bytes += bytes.len() as u64;
        Ok(())
    }

    /// Keeps a small note beside the log, replaced as a whole.
    ///
    /// # Errors
    /// Fails if the disk does; the old note is kept then.
    pub fn write_note<T: serde::Serialize>(&self, name: &str, note: &T) -> io::Result<()> {
        match self.log_file {
            Some(_) => write_synced(&self.folder, name, &frame(note)?),
            None => Ok(()),
        }
    }

    /// A write of a note, to be made on another thread as the disk may stall.
    pub fn note_writer<T: serde::Serialize>(
        &self,
        name: &str,
        note: &T,
    ) -> impl FnOnce() -> io::Result<()> + Send + 'static {
        let folder = self.log_file.is_some().then(|| self.folder.clone());
        let (name, bytes) = (name.to_string(), frame(note));
        move || match folder {
            Some(folder) => write_synced(&folder, &name, &bytes?),
            None => Ok(()),
        }
    }

    /// Reads a note; `None` if there is none or it cannot be read.
    pub fn read_note<T: serde::de::DeserializeOwned>(&self, name: &str) -> Option<T> {
        self.log_file.as_ref()?;
        let path = self.folder.join(name);
        let bytes = fs::read(&path).ok()?;
        let note = parse_frame(&bytes, 0).and_then(|(payload, _)| decode(&path, payload).ok());
        if note.is_none() {
            tracing::warn!(path = %path.display(), "control: a note cannot be read and is left out");
        }
        note
    }

    /// Writes a new log file, then the snapshot that makes it the one in use.
    fn start_file(&mut self, snapshot: &Snapshot, log: &Log, hard: &HardState) -> io::Result<()> {
        let path = log_path(&self.folder, snapshot.index);
        let mut file = File::create(&path)?;
        let entries = log.entries.clone();
        let batch = Batch {
            truncate_after: None,
            entries,
            hard: Some(hard.clone()),
        };
        let bytes = frame(&batch)?;
        file.write_all(&bytes)?;
        file.sync_all()?;
        sync_folder(&self.folder)?;
        write_synced(&self.folder, "snapshot", &frame(snapshot)?)?;
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

fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}

fn write_synced(folder: &Path, name: &str, bytes: &[u8]) -> io::Result<()> {
    let temporary = folder.join(format!("{name}.tmp"));
    let mut file = File::create(&temporary)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    fs::rename(temporary, folder.join(name))?;
    sync_folder(folder)
}

fn open_identity(folder: &Path, number: u8) -> Result<ReplicaId, StorageError> {
    let path = folder.join(IDENTITY_FILE);
    match fs::read(&path) {
        Ok(bytes) => match parse_frame(&bytes, 0) {
            Some((payload, _)) => decode(&path, payload),
            None => Err(StorageError::Damaged { path, offset: 0 }),
        },
        Err(error) if error.kind() == io::ErrorKind::NotFound => {
            File::create(log_path(folder, LogIndex(0)))?.sync_all()?;
            let id = ReplicaId {
                number,
                disk: crate::units::Incarnation::random().0,
            };
            write_synced(folder, IDENTITY_FILE, &frame(&id)?)?;
            Ok(id)
        }
        Err(error) => Err(error.into()),
    }
}

fn read_snapshot(folder: &Path) -> Result<Snapshot, StorageError> {
    let path = folder.join("snapshot");
    match fs::read(&path) {
        Ok(bytes) => match parse_frame(&bytes, 0) {
            Some((payload, _)) => decode(&path, payload),
            None => Err(StorageError::Damaged { path, offset: 0 }),
        },
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(Snapshot::default()),
        Err(error) => Err(error.into()),
    }
}

/// Applies the frames of a log file; returns where the last whole frame ends.
fn replay(path: &Path, bytes: &[u8], durable: &mut Durable) -> Result<usize, StorageError> {
    let mut offset = 0;
    while let Some((payload, end)) = parse_frame(bytes, offset) {
        let batch: Batch = decode(path, payload)?;
        if let Some(index) = batch.truncate_after {
            durable.log.truncate_after(index);
        }
        durable.log.entries.extend(batch.entries);
        durable.hard = batch.hard.unwrap_or(std::mem::take(&mut durable.hard));
        offset = end;
    }
    let valid_after = (offset + 1..bytes.len()).any(|at| parse_frame(bytes, at).is_some());
    if valid_after {
        return Err(StorageError::Damaged {
            path: path.into(),
            offset,
        });
    }
    Ok(offset)
}

/// Encodes a value as one frame.
fn frame<T: serde::Serialize>(value: &T) -> io::Result<Vec<u8>> {
    let payload = postcard::to_stdvec(value).map_err(io::Error::other)?;
    let mut bytes = Vec::with_capacity(HEADER_BYTES + payload.len());
    bytes.extend((payload.len() as u32).to_le_bytes());
    bytes.extend(crc32fast::hash(&payload).to_le_bytes());
    bytes.extend(crc32fast::hash(&bytes[..8]).to_le_bytes());
    bytes.extend(payload);
    Ok(bytes)
}

/// The payload of the frame at `offset` and where the frame ends, if it is whole.
fn parse_frame(bytes: &[u8], offset: usize) -> Option<(&[u8], usize)> {
    let header = bytes.get(offset..offset + HEADER_BYTES)?;
    let word = |at: usize| header[at..at + 4].try_into().map(u32::from_le_bytes).ok();
    let (length, payload_crc, header_crc) = (word(0)?, word(4)?, word(8)?);
    if crc32fast::hash(&header[..8]) != header_crc {
        return None;
    }
    let start = offset + HEADER_BYTES;
    let end = start + length as usize;
    let payload = bytes.get(start..end)?;
    (crc32fast::hash(payload) == payload_crc).then_some((payload, end))
}

fn decode<T: serde::de::DeserializeOwned>(path: &Path, payload: &[u8]) -> Result<T, StorageError> {
    postcard::from_bytes(payload).map_err(|error| StorageError::Unreadable {
        path: path.into(),
        error,
    })
}

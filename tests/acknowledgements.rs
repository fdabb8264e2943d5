//! When changes are acknowledged.

use guavacove::{
    control::acknowledgements::{Acknowledgements, Awaited, MAX_WAIT_MS, Progress},
    units::DocumentVersion,
};

/// The document and the directory that a process has.
type Process = (u64, Option<u64>);

const DOCUMENT: Awaited = Awaited::Document(DocumentVersion(7));
const TARGETS: Awaited = Awaited::Targets(30);
const SINCE_MS: u64 = 1000;

fn is_due(awaited: Awaited, processes: &[Process], is_complete: bool, now_ms: u64) -> bool {
    let mut acknowledgements = Acknowledgements::default();
    acknowledgements.hold(awaited, SINCE_MS, ());
    let progress = processes.iter().map(|(version, targets)| Progress {
        document_version: DocumentVersion(*version),
        targets_revision: *targets,
    });
    let due = acknowledgements.take_due(progress, is_complete, now_ms);
    assert_ne!(due.is_empty(), acknowledgements.is_empty());
    !due.is_empty()
}

macro_rules! table {
    ($($name:ident: $awaited:expr, $processes:expr, $is_complete:expr, $after_ms:expr => $is_due:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let now_ms = SINCE_MS + $after_ms;
                assert_eq!(is_due($awaited, &$processes, $is_complete, now_ms), $is_due);
            }
        )*
    };
}

table! {
    all_have_the_document: DOCUMENT, [(7, Some(1)), (8, None)], true, 0 => true;
    one_lacks_the_document: DOCUMENT, [(7, Some(1)), (6, Some(99))], true, 0 => false;
    an_entry_lacks_the_document: DOCUMENT, [(7, Some(1)), (6, None)], true, 0 => false;
    one_lacks_the_document_just_in_time: DOCUMENT, [(6, Some(1))], true, MAX_WAIT_MS - 1 => false;
    one_lacks_the_document_for_long: DOCUMENT, [(6, Some(1))], true, MAX_WAIT_MS => true;
    some_may_be_unknown: DOCUMENT, [(7, Some(1))], false, 0 => false;
    some_may_be_unknown_for_long: DOCUMENT, [(7, Some(1))], false, MAX_WAIT_MS => true;
    there_is_no_process: DOCUMENT, [], true, 0 => true;
    all_know_the_departure: TARGETS, [(1, Some(30)), (1, Some(31))], true, 0 => true;
    one_lacks_the_departure: TARGETS, [(9, Some(30)), (9, Some(29))], true, 0 => false;
    one_lacks_the_departure_for_long: TARGETS, [(9, Some(0))], true, MAX_WAIT_MS => true;
    entries_need_no_directory: TARGETS, [(1, Some(30)), (1, None)], true, 0 => true;
}

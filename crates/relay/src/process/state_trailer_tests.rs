//! State messages between releases. 496cdd7 reads them with `rmp_serde::from_slice` into structs of three to
//! six fields.

use {
    super::{AssignmentNews, EvacuationRecord, RequestTrailer, ResponseTrailer, decode, encode},
    origins::AssignmentSnapshot,
    serde::{Deserialize, Serialize},
    types::{Era, LogPosition},
};

/// A message of as many fields as the releases before read.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct Message496cdd7(u64, Option<()>, Vec<u64>, bool);

const MESSAGE: Message496cdd7 = Message496cdd7(7, None, Vec::new(), true);

fn trailer() -> ResponseTrailer {
    let at = LogPosition {
        era: Era(1),
        offset: 12,
    };
    ResponseTrailer {
        evacuations: Some(EvacuationRecord {
            at,
            zones: ["z1".parse().unwrap()].into(),
        }),
        cold: Default::default(),
        assignments: None,
    }
}

#[test]
fn earlier_releases_read_messages_with_a_trailer() {
    let bytes = encode(&MESSAGE, &trailer()).unwrap();
    let read: Message496cdd7 = rmp_serde::from_slice(&bytes).unwrap();
    assert_eq!(read, MESSAGE);
}

#[test]
fn messages_of_earlier_releases_have_no_trailer() {
    let bytes = rmp_serde::to_vec(&MESSAGE).unwrap();
    let (read, trailer) = decode::<Message496cdd7, ResponseTrailer>(&bytes).unwrap();
    assert_eq!((read, trailer), (MESSAGE, ResponseTrailer::default()));
}

#[test]
fn trailers_are_read_and_unknown_fields_skipped() {
    let bytes = encode(&MESSAGE, &trailer()).unwrap();
    let (_, read) = decode::<Message496cdd7, ResponseTrailer>(&bytes).unwrap();
    assert_eq!(read, trailer());
    // Another trailer has other fields.
    let (_, other) = decode::<Message496cdd7, Later>(&bytes).unwrap();
    assert_eq!(other, Later::default());
    let later = Later { later: 3 };
    let bytes = encode(&MESSAGE, &later).unwrap();
    let (_, read) = decode::<Message496cdd7, RequestTrailer>(&bytes).unwrap();
    assert_eq!(read, RequestTrailer::default());
}

/// Guards against VMs that wait for assignments of a reader of an earlier release.
#[test]
fn reader_of_an_earlier_release_is_told_apart() {
    let bytes = encode(&MESSAGE, &Later { later: 3 }).unwrap();
    let (_, earlier) = decode::<Message496cdd7, ResponseTrailer>(&bytes).unwrap();
    assert_eq!(earlier.assignments, None);
    let at = LogPosition {
        era: Era(1),
        offset: 4,
    };
    let services = Default::default();
    let snapshot = AssignmentSnapshot { at, services };
    for (known, expected) in [
        (None, AssignmentNews::Changed(at, Default::default())),
        (Some(at), AssignmentNews::Unchanged),
    ] {
        let sent = ResponseTrailer {
            assignments: Some(AssignmentNews::new(Some(&snapshot), known)),
            ..trailer()
        };
        let bytes = encode(&MESSAGE, &sent).unwrap();
        let (_, read) = decode::<Message496cdd7, ResponseTrailer>(&bytes).unwrap();
        assert_eq!(read.assignments, Some(expected));
    }
    let unread = AssignmentNews::new(None, None);
    assert_eq!(unread, AssignmentNews::Unread);
}

/// The trailer of a later release.
#[derive(Debug, Default, PartialEq, Serialize, Deserialize)]
struct Later {
    #[serde(default)]
    later: u32,
}

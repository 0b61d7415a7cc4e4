//! The format of the duty log between releases. Commits 7c794a2 and 839a701 wrote the recorded bytes, and
//! read an entry with `rmp_serde::from_slice::<DutyRecord>`.

use {
    coord::{DutyEntry, DutyRecord, SealedWindow, Trailer},
    types::{Epoch, Era, Incarnation, VmId},
};

/// A claim, a renewal and the seal of a window of "front-1", as 839a701 wrote them.
const CLAIM: &[u8] = b"\x81\xa5Claim\x92\xa7front-1\xcd\x01\x2c";
const RENEWAL: &[u8] = b"\x81\xa5Renew\x92\xa7front-1\xcd\x01\x2c";
const SEAL: &[u8] = b"\x81\xa4Seal\x93\xa7front-1\xcd\x01\x2c\x92\x07\x81\xa3org\x09";

const TRAILER: Trailer = Trailer {
    epoch: Epoch(5),
    serial: 2,
    era: Era(0),
    next_window: 0,
};

fn vm() -> VmId {
    "front-1".parse().unwrap()
}

fn seal() -> SealedWindow {
    SealedWindow {
        window: 7,
        counts: [("org".parse().unwrap(), 9)].into(),
    }
}

#[test]
fn records_of_earlier_releases_are_read() {
    let recorded = [
        (CLAIM, DutyRecord::Claim(vm(), Incarnation(300))),
        (RENEWAL, DutyRecord::Renew(vm(), Incarnation(300))),
        (SEAL, DutyRecord::Seal(vm(), Incarnation(300), seal())),
    ];
    for (bytes, record) in recorded {
        assert_eq!(rmp_serde::to_vec(&record).unwrap(), bytes);
        let entry = DutyEntry::decode(bytes).unwrap();
        assert_eq!((entry.record, entry.trailer), (record, None));
    }
}

#[test]
fn earlier_releases_read_the_record_of_an_entry() {
    let trailer = Some(TRAILER);
    for record in [
        DutyRecord::Claim(vm(), Incarnation(300)),
        DutyRecord::Seal(vm(), Incarnation(300), seal()),
    ] {
        let entry = DutyEntry { record, trailer };
        let bytes = entry.encode().unwrap();
        let read: DutyRecord = rmp_serde::from_slice(&bytes).unwrap();
        assert_eq!(read, entry.record);
        assert_eq!(DutyEntry::decode(&bytes).unwrap(), entry);
    }
}

#[test]
fn unknown_fields_of_a_trailer_are_skipped() {
    let bytes = [
        CLAIM,
        b"\x83\xa5later\x93\x01\x02\x03\xa5epoch\x05\xa6serial\x02",
    ]
    .concat();
    let entry = DutyEntry::decode(&bytes).unwrap();
    assert_eq!(entry.trailer, Some(TRAILER));
}

//! Splitting a byte stream into events.

use {
    h1::{Event, EventSplitter},
    quickcheck::quickcheck,
};

/// All events of a stream that arrives in pieces of these sizes.
fn split(stream: &[u8], sizes: &[u8]) -> Vec<Event> {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    let mut rest = stream;
    for size in sizes.iter().map(|s| usize::from(*s)).chain([usize::MAX]) {
        let (piece, after) = rest.split_at(size.min(rest.len()));
        events.extend(splitter.push(piece).unwrap());
        rest = after;
    }
    events
}

quickcheck! {
    /// An end of an event was missed if it arrived in two pieces.
    fn pieces_do_not_matter(stream: Vec<u8>, sizes: Vec<u8>) -> bool {
        // Mostly line ends, so that most streams have events.
        let stream: Vec<_> = stream.iter().map(|b| b"\n\r\n\ra"[usize::from(*b) % 5]).collect();
        let whole = split(&stream, &[]);
        let bytewise = split(&stream, &vec![1; stream.len()]);
        split(&stream, &sizes) == whole && bytewise == whole
    }
}

#[test]
fn events_end_with_a_blank_line() {
    let events = split(b"id: 1\n\nid: 2\r\ndata: a\r\n\r\nid: 3\n", &[]);
    let raw: Vec<_> = events.iter().map(|e| e.raw.as_slice()).collect();
    assert_eq!(raw, [&b"id: 1\n\n"[..], b"id: 2\r\ndata: a\r\n\r\n"]);
}

//! Datagrams between VMs: lost, late, repeated, and counted.

use {
    crate::origin_common::vm_addr,
    clock::Instant,
    fastrand::Rng,
    origins::{MAX_DATAGRAM_BYTES, OriginNews},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap},
        net::SocketAddr,
        time::Duration,
    },
};

const LOSS: f64 = 0.02;
const REPEATS: f64 = 0.01;
/// Bytes of the headers of a datagram.
const HEADER_BYTES: usize = 28;

/// What a VM sent or received.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Traffic {
    pub(crate) datagrams: usize,
    pub(crate) bytes: usize,
}

impl Traffic {
    fn add(&mut self, bytes: usize) {
        self.datagrams += 1;
        self.bytes += bytes + HEADER_BYTES;
    }
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Datagram {
    pub(crate) due: Instant,
    number: u64,
    pub(crate) from: usize,
    pub(crate) to: usize,
    pub(crate) bytes: Vec<u8>,
}

#[derive(Debug, Default)]
pub(crate) struct Network {
    waiting: BinaryHeap<Reverse<Datagram>>,
    number: u64,
    /// By VM, since the last reset.
    pub(crate) sent: BTreeMap<usize, Traffic>,
    pub(crate) received: BTreeMap<usize, Traffic>,
}

impl Network {
    /// Sends news; between zones it takes longer.
    pub(crate) fn send(
        &mut self,
        now: Instant,
        rng: &mut Rng,
        (from, to): (usize, usize),
        is_far: bool,
        news: &OriginNews,
    ) {
        for bytes in news.encode(MAX_DATAGRAM_BYTES).unwrap() {
            self.sent.entry(from).or_default().add(bytes.len());
            let copies = match rng.f64() {
                lost if lost < LOSS => 0,
                repeated if repeated > 1.0 - REPEATS => 2,
                _ => 1,
            };
            for _ in 0..copies {
                let delay = if is_far {
                    rng.u64(5..60)
                } else {
                    rng.u64(1..20)
                };
                self.number += 1;
                self.waiting.push(Reverse(Datagram {
                    due: now + Duration::from_millis(delay),
                    number: self.number,
                    from,
                    to,
                    bytes: bytes.clone(),
                }));
            }
        }
    }

    pub(crate) fn next(&mut self, now: Instant) -> Option<Datagram> {
        let Reverse(first) = self.waiting.peek()?;
        if first.due > now {
            return None;
        }
        self.waiting.pop().map(|Reverse(datagram)| datagram)
    }

    pub(crate) fn note_received(&mut self, datagram: &Datagram) {
        let received = self.received.entry(datagram.to).or_default();
        received.add(datagram.bytes.len());
    }

    pub(crate) fn reset_counts(&mut self) {
        self.sent.clear();
        self.received.clear();
    }

    pub(crate) fn datagrams(&self) -> usize {
        self.sent.values().map(|t| t.datagrams).sum()
    }
}

pub(crate) fn vm_of(addr: SocketAddr) -> usize {
    let SocketAddr::V4(v4) = addr else {
        panic!("{addr}");
    };
    let [.., high, low] = v4.ip().octets();
    let vm = usize::from(high) * 256 + usize::from(low);
    assert_eq!(vm_addr(vm), addr);
    vm
}

//! Encoding of news into datagrams.

mod origin_common;

use {
    origin_common::{key, record, release},
    origins::{MAX_DATAGRAM_BYTES, OriginAsk, OriginNews},
    quickcheck::{Arbitrary, Gen, QuickCheck},
};

const SEED: u64 = 7;
const CASES: u64 = 5_000;

#[derive(Debug, Clone)]
struct AnyNews(OriginNews);

impl Arbitrary for AnyNews {
    fn arbitrary(g: &mut Gen) -> Self {
        let origins: Vec<(u64, Option<u8>, u32, u8)> = Arbitrary::arbitrary(g);
        let asks: Vec<(u64, u8)> = Arbitrary::arbitrary(g);
        let service = |number: u8| format!("service-{number}").parse().unwrap();
        let origins = origins.into_iter().map(|(attempt, r, ends_ms, s)| {
            let mut record = record(attempt, r.map(|r| release(u64::from(r))), ends_ms);
            record.service = service(s);
            record
        });
        let asks = asks.into_iter().map(|(attempt, s)| OriginAsk {
            key: key(attempt),
            service: service(s),
        });
        Self(OriginNews {
            origins: origins.collect(),
            asks: asks.collect(),
            relay: bool::arbitrary(g),
        })
    }
}

fn generator() -> Gen {
    Gen::from_size_and_seed(300, SEED)
}

fn decode(bytes: &[u8]) -> OriginNews {
    OriginNews::decode(bytes).unwrap().unwrap()
}

/// News that didn't fit into a datagram was lost or cut.
#[test]
fn all_news_arrives_in_datagrams_that_fit() {
    fn holds(AnyNews(news): AnyNews) -> bool {
        let datagrams = news.encode(MAX_DATAGRAM_BYTES).unwrap();
        let parts: Vec<_> = datagrams.iter().map(|d| decode(d)).collect();
        let origins = parts.iter().flat_map(|p| p.origins.clone());
        let asks = parts.iter().flat_map(|p| p.asks.clone());
        datagrams.iter().all(|d| d.len() <= MAX_DATAGRAM_BYTES)
            && parts.iter().all(|p| p.relay == news.relay && !p.is_empty())
            && origins.collect::<Vec<_>>() == news.origins
            && asks.collect::<Vec<_>>() == news.asks
    }
    QuickCheck::new()
        .rng(generator())
        .tests(CASES)
        .quickcheck(holds as fn(AnyNews) -> bool);
}

/// A corrupt datagram ended the process.
#[test]
fn garbage_causes_no_panic() {
    type Edits = Vec<(usize, u8)>;
    fn holds(AnyNews(news): AnyNews, edits: Edits, cut: usize, raw: Vec<u8>) -> bool {
        let _ = OriginNews::decode(&raw);
        let _ = OriginNews::decode(&[&[0xc1, 0xc3], raw.as_slice()].concat());
        for mut bytes in news.encode(MAX_DATAGRAM_BYTES).unwrap() {
            for (at, byte) in edits.iter().take(4) {
                let at = at % bytes.len();
                bytes[at] = *byte;
                let _ = OriginNews::decode(&bytes);
            }
            let _ = OriginNews::decode(&bytes[..cut % bytes.len()]);
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, SEED))
        .tests(CASES)
        .quickcheck(holds as fn(AnyNews, Edits, usize, Vec<u8>) -> bool);
}

/// Datagrams of another kind were taken for news.
#[test]
fn other_datagrams_are_not_news() {
    for bytes in [&[][..], &[0xc1], &[0xc1, 0xc1, 0x90], &[0xc1, 0xc2, 0x90]] {
        assert!(OriginNews::decode(bytes).is_none());
    }
}

/// Keys were encoded as lists of numbers, at up to twice the size.
#[test]
fn forty_eight_origins_fit_into_a_datagram() {
    let records = (0..48).map(|a| record(a, Some(release(a % 2)), 60_000));
    let news = OriginNews {
        origins: records.collect(),
        ..OriginNews::default()
    };
    assert_eq!(news.encode(MAX_DATAGRAM_BYTES).unwrap().len(), 1);
}

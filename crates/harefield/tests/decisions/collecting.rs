//! Bodies are collected in memory that is accounted for, whatever their chunks.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use futures_lite::future;
use hyper::body::Body;
use hyper::body::Bytes;
use hyper::body::Frame;
use proptest::prelude::*;

use crate::support::cases;
use harefield::adapters::http::BodyError;
use harefield::adapters::http::read_counted;
use harefield::domain::buffers::Purpose;
use harefield::memory::Memory;
use harefield::memory::Meters;

/// A chunk that is counted for as long as it is in memory, as those that share a read buffer keep it.
struct Chunk {
    bytes: Vec<u8>,
    _alive: Arc<()>,
}

impl AsRef<[u8]> for Chunk {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// A body of equal chunks; it never ends without a number of them.
struct Chunks {
    size: usize,
    left: Option<usize>,
    alive: Arc<()>,
    /// The most that were in memory when another one arrived.
    most: usize,
}

impl Body for &mut Chunks {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let this = self.get_mut();
        this.most = this.most.max(Arc::strong_count(&this.alive) - 1);
        if let Some(left) = &mut this.left {
            if *left == 0 {
                return Poll::Ready(None);
            }
            *left -= 1;
        }
        let chunk = Chunk { bytes: vec![7; this.size], _alive: Arc::clone(&this.alive) };
        Poll::Ready(Some(Ok(Frame::data(Bytes::from_owner(chunk)))))
    }
}

fn chunks(size: usize, left: Option<usize>) -> Chunks {
    Chunks { size, left, alive: Arc::new(()), most: 0 }
}

fn memory(limit: usize) -> Memory {
    Memory::new(limit, Duration::from_secs(1), Meters::default())
}

fn collect(body: &mut Chunks, limit: usize, memory: &Memory) -> Result<Bytes, BodyError> {
    future::block_on(read_counted(body, limit, memory, Purpose::Replies))
}

/// Guards against chunks that are kept until their body ends, each with the buffer that it arrived in.
#[test]
fn chunks_released() {
    for size in [1, 1024] {
        let mut body = chunks(size, None);
        assert_eq!(collect(&mut body, 1 << 20, &memory(8 << 20)), Err(BodyError::TooLarge));
        assert!(body.most <= 2, "{} chunks of {size} bytes were in memory", body.most);
    }
}

#[test]
fn bounded_by_budget() {
    let memory = memory(256 << 10);
    assert_eq!(collect(&mut chunks(1024, None), 4 << 20, &memory), Err(BodyError::NoRoom));
    let whole = collect(&mut chunks(1024, Some(100)), 4 << 20, &memory).expect("what was held is free again");
    assert_eq!(whole.len(), 100 << 10);
}

proptest! {
    #![proptest_config(cases(200))]

    /// A body is returned whole, and what was accounted for it is released with it.
    #[test]
    fn whole_body(size in 1_usize..5000, count in 0_usize..60) {
        let memory = memory(4 << 20);
        let whole = collect(&mut chunks(size, Some(count)), 1 << 20, &memory).expect("it fits");
        prop_assert_eq!(whole.len(), size * count);
        prop_assert!(whole.iter().all(|byte| *byte == 7));
        drop(whole);
        prop_assert!(memory.try_reserve(Purpose::Replies, 4 << 20).is_some(), "nothing is held");
    }
}

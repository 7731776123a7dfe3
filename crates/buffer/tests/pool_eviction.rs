//! Which buffers a full pool evicts.

use base::ByteSize;
use mango_buffer::{BodyBuffer, BufferError, BufferOwner, BufferPool};

const KIB: usize = 1_024;

fn server(port: u16) -> BufferOwner {
    BufferOwner::Server(([127, 0, 0, 1], port).into())
}

fn open_filled(pool: &BufferPool, owner: BufferOwner, kib: usize) -> BodyBuffer {
    let mut buffer = pool.open(owner);
    buffer.push(&vec![b'x'; kib * KIB]).unwrap();
    buffer
}

/// Guards against one owner's buffers displacing those of others: the owner that holds most loses
/// its largest buffer, although another owner has a larger one.
#[test]
fn largest_owner() {
    let pool = BufferPool::new(ByteSize(64 * KIB as u64));
    let honest = open_filled(&pool, BufferOwner::Request(1), 16);
    let many: Vec<BodyBuffer> = (0..4).map(|_| open_filled(&pool, server(1), 10)).collect();
    let late = open_filled(&pool, BufferOwner::Request(2), 14);
    let failed = many.into_iter().map(BodyBuffer::finish).filter(Result::is_err).count();
    assert_eq!((failed, pool.usage().evictions), (1, 1));
    assert!(honest.finish().is_ok() && late.finish().is_ok());
}

/// Guards against a pool that grows beyond its limit, or that forgets what was returned to it.
#[test]
fn limit_and_return() {
    let pool = BufferPool::new(ByteSize(64 * KIB as u64));
    let mut buffers: Vec<BodyBuffer> = (0..200).map(|_| pool.open(server(2))).collect();
    for _ in 0..KIB {
        for buffer in &mut buffers {
            let _ = buffer.push(&[b'x'; 100]);
            assert!(pool.usage().used <= pool.limit());
        }
    }
    assert!(pool.usage().evictions >= 190, "{:?}", pool.usage());
    drop(buffers);
    assert_eq!(pool.usage().used, ByteSize::ZERO);
}

/// A finished body counts until its last handle is dropped, and isn't evicted.
#[test]
fn finished_body() {
    let pool = BufferPool::new(ByteSize(64 * KIB as u64));
    let body = open_filled(&pool, server(3), 40).finish().unwrap();
    let part = body.slice(..8);
    drop(body);
    let mut next = pool.open(server(4));
    assert_eq!(next.push(&vec![b'y'; 32 * KIB]), Err(BufferError::Evicted));
    assert_eq!(next.push(b"y"), Err(BufferError::Evicted));
    assert_eq!((&part[..], pool.usage().used), (&b"xxxxxxxx"[..], ByteSize(40 * KIB as u64)));
    drop((part, next));
    assert_eq!(pool.usage().used, ByteSize::ZERO);
}

//! Streamed bodies between a reader and a writer.

#![allow(missing_docs)]

use std::time::Duration;

use bramleymount::web::{Chunks, IncompleteBody};
use bytes::Bytes;
use tokio::time::timeout;

/// What may be queued of a stream, in bytes.
const MAX_QUEUED: usize = 128 * 1024;

#[tokio::test(start_paused = true)]
async fn send_waits_while_the_queue_is_full() {
    let (sender, mut chunks) = Chunks::channel();
    let chunk = Bytes::from(vec![b'x'; 50_000]);
    let mut queued = 0;
    while let Ok(sent) = timeout(Duration::from_secs(1), sender.send(Ok(chunk.clone()))).await {
        sent.expect("a receiver");
        queued += chunk.len();
        assert!(queued <= MAX_QUEUED, "{queued} bytes are queued");
    }
    chunks.next().await.expect("a chunk").expect("no error");
    let sent = timeout(Duration::from_secs(1), sender.send(Ok(chunk))).await;
    sent.expect("room").expect("a receiver");
}

#[tokio::test]
async fn send_passes_a_large_chunk_on_in_parts() {
    let (sender, mut chunks) = Chunks::channel();
    let large: Bytes = (0..500_000).map(|index| index as u8).collect();
    let expected = large.clone();
    let sending = tokio::spawn(async move {
        sender.send(Ok(large)).await.expect("a receiver");
        sender.send(Ok(Bytes::new())).await.expect("a receiver");
    });
    let mut received = Vec::new();
    while let Some(chunk) = chunks.next().await {
        let chunk = chunk.expect("a whole body");
        assert!(chunk.len() <= MAX_QUEUED, "{} bytes", chunk.len());
        received.extend_from_slice(&chunk);
    }
    sending.await.expect("the sender");
    assert!(received == expected);
}

#[tokio::test]
async fn send_fails_without_receiver() {
    let (sender, chunks) = Chunks::channel();
    let sending = tokio::spawn(async move {
        let chunk = Bytes::from(vec![b'x'; 60_000]);
        while sender.send(Ok(chunk.clone())).await.is_ok() {}
    });
    drop(chunks);
    sending.await.expect("an end");
}

#[tokio::test]
async fn next_reports_a_sender_that_left() {
    let (sender, mut chunks) = Chunks::channel();
    sender.send(Ok("part".into())).await.expect("a receiver");
    drop(sender);
    assert_eq!(chunks.next().await, Some(Ok("part".into())));
    assert_eq!(chunks.next().await, Some(Err(IncompleteBody)));
    assert_eq!(chunks.next().await, None);
}

use std::future::poll_fn;

use tokio::io::{repeat, AsyncReadExt};

use super::*;

/// Guards other tasks against a peer whose bytes never end.
#[tokio::test]
async fn a_stream_whose_bytes_never_end_gives_way_after_a_few_reads_and_is_read_on() {
    let mut stream = FairStream::new(repeat(b'x'));
    let reads_in_turn = poll_fn(|cx| {
        let mut reads = 0;
        let mut bytes = [0; 8];
        while Pin::new(&mut stream).poll_read(cx, &mut ReadBuf::new(&mut bytes)).is_ready() {
            reads += 1;
        }
        Poll::Ready(reads)
    })
    .await;
    assert_eq!(reads_in_turn, MAX_READS_IN_TURN);
    let mut bytes = vec![0; 1 << 10];
    stream.read_exact(&mut bytes).await.unwrap();
    assert!(bytes.iter().all(|&byte| byte == b'x'));
}

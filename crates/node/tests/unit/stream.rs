use super::*;
use tokio::io::{duplex, AsyncReadExt, AsyncWriteExt, DuplexStream};

const HEAD: &[u8] = b"GET /read HTTP/1.1\r\nHost: x\r\n\r\n";
const REQUESTS: u32 = 300;

fn connection() -> (DuplexStream, MonitoredStream<DuplexStream>, Arc<ConnectionTimeouts>) {
    let (peer, stream) = duplex(1 << 10);
    let timeouts = Arc::new(ConnectionTimeouts::new(None, 0));
    (peer, MonitoredStream::new(stream, timeouts.clone(), Instant::now()), timeouts)
}

/// Guards kept connections: from the eighth request on each read was followed by the pause for heads in many pieces.
#[tokio::test(start_paused = true)]
async fn requests_on_a_kept_connection_are_read_without_a_pause() {
    let (mut peer, mut stream, timeouts) = connection();
    let begun = Instant::now();
    for _ in 0..REQUESTS {
        peer.write_all(HEAD).await.unwrap();
        stream.read_exact(&mut [0; HEAD.len()]).await.unwrap();
        timeouts.request_started();
        timeouts.request_read();
        timeouts.response_ended(0);
    }
    assert_eq!(begun.elapsed(), Duration::ZERO, "time passes in pauses alone");
}

#[tokio::test(start_paused = true)]
async fn a_head_in_many_pieces_is_read_with_pauses_on_a_kept_connection_too() {
    let (mut peer, mut stream, timeouts) = connection();
    for _ in 0..2 {
        let begun = Instant::now();
        for byte in HEAD {
            peer.write_all(&[*byte]).await.unwrap();
            stream.read_exact(&mut [0]).await.unwrap();
        }
        let pauses = HEAD.len() as u32 - MAX_PROMPT_HEAD_READS;
        assert!(begun.elapsed() >= pauses * HEAD_READ_PAUSE, "{:?}", begun.elapsed());
        timeouts.request_started();
        timeouts.request_read();
        timeouts.response_ended(0);
    }
}

//! Clients that send several requests at once and close the connection, some of which send the same ids again.

use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt;
use tokio::time::{sleep, timeout};

use super::crowd::CrowdClient;
use super::exchange::{read_answer, request, ReadPace, ServerTask};
use super::steady::connect;

/// Longest time from the requests to the close.
const MAX_STAY_MS: u64 = 30;
const BODY: usize = 500;
/// Longest wait for the answer to an id that is sent again.
const PATIENCE: Duration = Duration::from_secs(2);

/// Sends `requests` at once on a connection of their own and leaves. `resets` ends the connection with a reset, and
/// `returns` sends the first id again at once on another connection.
pub async fn play(client: &CrowdClient, requests: usize, resets: bool, returns: bool) {
    let ids: Vec<u64> = (0..requests).map(|_| client.ledger.new_id()).collect();
    let text: Vec<u8> = ids.iter().flat_map(|&id| one_request(client, id)).collect();
    let mut stream = connect(client.to, &client.ledger).await;
    if stream.write_all(&text).await.is_err() {
        return;
    }
    sleep(Duration::from_millis(fastrand::u64(0..MAX_STAY_MS))).await;
    if resets {
        let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    }
    drop(stream);
    let left = Instant::now();
    let kept = usize::from(returns);
    ids.iter().skip(kept).for_each(|&id| client.ledger.left(id, left));
    if returns {
        let mut stream = connect(client.to, &client.ledger).await;
        if stream.write_all(&one_request(client, ids[0])).await.is_ok() {
            let answer = read_answer(&mut stream, PATIENCE, ReadPace::without_pause(BODY));
            let _ = timeout(PATIENCE, answer).await;
        }
    }
}

fn one_request(client: &CrowdClient, id: u64) -> Vec<u8> {
    request(id, &ServerTask { answer: 100, ..ServerTask::default() }, client.deadline, BODY)
}

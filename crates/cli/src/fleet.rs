//! `merlinfold fleet`.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use merlinfold_fleet::Snapshot;

const PATIENCE: Duration = Duration::from_secs(3); // for a console that does not answer
const ANSWER_MOST: u64 = 8 << 20; // bytes: 4,096 members fit several times over

/// Prints the members that the node with this console sees.
pub fn members(console: Option<SocketAddr>, json: bool) -> Result<(), String> {
    let at = match console {
        Some(at) => at,
        None => {
            let told = std::env::var("BALANCER_CONSOLE")
                .map_err(|_| "no console: give --console ADDRESS or set BALANCER_CONSOLE".to_owned())?;
            told.parse().map_err(|error| format!("BALANCER_CONSOLE: {told:?}: {error}"))?
        }
    };
    let text = get(at, "/fleet/members").map_err(|fault| format!("{at}: {fault}"))?;
    if json {
        print!("{text}");
        return Ok(());
    }
    let snapshot: Snapshot = serde_json::from_str(&text).map_err(|error| format!("{at}: answer: {error}"))?;
    print!("{}", snapshot.table());
    Ok(())
}

/// The body of a console's yes. Its answers state their length and close the connection.
fn get(at: SocketAddr, path: &str) -> Result<String, String> {
    let cannot = |error: std::io::Error| error.to_string();
    let mut stream = TcpStream::connect_timeout(&at, PATIENCE).map_err(cannot)?;
    stream.set_read_timeout(Some(PATIENCE)).map_err(cannot)?;
    write!(stream, "GET {path} HTTP/1.1\r\nHost: {at}\r\nConnection: close\r\n\r\n").map_err(cannot)?;
    let mut text = String::new();
    stream.take(ANSWER_MOST).read_to_string(&mut text).map_err(cannot)?;
    let (head, body) = text.split_once("\r\n\r\n").ok_or("no whole answer")?;
    let status = head.split(' ').nth(1).unwrap_or_default();
    if status != "200" {
        return Err(format!("{status}: {}", body.trim()));
    }
    Ok(body.to_owned())
}

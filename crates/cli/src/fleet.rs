//! `merlinfold fleet`.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use merlinfold_fleet::Snapshot;

/// Timeout for connecting to the console and for each read.
const TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum length of a response; 4,096 members need a fraction of it.
const MAX_RESPONSE_BYTES: u64 = 8 << 20;

/// Prints the members that the node with this console sees. Without an address, BALANCER_CONSOLE names the console.
pub fn members(console: Option<SocketAddr>, json: bool) -> Result<(), String> {
    let address = match console {
        Some(address) => address,
        None => {
            let value = std::env::var("BALANCER_CONSOLE").map_err(|_| {
                "no console address: pass --console ADDRESS or set BALANCER_CONSOLE".to_owned()
            })?;
            value.parse().map_err(|error| format!("BALANCER_CONSOLE: {value:?}: {error}"))?
        }
    };
    let text = get(address, "/fleet/members").map_err(|error| format!("{address}: {error}"))?;
    if json {
        print!("{text}");
        return Ok(());
    }
    let snapshot: Snapshot =
        serde_json::from_str(&text).map_err(|error| format!("{address}: invalid response: {error}"))?;
    print!("{}", snapshot.table());
    Ok(())
}

/// Sends a GET request and returns the body of a response with status 200; any other status is an error. The console
/// closes the connection after its response.
fn get(address: SocketAddr, path: &str) -> Result<String, String> {
    let describe = |error: std::io::Error| error.to_string();
    let mut stream = TcpStream::connect_timeout(&address, TIMEOUT).map_err(describe)?;
    stream.set_read_timeout(Some(TIMEOUT)).map_err(describe)?;
    write!(stream, "GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n")
        .map_err(describe)?;
    let mut response = String::new();
    stream.take(MAX_RESPONSE_BYTES).read_to_string(&mut response).map_err(describe)?;
    let (head, body) = response.split_once("\r\n\r\n").ok_or("incomplete response")?;
    let status = head.split(' ').nth(1).unwrap_or_default();
    if status != "200" {
        return Err(format!("{status}: {}", body.trim()));
    }
    Ok(body.to_owned())
}

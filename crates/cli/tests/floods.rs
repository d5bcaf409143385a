//! Clients that send at full speed.

mod common;

use std::io::{Read, Write};
use std::time::{Duration, Instant};

use common::*;

/// Time for which a client floods the node.
const FLOOD: Duration = Duration::from_millis(800);
/// Far more than the kernel holds for a connection, and far less than a loopback connection carries in that time.
const MAX_BYTES: usize = 128 << 20;

/// Guards the event loop against a refused client whose bytes are read as fast as they come.
#[test]
fn a_refused_client_that_sends_at_full_speed_is_read_at_a_bounded_rate() {
    let server = Server::start(|_| Reply::Write(response(200, "", "pong")));
    let node = RunningNode::in_front_of(&[("s", server.address)]);
    let mut stream = std::net::TcpStream::connect(node.address).unwrap();
    stream.set_write_timeout(Some(FLOOD)).unwrap();
    stream.write_all(b"no http\r\n\r\n").unwrap();
    let lines = b"\r\n".repeat(32 << 10);
    let begun = Instant::now();
    let mut taken = 0;
    while begun.elapsed() < FLOOD {
        match stream.write(&lines) {
            Ok(count) => taken += count,
            Err(_) => break, // the node has closed the connection, or takes nothing more for now
        }
    }
    assert!(taken < MAX_BYTES, "{taken} bytes were read from a connection that was already refused");
    assert_eq!(node.request("read").status(), 200);
}

/// Shortest time between two readiness checks on one connection.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Guards the event loop against a client that makes readiness checks one after the other without a pause.
#[test]
fn readiness_checks_without_a_pause_are_answered_at_a_bounded_rate() {
    let server = Server::start(|_| Reply::Write(response(200, "", "pong")));
    let node = RunningNode::in_front_of(&[("s", server.address)]);
    let mut stream = std::net::TcpStream::connect(node.address).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    let checks = "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n".repeat(2_000);
    stream.write_all(checks.as_bytes()).unwrap();
    let begun = Instant::now();
    let mut text = Vec::new();
    let mut buffer = [0; 4096];
    while begun.elapsed() < FLOOD / 2 {
        let count = stream.read(&mut buffer).unwrap();
        text.extend_from_slice(&buffer[..count]);
    }
    let answers = String::from_utf8(text).unwrap().matches("HTTP/1.1 200").count() as u32;
    let allowed = begun.elapsed().div_duration_f64(CHECK_INTERVAL) as u32 + 1;
    assert!((1..=allowed).contains(&answers), "{answers} checks were answered, {allowed} allowed");
}

//! A guide server that ends each exchange as planned, and counts how often each request ran.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{write_pieces, Head};
use crate::plan::{encode, Ending, Framing, LastPiece, Plan};

/// Longest wait of the test for its requests.
const REQUESTS_TIMEOUT: Duration = Duration::from_secs(10);

/// A server on a port of its own. Its threads end with their connections, or with the test.
pub struct GuideServer {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    plans: Arc<Vec<Plan>>,
    runs: Vec<AtomicU32>,
    requests: AtomicUsize,               // whose head has arrived
    unresponsive: Mutex<Vec<TcpStream>>, // kept open without being read
}

impl GuideServer {
    pub fn start(plans: Arc<Vec<Plan>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let runs = plans.iter().map(|_| AtomicU32::new(0)).collect();
        let shared =
            Arc::new(Shared { plans, runs, requests: AtomicUsize::new(0), unresponsive: Mutex::default() });
        let server = GuideServer { address, shared: shared.clone() };
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || shared.serve(stream));
            }
        });
        server
    }

    /// Returns how often a request ran.
    pub fn runs(&self, index: usize) -> u32 {
        self.shared.runs[index].load(Ordering::SeqCst)
    }

    /// Waits until the heads of so many requests have arrived.
    pub fn wait_for_requests(&self, count: usize) {
        let begun = Instant::now();
        while self.shared.requests.load(Ordering::SeqCst) < count {
            assert!(begun.elapsed() < REQUESTS_TIMEOUT, "requests are missing");
            thread::sleep(Duration::from_millis(1));
        }
    }
}

impl Shared {
    /// Serves a connection until either side ends it.
    fn serve(&self, stream: TcpStream) {
        stream.set_nodelay(true).unwrap();
        let mut from = BufReader::new(stream);
        while let Some(head) = Head::read(&mut from) {
            let index = head.first_line.split(['=', ' ']).nth(2).and_then(|text| text.parse::<usize>().ok());
            let plan = index.and_then(|index| self.plans.get(index)).expect("a planned request");
            self.requests.fetch_add(1, Ordering::SeqCst);
            if !plan.ending.is_after_request() {
                return self.end_early(from, plan);
            }
            let (body, is_whole) = head.read_body(&mut from, false);
            if !is_whole {
                return;
            }
            assert!(body == plan.body(), "another body arrived: {plan:?}");
            self.runs[plan.index].fetch_add(1, Ordering::SeqCst);
            if !end(from.get_mut(), plan) {
                return;
            }
        }
    }

    /// Ends a request of which a part was read.
    fn end_early(&self, mut from: BufReader<TcpStream>, plan: &Plan) {
        let _ = from.read_exact(&mut vec![0; plan.early_after]);
        let mut stream = from.into_inner();
        match plan.ending {
            Ending::ResetEarly => reset(&stream),
            Ending::HangEarly => self.unresponsive.lock().unwrap().push(stream),
            Ending::TurnAwayEarly => {
                let _ = stream.write_all(
                    b"HTTP/1.1 503 x\r\nX-Turned-Away: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
                );
            }
            _ => {}
        }
    }
}

/// Ends a request that has run. Returns whether the connection may carry another one.
fn end(stream: &mut TcpStream, plan: &Plan) -> bool {
    match plan.ending {
        Ending::Answer => {
            let pieces =
                encode(&plan.response(), plan.response_framing, LastPiece::Alone, plan.response_pauses);
            let written = stream
                .write_all(response_head(plan).as_bytes())
                .and_then(|()| write_pieces(stream, &pieces, plan.response_pauses, plan.pause));
            written.is_ok() && plan.response_framing != Framing::Close
        }
        Ending::CutResponse => {
            let pieces = encode(&plan.response(), plan.response_framing, LastPiece::Alone, 1);
            let _ = stream.write_all(response_head(plan).as_bytes());
            let _ = stream.write_all(&pieces[0][..pieces[0].len() / 2]);
            reset(stream); // also without a length, where an orderly end would be a proper one
            false
        }
        Ending::Error => stream.write_all(b"HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n").is_ok(),
        Ending::Hang => {
            let _ = stream.read(&mut [0]); // until the node ends the connection
            false
        }
        Ending::Reset => {
            reset(stream);
            false
        }
        _ => false,
    }
}

fn response_head(plan: &Plan) -> String {
    let framing = match plan.response_framing {
        Framing::ContentLength => format!("Content-Length: {}", plan.response_length),
        Framing::Chunked { .. } => "Transfer-Encoding: chunked".to_owned(),
        Framing::Close => "Connection: close".to_owned(),
    };
    format!("HTTP/1.1 200 x\r\n{framing}\r\n\r\n")
}

/// Has the connection reset when it is closed.
fn reset(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

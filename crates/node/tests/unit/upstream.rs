use super::*;
use crate::capacity::Capacity;
use bytes::Bytes;

/// Returns an attempt at this server with timeouts of 5 s.
fn attempt(server: Arc<Server>, clock: Clock) -> Attempt {
    let request = UpstreamRequest::new(
        Method::GET,
        Uri::from_static("/"),
        HeaderMap::new(),
        BufferedBody::small(Bytes::new()).into(),
    );
    Attempt {
        server,
        request: Arc::new(request),
        started: clock.now(),
        write_by: NEVER,
        buffer_budget: BufferBudget::new(&Capacity::new(256, 1 << 20, false)),
        response_timeout: 5_000_000_000,
        deadline: clock.now() + 5_000_000_000,
        connect_timeout: 5_000_000_000,
        clock,
        sent_attempts: AttemptCounter::default(),
    }
}

/// Guards servers against a storm of connections: a connection whose attempt gave up while it was being established,
/// because of the connect timeout or because the client left, serves the next attempt in the same slot.
#[tokio::test]
async fn a_connection_established_after_its_attempt_gave_up_serves_the_next_attempt() {
    for client_leaves in [false, true] {
        // The backlog has room for one connection, which the filler takes: a further SYN is dropped and repeated.
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        socket.bind(&any.into()).unwrap();
        socket.listen(0).unwrap();
        socket.set_nonblocking(true).unwrap();
        let listener = tokio::net::TcpListener::from_std(socket.into()).unwrap();
        let address = listener.local_addr().unwrap();
        let _filler = TcpStream::connect(address).await.unwrap();
        let (clock, slots) = (Clock::new(), Slots::new(4));
        let limits = HostLimits {
            connect_timeout: 0,
            idle_timeout: 30_000_000_000,
            max_open_requests: 1,
            drain_grace: 0,
            max_deadline: 0,
            ramp_time: 0,
        };
        let mut pool = Pool::new(slots.clone(), limits, clock);
        let attempt = attempt(Arc::new(Server::new(address)), clock);
        let attempt =
            Attempt { connect_timeout: if client_leaves { 5_000_000_000 } else { 1_000_000 }, ..attempt };
        let cancellation = attempt.request.cancellation.clone();
        let running = tokio::spawn(attempt.run(pool.acquire(ServerId(0), address).expect("a free slot")));
        if client_leaves {
            tokio::task::yield_now().await; // starts to connect
            cancellation.cancel();
        }
        let outcome = running.await.unwrap();
        assert_eq!(outcome.status, if client_leaves { Status::NotSent } else { Status::ConnectFailed });
        let (sender, mut connections) = tokio::sync::mpsc::unbounded_channel();
        pool.await_pending(
            outcome.pending_connection.expect("the attempt has a pending connection"),
            move |connection| drop(sender.send(connection)),
        );
        listener.accept().await.unwrap(); // accepts the filler, which frees the backlog
        let accepted = listener.accept();
        let connection = connections.recv().await.expect("the connection was not established");
        let (mut stream, _) = accepted.await.unwrap();
        assert_eq!(slots.in_use(), 1);
        pool.put(ServerId(0), connection);
        let source = pool.acquire(ServerId(0), address).expect("the established connection");
        assert!(matches!(source, ConnectionSource::Pooled(_)));
        drop((source, pool));
        let read = tokio::io::AsyncReadExt::read(&mut stream, &mut [0; 1]).await.unwrap();
        assert_eq!((read, slots.in_use()), (0, 0), "nothing was written, and the slot is released");
    }
}

/// Guards drains: a server whose grace period ended while its connection was being established gets no request.
#[tokio::test]
async fn nothing_is_written_to_a_server_whose_grace_period_ended_while_connecting() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let clock = Clock::new();
    let server = Arc::new(Server::new(listener.local_addr().unwrap()));
    server.set_ready(false, clock.now(), 0);
    let slot = Slots::new(1).try_acquire(1).unwrap();
    let attempt = attempt(server, clock);
    assert_eq!(attempt.run(ConnectionSource::Connect(slot)).await.status, Status::NotSent);
    let (mut stream, _) = listener.accept().await.unwrap();
    let read = tokio::io::AsyncReadExt::read(&mut stream, &mut [0; 1]).await.unwrap();
    assert_eq!(read, 0, "a request was written to the draining server");
}

#[test]
fn a_repeated_drain_notice_does_not_extend_the_grace_period_and_ready_ends_it() {
    let server = Server::new("127.0.0.1:1".parse().unwrap());
    let grace = 1_000 + 2 * server::MAX_PROCESSING_DELAY;
    server.set_ready(false, 0, grace);
    server.set_ready(false, 900, grace);
    assert!(server.accepts_sends(999) && !server.accepts_sends(1_000));
    server.set_ready(true, 900, grace);
    assert!(server.accepts_sends(NEVER - 1));
}

/// Guards drains: a node that is delayed by 0.15 s before it processes the notice, and again after its last reading of
/// the clock, still writes within the grace period.
#[test]
fn a_delayed_node_writes_nothing_after_the_grace_period() {
    const DELAY: Nanos = 150_000_000;
    for grace in [0, 100_000_000, 250_000_000, 500_000_000, 2_000_000_000] {
        for notified_at in [0, 7_000_000_000] {
            let server = Server::new("127.0.0.1:1".parse().unwrap());
            let processed = notified_at + DELAY;
            server.set_ready(false, processed, grace);
            let clock_readings = (processed..processed + grace + 1).step_by(1_000_000);
            let last_reading =
                clock_readings.filter(|&at| server.accepts_sends(at)).max().unwrap_or(notified_at);
            let written = last_reading + DELAY;
            assert!(
                written <= notified_at + grace.max(DELAY),
                "{grace} ns of grace: written after {} ns",
                written - notified_at
            );
        }
    }
}

#[test]
fn an_invalid_load_report_is_ignored_and_an_invalid_value_is_skipped() {
    let read = |text: &'static str| load_report(&HeaderValue::from_static(text));
    let report = read("TEXT inflight=7, queue=x, util=NaN,qps=-1, eps = 0.5,, =, new=1").unwrap();
    assert_eq!((report.in_flight, report.eps), (Some(7.0), Some(0.5)));
    assert_eq!((report.queue, report.utilization, report.qps), (None, None, None));
    assert!(read("BIN AAAA").is_none() && read("").is_none());
    assert!(load_report(&HeaderValue::from_bytes(b"TEXT \xff=1").unwrap()).is_none());
}

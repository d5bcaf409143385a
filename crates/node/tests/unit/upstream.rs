use super::*;
use bytes::Bytes;

/// An attempt at this server, with 5 s for everything.
fn attempt(server: Arc<Server>, clock: Clock) -> Attempt {
    let request = UpstreamRequest::new(
        Method::GET,
        Uri::from_static("/"),
        HeaderMap::new(),
        RequestBody::Buffered(BufferedBody::small(Bytes::new())),
    );
    Attempt {
        server,
        request: Arc::new(request),
        started: clock.now(),
        write_by: NEVER,
        buffer_budget: BufferBudget(Slots::new(64)),
        response_timeout: 5_000_000_000,
        deadline: clock.now() + 5_000_000_000,
        connect_timeout: 5_000_000_000,
        clock,
        sent_attempts: AttemptCounter::default(),
    }
}

/// Guards servers against a storm of connections: one that its attempt has given up while it came up, as its time to
/// connect was over or its client had left, serves the next attempt, in the slot that it has.
#[tokio::test]
async fn a_connection_that_comes_up_late_serves_the_next_attempt() {
    for leaves in [false, true] {
        // A kernel that takes one connection, and that is there already: a further SYN is dropped, and repeated.
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
        let run = attempt(Arc::new(Server::new(address)), clock);
        let run = Attempt { connect_timeout: if leaves { 5_000_000_000 } else { 1_000_000 }, ..run };
        let over = run.request.cancellation.clone();
        let running = tokio::spawn(run.run(pool.acquire(ServerId(0), address).expect("a free slot")));
        if leaves {
            tokio::task::yield_now().await; // it connects
            over.cancel();
        }
        let ended = running.await.unwrap();
        assert_eq!(ended.status, if leaves { Status::NotSent } else { Status::ConnectFailed });
        let (tell, mut told) = tokio::sync::mpsc::unbounded_channel();
        pool.await_pending(ended.pending_connection.expect("it goes on"), move |connection| {
            drop(tell.send(connection))
        });
        listener.accept().await.unwrap(); // the filler: now there is room
        let accepted = listener.accept();
        let connection = told.recv().await.expect("it came to nothing");
        let (mut stream, _) = accepted.await.unwrap();
        assert_eq!(slots.in_use(), 1);
        pool.put(ServerId(0), connection);
        let way = pool.acquire(ServerId(0), address).expect("the one that came up");
        assert!(matches!(way, ConnectionSource::Pooled(_)));
        drop((way, pool));
        let read = tokio::io::AsyncReadExt::read(&mut stream, &mut [0; 1]).await.unwrap();
        assert_eq!((read, slots.in_use()), (0, 0), "nothing was written, and the slot is free again");
    }
}

/// Guards drains: a server whose grace has passed while its connection came up gets nothing.
#[tokio::test]
async fn nothing_is_written_to_a_server_that_drains_by_then() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let clock = Clock::new();
    let server = Arc::new(Server::new(listener.local_addr().unwrap()));
    server.set_ready(false, clock.now(), 0);
    let slot = Slots::new(1).try_acquire(1).unwrap();
    let run = attempt(server, clock);
    assert_eq!(run.run(ConnectionSource::Connect(slot)).await.status, Status::NotSent);
    let (mut stream, _) = listener.accept().await.unwrap();
    let read = tokio::io::AsyncReadExt::read(&mut stream, &mut [0; 1]).await.unwrap();
    assert_eq!(read, 0, "something was written");
}

#[test]
fn a_server_that_is_told_to_drain_twice_has_one_grace_and_a_ready_one_no_end() {
    let server = Server::new("127.0.0.1:1".parse().unwrap());
    let grace = 1_000 + 2 * server::MAX_PROCESSING_DELAY;
    server.set_ready(false, 0, grace);
    server.set_ready(false, 900, grace);
    assert!(server.accepts_sends(999) && !server.accepts_sends(1_000));
    server.set_ready(true, 900, grace);
    assert!(server.accepts_sends(NEVER - 1));
}

/// Guards drains: a node that is held up for 0.15 s before it takes the notice in, and again after its last look at the
/// clock, has still written within the grace.
#[test]
fn the_grace_of_a_drain_covers_a_node_that_is_held_up() {
    const HELD_UP: Nanos = 150_000_000;
    for grace in [0, 100_000_000, 250_000_000, 500_000_000, 2_000_000_000] {
        for told in [0, 7_000_000_000] {
            let server = Server::new("127.0.0.1:1".parse().unwrap());
            let heard = told + HELD_UP;
            server.set_ready(false, heard, grace);
            let looks = (heard..heard + grace + 1).step_by(1_000_000);
            let last_look = looks.filter(|&at| server.accepts_sends(at)).max().unwrap_or(told);
            let written = last_look + HELD_UP;
            assert!(written <= told + grace.max(HELD_UP), "{grace} ns of grace: {} ns after", written - told);
        }
    }
}

#[test]
fn a_bad_load_report_is_ignored_and_a_bad_figure_left_out() {
    let read = |text: &'static str| load_report(&HeaderValue::from_static(text));
    let report = read("TEXT inflight=7, queue=x, util=NaN,qps=-1, eps = 0.5,, =, new=1").unwrap();
    assert_eq!((report.in_flight, report.eps), (Some(7.0), Some(0.5)));
    assert_eq!((report.queue, report.utilization, report.qps), (None, None, None));
    assert!(read("BIN AAAA").is_none() && read("").is_none());
    assert!(load_report(&HeaderValue::from_bytes(b"TEXT \xff=1").unwrap()).is_none());
}

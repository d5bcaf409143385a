//! Connections from nodes to the simulated servers, and the requests on them.

use super::*;

impl Servers {
    pub(super) async fn accept(self, node: usize, server: usize, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let (gate, accepted) = {
                        let mut state = self.lock();
                        (state.gates[server].subscribe(), state.fleet.open_connection(server))
                    };
                    tokio::spawn(self.clone().connection(node, server, stream, gate, accepted));
                }
                Err(error) => {
                    tracing::warn!(%error, "accepting a connection from a node failed; retrying");
                    sleep(Duration::from_millis(10)).await;
                }
            }
        }
    }

    async fn connection(
        self, node: usize, server: usize, mut stream: TcpStream, mut gate: watch::Receiver<(Gate, u64)>,
        accepted: bool,
    ) {
        let number = gate.borrow().1;
        let _ = stream.set_nodelay(true);
        let ended = self.serve(node, server, &mut stream, &mut gate, accepted).await;
        if accepted && gate.borrow().1 == number {
            self.lock().fleet.connection_closed(server); // a server that went down has already dropped its connections
        }
        if ended == CloseMode::Reset {
            let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO)); // makes the close send a reset
        }
    }

    async fn serve(
        &self, node: usize, server: usize, stream: &mut TcpStream, gate: &mut watch::Receiver<(Gate, u64)>,
        accepted: bool,
    ) -> CloseMode {
        let mut reader = Reader::default();
        let idle = self.lock().fleet.servers()[server].idle_time();
        let mut fresh = true;
        loop {
            if gate.borrow_and_update().0 == Gate::Silent {
                tokio::select! {
                    changed = gate.changed() => if changed.is_err() { return CloseMode::Reset },
                }
                continue;
            }
            if gate.borrow().0 == Gate::Closed {
                return CloseMode::Reset;
            }
            let request = tokio::select! {
                read = timeout(Duration::from_nanos(idle), reader.next(stream, Side::Server)) => match read {
                    Ok(Ok(Some(request))) => request,
                    _ => return CloseMode::Close,
                },
                changed = gate.changed() => match changed {
                    Ok(()) => continue,
                    Err(_) => return CloseMode::Reset,
                },
            };
            if !accepted {
                let _ = stream.write_all(&rejection()).await;
                return CloseMode::Close;
            }
            let Some((job, id, done)) = self.arrived(node, server, &request, std::mem::take(&mut fresh))
            else {
                let _ = stream.write_all(&answer(404, "", "")).await;
                return CloseMode::Close;
            };
            let Some(done) = self.outcome(server, job, done, stream, &mut reader, gate).await else {
                return CloseMode::Close;
            };
            let text = match done.reply {
                Reply::Served => answer(200, "Content-Type: text/plain\r\n", &body(id)),
                Reply::Error => answer(500, "", "error"),
                Reply::TurnedAway => rejection(),
                Reply::Reset => return CloseMode::Reset,
                Reply::Cut => {
                    let whole = answer(200, "", &body(id));
                    let _ = stream.write_all(&whole[..whole.len() - 5]).await;
                    return CloseMode::Close;
                }
                Reply::Malformed => {
                    let _ = stream.write_all(b"HTTP/1.1 2OO\x00 nonsense\r\n\r\n").await;
                    return CloseMode::Close;
                }
                Reply::Silence => continue, // the node gets no response and closes after its timeout
            };
            if stream.write_all(&text).await.is_err() {
                return CloseMode::Close;
            }
        }
    }

    /// Waits until an attempt is done; returns `None` if the node closed the connection first.
    async fn outcome(
        &self, server: usize, job: u64, mut done: oneshot::Receiver<Completion>, stream: &mut TcpStream,
        reader: &mut Reader, gate: &mut watch::Receiver<(Gate, u64)>,
    ) -> Option<Completion> {
        loop {
            tokio::select! {
                biased;
                // An attempt that is never answered has no sender any more: only the node or the gate can end it.
                ended = &mut done => match ended {
                    Ok(done) if done.reply != Reply::Silence => return Some(done),
                    _ => loop {
                        tokio::select! {
                            read = reader.fill(stream) => if !matches!(read, Ok(1..)) { return None },
                            changed = gate.changed() => {
                                if changed.is_err() || gate.borrow().0 == Gate::Closed { return None }
                            }
                        }
                    },
                },
                read = reader.fill(stream) => if !matches!(read, Ok(1..)) {
                    let mut state = self.lock();
                    let now = state.clock.now();
                    state.act(|fleet, effects| fleet.attempt_abandoned(now, server, job, effects));
                    return None;
                },
            }
        }
    }

    /// Records the arrival of a request and passes it to the server model; returns `None` if the headers X-Txn or
    /// X-Lane are missing or invalid.
    fn arrived(
        &self, node: usize, server: usize, request: &Message, fresh: bool,
    ) -> Option<(u64, u64, oneshot::Receiver<Completion>)> {
        let id = u64::from_str_radix(request.header("x-txn")?, 16).ok()?;
        let class = request.header("x-lane").and_then(|name| self.lock().experiment.class_index(name))?;
        let requested_work = request.query("work").and_then(|work| work.parse().ok());
        let remaining: Nanos = request.header("x-remaining-ms").and_then(|ms| ms.parse().ok()).unwrap_or(0);
        let (sender, done) = oneshot::channel();
        let mut state = self.lock();
        let now = state.clock.now();
        state.next += 1;
        let job = state.next;
        let since = state.fleet.started_at(server);
        let told = state.known_since.get(&(node, server)).is_some_and(|&known| known >= since);
        let run_index = state.runs.len();
        state.runs.push(AttemptRecord {
            id,
            node,
            server,
            arrived: now,
            ended: None,
            reply: None,
            executed: false,
        });
        state.waiting.insert(job, (run_index, sender));
        let work = requested_work.unwrap_or(DEFAULT_WORK);
        let arrival = Arrival {
            job,
            class,
            work,
            expires: now + remaining * MS,
            new_connection: fresh,
            notified_of_start: told,
        };
        state.act(|fleet, effects| fleet.receive_request(now, server, arrival, effects));
        Some((job, id, done))
    }
}

/// How the server's side ends a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseMode {
    Close,
    Reset,
}

fn rejection() -> Vec<u8> {
    answer(503, "X-Turned-Away: 1\r\n", "")
}

//! Connections of nodes to servers, and the requests on them.

use super::*;

impl Servers {
    pub(super) async fn accept(self, node: usize, server: usize, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let (gate, taken) = {
                        let mut hub = self.lock();
                        (hub.gates[server].subscribe(), hub.fleet.open_connection(server))
                    };
                    tokio::spawn(self.clone().connection(node, server, stream, gate, taken));
                }
                Err(error) => {
                    tracing::warn!(%error, "accept");
                    sleep(Duration::from_millis(10)).await;
                }
            }
        }
    }

    async fn connection(
        self, node: usize, server: usize, mut stream: TcpStream, mut gate: watch::Receiver<(Gate, u64)>,
        taken: bool,
    ) {
        let number = gate.borrow().1;
        let _ = stream.set_nodelay(true);
        let ended = self.serve(node, server, &mut stream, &mut gate, taken).await;
        if taken && gate.borrow().1 == number {
            self.lock().fleet.connection_closed(server); // a server that died has forgotten all of them
        }
        if ended == Ending::Reset {
            let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO)); // the close becomes a reset
        }
    }

    async fn serve(
        &self, node: usize, server: usize, stream: &mut TcpStream, gate: &mut watch::Receiver<(Gate, u64)>,
        taken: bool,
    ) -> Ending {
        let mut reader = Reader::default();
        let idle = self.lock().fleet.servers()[server].idle_time();
        let mut fresh = true;
        loop {
            if gate.borrow_and_update().0 == Gate::Silent {
                tokio::select! {
                    changed = gate.changed() => if changed.is_err() { return Ending::Reset },
                }
                continue;
            }
            if gate.borrow().0 == Gate::Closed {
                return Ending::Reset;
            }
            let request = tokio::select! {
                read = timeout(Duration::from_nanos(idle), reader.next(stream, Side::Server)) => match read {
                    Ok(Ok(Some(request))) => request,
                    _ => return Ending::Close,
                },
                changed = gate.changed() => match changed {
                    Ok(()) => continue,
                    Err(_) => return Ending::Reset,
                },
            };
            if !taken {
                let _ = stream.write_all(&turned_away()).await;
                return Ending::Close;
            }
            let Some((job, id, done)) = self.arrived(node, server, &request, std::mem::take(&mut fresh))
            else {
                let _ = stream.write_all(&answer(404, "", "")).await;
                return Ending::Close;
            };
            let Some(done) = self.outcome(server, job, done, stream, &mut reader, gate).await else {
                return Ending::Close;
            };
            let text = match done.reply {
                Reply::Served => answer(200, "Content-Type: text/plain\r\n", &body(id)),
                Reply::Error => answer(500, "", "error"),
                Reply::TurnedAway => turned_away(),
                Reply::Reset => return Ending::Reset,
                Reply::Cut => {
                    let whole = answer(200, "", &body(id));
                    let _ = stream.write_all(&whole[..whole.len() - 5]).await;
                    return Ending::Close;
                }
                Reply::Malformed => {
                    let _ = stream.write_all(b"HTTP/1.1 2OO\x00 nonsense\r\n\r\n").await;
                    return Ending::Close;
                }
                Reply::Silence => continue, // whoever asked learns nothing, and closes when it has had enough
            };
            if stream.write_all(&text).await.is_err() {
                return Ending::Close;
            }
        }
    }

    /// Waits for the end of an attempt; none if whoever sent it closed the connection first.
    async fn outcome(
        &self, server: usize, job: u64, mut done: oneshot::Receiver<Completion>, stream: &mut TcpStream,
        reader: &mut Reader, gate: &mut watch::Receiver<(Gate, u64)>,
    ) -> Option<Completion> {
        loop {
            tokio::select! {
                biased;
                // An attempt whose answer never comes has no sender any more: only the other side ends it.
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
                    let mut hub = self.lock();
                    let now = hub.clock.now();
                    hub.act(|fleet, effects| fleet.attempt_abandoned(now, server, job, effects));
                    return None;
                },
            }
        }
    }

    /// Writes an arrival down and hands it to its server; none if it is no request of the protocol's.
    fn arrived(
        &self, node: usize, server: usize, request: &Message, fresh: bool,
    ) -> Option<(u64, u64, oneshot::Receiver<Completion>)> {
        let id = u64::from_str_radix(request.header("x-txn")?, 16).ok()?;
        let class = request.header("x-lane").and_then(|name| self.lock().day.class_index(name))?;
        let stated = request.query("work").and_then(|work| work.parse().ok());
        let remaining: Nanos = request.header("x-remaining-ms").and_then(|ms| ms.parse().ok()).unwrap_or(0);
        let (sender, done) = oneshot::channel();
        let mut hub = self.lock();
        let now = hub.clock.now();
        hub.next += 1;
        let job = hub.next;
        let since = hub.fleet.started_at(server);
        let told = hub.known_since.get(&(node, server)).is_some_and(|&known| known >= since);
        let line = hub.runs.len();
        hub.runs.push(AttemptRecord {
            id,
            node,
            server,
            arrived: now,
            ended: None,
            reply: None,
            executed: false,
        });
        hub.waiting.insert(job, (line, sender));
        let work = stated.unwrap_or(UNSTATED);
        let arrival = Arrival {
            job,
            class,
            work,
            expires: now + remaining * MS,
            new_connection: fresh,
            notified_of_start: told,
        };
        hub.act(|fleet, effects| fleet.receive_request(now, server, arrival, effects));
        Some((job, id, done))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    Close,
    Reset,
}

fn turned_away() -> Vec<u8> {
    answer(503, "X-Turned-Away: 1\r\n", "")
}

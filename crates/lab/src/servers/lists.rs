//! The discovery service on sockets, with injected faults of its calls.

use super::*;

impl Servers {
    /// Accepts the discovery calls of one node.
    pub(super) async fn discovery(self, node: usize, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => drop(tokio::spawn(self.clone().list_calls(node, stream))),
                Err(_) => sleep(Duration::from_millis(10)).await,
            }
        }
    }

    async fn list_calls(self, node: usize, mut stream: TcpStream) {
        let mut reader = Reader::default();
        let _ = stream.set_nodelay(true);
        while let Ok(Some(request)) = reader.next(&mut stream, Side::Server).await {
            if !request.target.1.starts_with("/registry/instances") {
                let _ = stream.write_all(&answer(404, "", "")).await;
                return;
            }
            let number = |name| request.query(name).and_then(|value| value.parse::<u64>().ok());
            let watch = number("index").map(|index| (index, number("wait").unwrap_or(0).min(60_000) * MS));
            let fault = self.lock().list_faults.sample(node);
            match fault {
                Some(ListFault::Silent) => return drop(reader.fill(&mut stream).await),
                Some(ListFault::Refused) => {
                    if stream.write_all(&answer(503, "", "")).await.is_err() {
                        return;
                    }
                    continue;
                }
                Some(ListFault::Reset) => {
                    return drop(SockRef::from(&stream).set_linger(Some(Duration::ZERO)))
                }
                Some(ListFault::Late(_) | ListFault::Cut) | None => {}
            }
            let (call, told) = self.call(watch);
            let listing = tokio::select! {
                listing = told => listing.ok().flatten(),
                read = reader.fill(&mut stream) => {
                    let _ = read; // a connection carries one call at a time: more bytes or a close cancel it
                    let mut state = self.lock();
                    state.calls.remove(&call);
                    state.fleet.cancel_discovery_call(call);
                    return;
                }
            };
            let restarts = self.lock().restarts;
            if let Some(ListFault::Late(delay)) = fault {
                sleep(Duration::from_nanos(delay)).await;
            }
            let text = match listing {
                None => answer(503, "", ""),
                Some(listing) => {
                    let mut state = self.lock();
                    if fault != Some(ListFault::Cut) {
                        state.note(node, restarts, &listing);
                    }
                    let list = platform::list(&state.experiment, &listing, node, &state.shown, &state.clock);
                    answer(200, "Content-Type: application/json\r\n", &list.to_string())
                }
            };
            let whole = if fault == Some(ListFault::Cut) { &text[..text.len() / 2] } else { &text[..] };
            if stream.write_all(whole).await.is_err() || fault == Some(ListFault::Cut) {
                return;
            }
        }
    }

    fn call(&self, watch: Option<(u64, Nanos)>) -> (u64, oneshot::Receiver<Option<Listing>>) {
        let (sender, told) = oneshot::channel();
        let mut state = self.lock();
        state.next += 1;
        let (call, now) = (state.next, state.clock.now());
        state.calls.insert(call, sender);
        state.act(|fleet, effects| fleet.call_discovery(now, call, watch, effects));
        (call, told)
    }
}

impl SharedState {
    /// Records what a node was told. A list that is written after a newer one is ignored.
    pub(super) fn note(&mut self, node: usize, restarts: usize, listing: &Listing) {
        let at = self.clock.now();
        let version = (restarts, listing.index);
        let newest = self.written.entry(node).or_default();
        if version < *newest {
            return;
        }
        *newest = version;
        for entry in &listing.entries {
            self.told.push(Notification { node, server: entry.server, status: entry.status, at });
            let since = if entry.status == Status::InService { Some(entry.since) } else { None };
            if let Some(since) = since {
                self.known_since.insert((node, entry.server), since);
            }
        }
        if listing.snapshot {
            let listed: Vec<usize> = listing.entries.iter().map(|entry| entry.server).collect();
            let gone = (0..self.experiment.server_count()).filter(|server| !listed.contains(server));
            let gone: Vec<usize> = gone.collect();
            let told = |server| Notification { node, server, status: Status::Terminated, at };
            self.told.extend(gone.into_iter().map(told));
        }
    }
}

//! Orders from operators and from other processes of this node, and the lifecycle of the node.

use super::*;

impl Driver {
    /// Carries out a console command.
    pub(super) fn handle_command(&mut self, command: ConsoleCommand) -> ConsoleReply {
        match command {
            ConsoleCommand::Status if !self.lifecycle.serving_state().may_listen => {
                ConsoleReply::Unavailable("the predecessor makes room".to_owned())
            }
            ConsoleCommand::Status if self.has_list => {
                ConsoleReply::Ok(format!("{}\n", self.lifecycle.state_name()))
            }
            ConsoleCommand::Status => ConsoleReply::Unavailable("no server list yet".to_owned()),
            ConsoleCommand::Metrics => {
                let members = self.members.iter().filter(|member| **member).count();
                let mut text = self.metrics.text(members, self.balancer.excluded_servers(self.clock.now()));
                if let Some(fleet) = &self.fleet_snapshot {
                    text.push_str(&metrics::fleet_text(fleet));
                }
                ConsoleReply::Ok(text)
            }
            ConsoleCommand::Members => match &self.fleet_snapshot {
                Some(fleet) => match serde_json::to_string_pretty(fleet) {
                    Ok(text) => ConsoleReply::Ok(text + "\n"),
                    Err(error) => ConsoleReply::Unavailable(format!("members: {error}")),
                },
                None if self.in_fleet => {
                    ConsoleReply::Unavailable("the fleet's part has not begun: ask again".to_owned())
                }
                None => ConsoleReply::NotFound("no fleet: merlinfold.toml has no [fleet]".to_owned()),
            },
            ConsoleCommand::Maintenance { member, out } => self.set_maintenance(&member, out),
            ConsoleCommand::Standby(standby) => self.set_standby(standby),
        }
    }

    /// Puts a server into maintenance, or takes it back into service. Accepts a server in maintenance that is no longer
    /// in the list, since it may return.
    pub(super) fn set_maintenance(&mut self, member: &str, out: bool) -> ConsoleReply {
        self.poll_companion(); // otherwise an order just written by the other process would be overwritten
        let mut orders = self.orders.clone();
        if self.names.servers.get(member).is_none() && !orders.out.contains(member) {
            return ConsoleReply::NotFound(format!("no guide server {member:.100}"));
        }
        let now = self.clock.now();
        if out {
            orders.back.remove(member);
            orders.out.insert(member.to_owned());
        } else if orders.out.remove(member) {
            orders.back.insert(member.to_owned(), now);
        }
        let ramp = self.limits.ramp_time;
        orders.back.retain(|_, &mut at| now < at.saturating_add(ramp));
        self.apply_orders(orders);
        self.publish_orders();
        ConsoleReply::Ok(format!("{member} {}\n", if out { "out" } else { "back" }))
    }

    /// Shares state with other processes of this node from now on, and takes over the state of an earlier process.
    pub fn share_state(&mut self, shared: Handover) {
        self.shared = Some(shared);
        self.poll_companion();
        self.schedule
            .push(Reverse((self.clock.now() + COMPANION_POLL_INTERVAL, ScheduledTask::CompanionPoll)));
    }

    /// Reads what another process of this node has written, and acts on it.
    pub(super) fn poll_companion(&mut self) {
        let Some(shared) = &mut self.shared else { return };
        let had_companion = shared.has_companion();
        if let Err(error) = shared.refresh() {
            if !std::mem::replace(&mut self.poll_failed, true) {
                warn!(%error, "cannot read the state of other processes of this node; retrying");
            }
            return;
        }
        self.poll_failed = false;
        let has_companion = shared.has_companion();
        if has_companion != had_companion {
            self.capacity.resize(has_companion);
            self.share_memory(has_companion);
            self.share_claims(has_companion); // before the other process is told that it may take clients
        }
        if !std::mem::replace(&mut self.has_polled, true) {
            self.inherit_orders(has_companion);
        }
        self.share_capacity(has_companion);
        self.read_orders();
        self.update_lifecycle();
    }

    /// Takes over the orders of an earlier process, at the first successful poll.
    fn inherit_orders(&mut self, has_companion: bool) {
        if has_companion {
            self.lifecycle.await_predecessor(self.clock.now());
        }
        let earlier = self.orders.clone();
        if let Some(mut orders) = self.shared.as_mut().and_then(Handover::changed_orders) {
            info!(?orders, companion = has_companion, "loaded the orders of an earlier process");
            orders.standby &= has_companion; // a drain from before a crash no longer applies
            orders.merge_later(&earlier);
            self.apply_orders(orders);
        }
        if earlier != Orders::default() {
            self.publish_orders();
        }
    }

    /// Releases capacity for the other process, and opens the node as far as the other process has released its own.
    fn share_capacity(&mut self, has_companion: bool) {
        let Some(shared) = &mut self.shared else { return };
        if !self.capacity.reclaim() {
            self.pool.shrink();
            self.lifecycle.close_idle_connections(); // a client that reconnects is served by the other process
        }
        if !has_companion {
            self.lifecycle.allow_listening();
        } else if shared.is_first() {
            let memory = self.capacity.process_memory.needed_beside(resident_bytes().unwrap_or(0));
            self.capacity.process_memory.run_beside_own(memory);
            if let Err(error) = shared.publish_usage(self.capacity.allocation(), memory) {
                warn!(%error, "cannot tell the successor process how much capacity is free");
            }
        } else if !shared.has_slot() {
            self.lifecycle.await_predecessor(self.clock.now()); // a third process, for which there is no capacity
        } else {
            if let Some(memory) = shared.companion_memory() {
                self.capacity.process_memory.run_beside(memory);
            }
            if shared.companion_usage().is_some_and(|kept| self.capacity.fit_beside(kept)) {
                self.lifecycle.allow_listening();
            }
        }
    }

    /// Sets the memory of this process at the start or the end of another one, which has told nothing yet.
    fn share_memory(&mut self, has_companion: bool) {
        match has_companion {
            true => self.capacity.process_memory.run_beside_unknown(),
            false => self.capacity.process_memory.run_alone(),
        }
    }

    /// Applies orders that another process has written.
    fn read_orders(&mut self) {
        let Some(shared) = &mut self.shared else { return };
        shared.retry_write();
        if let Some(orders) = shared.changed_orders() {
            info!(?orders, "received orders from another process");
            self.apply_orders(orders);
        }
    }

    /// Replaces the orders and carries out the differences.
    pub(super) fn apply_orders(&mut self, orders: Orders) {
        let previous = std::mem::replace(&mut self.orders, orders);
        let now = self.clock.now();
        let put_into_maintenance: Vec<String> = self.orders.out.difference(&previous.out).cloned().collect();
        let taken_back = self.orders.back.iter().filter(|(name, at)| previous.back.get(*name) != Some(at));
        let taken_back: Vec<String> = taken_back.map(|(name, _)| name.clone()).collect();
        for name in put_into_maintenance.iter().chain(&taken_back) {
            if let Some(number) = self.names.servers.get(name) {
                let server = ServerId(number as u32);
                self.notify_maintenance(server);
                self.update_readiness(server, now);
            }
        }
        if self.orders.standby != previous.standby {
            self.apply_order(if self.orders.standby { Command::Standby } else { Command::Active });
        }
    }

    /// Reports the maintenance order for a server, if any, to the module.
    pub(super) fn notify_maintenance(&mut self, server: ServerId) {
        let name = self.names.servers.name(server.0 as usize);
        let out = self.orders.out.contains(name);
        let back = self.orders.back.get(name).copied();
        if out || back.is_some() {
            let now = self.clock.now();
            let since = back.map_or(now, |at| at.min(now)); // the clock of the other process may be ahead
            self.handle_event(Event::Maintenance { server, out, ordered_at: since });
        }
    }

    /// Writes the orders for other processes of this node.
    pub(super) fn publish_orders(&mut self) {
        if !self.has_polled {
            return; // the orders of an earlier process are not read yet and would be overwritten
        }
        if let Some(shared) = &mut self.shared {
            shared.write_orders(&self.orders);
        }
    }

    /// Drains the node, or makes it active again.
    pub(super) fn set_standby(&mut self, standby: bool) -> ConsoleReply {
        self.poll_companion();
        let orders = Orders { standby, ..self.orders.clone() };
        if !self.apply_order(if standby { Command::Standby } else { Command::Active }) {
            return ConsoleReply::Conflict("the node ends".to_owned());
        }
        self.orders = orders;
        self.publish_orders();
        ConsoleReply::Ok(format!("{}\n", self.lifecycle.state_name()))
    }

    /// Applies an order to the lifecycle. Returns whether the lifecycle allows it.
    pub(super) fn apply_order(&mut self, order: Command) -> bool {
        let done = self.lifecycle.apply(self.clock.now(), order);
        info!(?order, done, state = self.lifecycle.state_name(), "order received");
        self.update_lifecycle();
        done
    }

    /// Advances the lifecycle, publishes its posture for the front, and schedules its next change.
    pub(super) fn update_lifecycle(&mut self) {
        self.lifecycle.tick(self.clock.now());
        let posture = self.lifecycle.serving_state();
        self.posture.send_if_modified(|known| std::mem::replace(known, posture) != posture);
        if let Some(at) = self.lifecycle.next_change() {
            self.schedule.push(Reverse((at, ScheduledTask::Lifecycle)));
        }
    }
}

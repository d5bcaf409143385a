//! What operators and other processes of this node order, and the node's life.

use super::*;

impl Driver {
    pub(super) fn handle_command(&mut self, call: ConsoleCommand) -> ConsoleReply {
        match call {
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

    /// Takes a server out, or puts it back. One that the list has lost may still be meant: it may come again.
    pub(super) fn set_maintenance(&mut self, member: &str, out: bool) -> ConsoleReply {
        self.poll_companion(); // or an order that the other process has written just now would be written over
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

    /// Shares with the other processes of this node from now on, and takes over what one before has left.
    pub fn share_state(&mut self, shared: Handover) {
        self.shared = Some(shared);
        self.poll_companion();
        self.schedule
            .push(Reverse((self.clock.now() + COMPANION_POLL_INTERVAL, ScheduledTask::CompanionPoll)));
    }

    /// Looks what another process of this node has done.
    pub(super) fn poll_companion(&mut self) {
        let Some(shared) = &mut self.shared else { return };
        let had = shared.has_companion();
        if let Err(error) = shared.refresh() {
            if !std::mem::replace(&mut self.poll_failed, true) {
                warn!(%error, "another process of this node would not be noticed: tried again at each look");
            }
            return;
        }
        self.poll_failed = false;
        let has = shared.has_companion();
        if has != had {
            self.capacity.resize(has);
        }
        if !std::mem::replace(&mut self.has_polled, true) {
            self.inherit_orders(has);
        }
        self.share_capacity(has);
        self.read_orders();
        self.update_lifecycle();
    }

    /// Takes over what an earlier process has left, at the first look that succeeds.
    fn inherit_orders(&mut self, companion: bool) {
        if companion {
            self.lifecycle.await_predecessor(self.clock.now());
        }
        let told = self.orders.clone();
        if let Some(mut orders) = self.shared.as_mut().and_then(Handover::changed_orders) {
            info!(?orders, companion, "orders of an earlier process");
            orders.standby &= companion; // nobody knows of a drain before a crash any more
            orders.merge_later(&told);
            self.apply_orders(orders);
        }
        if told != Orders::default() {
            self.publish_orders();
        }
    }

    /// Opens and makes room by how much the other process keeps.
    fn share_capacity(&mut self, companion: bool) {
        let Some(shared) = &mut self.shared else { return };
        if !self.capacity.settle() {
            self.pool.shrink();
            self.lifecycle.close_idle_connections(); // a client that asks again is served by the other process
        }
        if !companion {
            self.lifecycle.allow_listening();
        } else if shared.is_first() {
            if let Err(error) = shared.publish_usage(self.capacity.allocation()) {
                warn!(%error, "a successor does not hear how much room there is");
            }
        } else if !shared.has_slot() {
            self.lifecycle.await_predecessor(self.clock.now()); // a third process, for which there is no room
        } else if shared.companion_usage().is_some_and(|kept| self.capacity.fit_beside(kept)) {
            self.lifecycle.allow_listening();
        }
    }

    fn read_orders(&mut self) {
        let Some(shared) = &mut self.shared else { return };
        shared.retry_write();
        if let Some(orders) = shared.changed_orders() {
            info!(?orders, "orders from another process");
            self.apply_orders(orders);
        }
    }

    /// Carries out what differs from the orders so far.
    pub(super) fn apply_orders(&mut self, orders: Orders) {
        let was = std::mem::replace(&mut self.orders, orders);
        let now = self.clock.now();
        let gone_out: Vec<String> = self.orders.out.difference(&was.out).cloned().collect();
        let put_back = self.orders.back.iter().filter(|(name, at)| was.back.get(*name) != Some(at));
        let put_back: Vec<String> = put_back.map(|(name, _)| name.clone()).collect();
        for name in gone_out.iter().chain(&put_back) {
            if let Some(number) = self.names.servers.get(name) {
                let server = ServerId(number as u32);
                self.notify_maintenance(server);
                self.update_readiness(server, now);
            }
        }
        if self.orders.standby != was.standby {
            self.apply_order(if self.orders.standby { Command::Standby } else { Command::Active });
        }
    }

    /// Tells the module what is ordered about a server.
    pub(super) fn notify_maintenance(&mut self, server: ServerId) {
        let name = self.names.servers.name(server.0 as usize);
        let out = self.orders.out.contains(name);
        let back = self.orders.back.get(name).copied();
        if out || back.is_some() {
            let now = self.clock.now();
            let since = back.map_or(now, |at| at.min(now)); // the other process may have had another clock
            self.handle_event(Event::Maintenance { server, out, ordered_at: since });
        }
    }

    /// Lets other processes of this node know of the orders.
    pub(super) fn publish_orders(&mut self) {
        if !self.has_polled {
            return; // what an earlier process has left is still to be read, and would be written over
        }
        if let Some(shared) = &mut self.shared {
            shared.write_orders(&self.orders);
        }
    }

    /// Drains, or ends that.
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

    /// Carries an order out, if that can still be done.
    pub(super) fn apply_order(&mut self, order: Command) -> bool {
        let done = self.lifecycle.apply(self.clock.now(), order);
        info!(?order, done, state = self.lifecycle.state_name(), "order");
        self.update_lifecycle();
        done
    }

    /// Lets the front know what the node's life asks for, and sees to it when that changes next.
    pub(super) fn update_lifecycle(&mut self) {
        self.lifecycle.tick(self.clock.now());
        let posture = self.lifecycle.serving_state();
        self.posture.send_if_modified(|known| std::mem::replace(known, posture) != posture);
        if let Some(at) = self.lifecycle.next_change() {
            self.schedule.push(Reverse((at, ScheduledTask::Lifecycle)));
        }
    }
}

//! What operators and other processes of this node order, and the node's life.

use super::*;

impl Driver {
    pub(super) fn call(&mut self, call: Call) -> Said {
        match call {
            Call::Status if !self.life.serving_state().may_listen => {
                Said::NotNow("the predecessor makes room".to_owned())
            }
            Call::Status if self.listed => Said::Yes(format!("{}\n", self.life.state_name())),
            Call::Status => Said::NotNow("no server list yet".to_owned()),
            Call::Figures => {
                let members = self.members.iter().filter(|member| **member).count();
                let mut text = self.figures.text(members, self.balancer.avoided(self.clock.now()));
                if let Some(fleet) = &self.fleet {
                    text.push_str(&figures::of_fleet(fleet));
                }
                Said::Yes(text)
            }
            Call::Members => match &self.fleet {
                Some(fleet) => match serde_json::to_string_pretty(fleet) {
                    Ok(text) => Said::Yes(text + "\n"),
                    Err(error) => Said::NotNow(format!("members: {error}")),
                },
                None if self.in_fleet => Said::NotNow("the fleet's part has not begun: ask again".to_owned()),
                None => Said::Unknown("no fleet: merlinfold.toml has no [fleet]".to_owned()),
            },
            Call::Maintenance { member, out } => self.maintenance(&member, out),
            Call::Standby(standby) => self.stand_by(standby),
        }
    }

    /// Takes a server out, or puts it back. One that the list has lost may still be meant: it may come again.
    pub(super) fn maintenance(&mut self, member: &str, out: bool) -> Said {
        self.look(); // or an order that the other process has written just now would be written over
        let mut orders = self.orders.clone();
        if self.names.servers.get(member).is_none() && !orders.out.contains(member) {
            return Said::Unknown(format!("no guide server {member:.100}"));
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
        self.adopt(orders);
        self.publish();
        Said::Yes(format!("{member} {}\n", if out { "out" } else { "back" }))
    }

    /// Shares with the other processes of this node from now on, and takes over what one before has left.
    pub fn share(&mut self, shared: Handover) {
        self.shared = Some(shared);
        self.look();
        self.due.push(Reverse((self.clock.now() + LOOK_EVERY, Due::Look)));
    }

    /// Looks what another process of this node has done.
    pub(super) fn look(&mut self) {
        let Some(shared) = &mut self.shared else { return };
        let had = shared.has_companion();
        if let Err(error) = shared.refresh() {
            if !std::mem::replace(&mut self.look_fails, true) {
                warn!(%error, "another process of this node would not be noticed: tried again at each look");
            }
            return;
        }
        self.look_fails = false;
        let has = shared.has_companion();
        if has != had {
            self.capacity.resize(has);
        }
        if !std::mem::replace(&mut self.looked, true) {
            self.take_over(has);
        }
        self.share_room(has);
        self.read_orders();
        self.live();
    }

    /// Takes over what an earlier process has left, at the first look that succeeds.
    fn take_over(&mut self, companion: bool) {
        if companion {
            self.life.await_predecessor(self.clock.now());
        }
        let told = self.orders.clone();
        if let Some(mut orders) = self.shared.as_mut().and_then(Handover::changed_orders) {
            info!(?orders, companion, "orders of an earlier process");
            orders.standby &= companion; // nobody knows of a drain before a crash any more
            orders.merge_later(&told);
            self.adopt(orders);
        }
        if told != Orders::default() {
            self.publish();
        }
    }

    /// Opens and makes room by how much the other process keeps.
    fn share_room(&mut self, companion: bool) {
        let Some(shared) = &mut self.shared else { return };
        if !self.capacity.settle() {
            self.pool.shed();
            self.life.close_idle_connections(); // a client that asks again is served by the other process
        }
        if !companion {
            self.life.allow_listening();
        } else if shared.is_first() {
            if let Err(error) = shared.publish_usage(self.capacity.kept()) {
                warn!(%error, "a successor does not hear how much room there is");
            }
        } else if !shared.has_slot() {
            self.life.await_predecessor(self.clock.now()); // a third process, for which there is no room
        } else if shared.companion_usage().is_some_and(|kept| self.capacity.fit(kept)) {
            self.life.allow_listening();
        }
    }

    fn read_orders(&mut self) {
        let Some(shared) = &mut self.shared else { return };
        shared.retry_write();
        if let Some(orders) = shared.changed_orders() {
            info!(?orders, "orders from another process");
            self.adopt(orders);
        }
    }

    /// Carries out what differs from the orders so far.
    pub(super) fn adopt(&mut self, orders: Orders) {
        let was = std::mem::replace(&mut self.orders, orders);
        let now = self.clock.now();
        let gone_out: Vec<String> = self.orders.out.difference(&was.out).cloned().collect();
        let put_back = self.orders.back.iter().filter(|(name, at)| was.back.get(*name) != Some(at));
        let put_back: Vec<String> = put_back.map(|(name, _)| name.clone()).collect();
        for name in gone_out.iter().chain(&put_back) {
            if let Some(number) = self.names.servers.get(name) {
                let server = ServerId(number as u32);
                self.maintain(server);
                self.mark(server, now);
            }
        }
        if self.orders.standby != was.standby {
            self.order(if self.orders.standby { Command::Standby } else { Command::Active });
        }
    }

    /// Tells the module what is ordered about a server.
    pub(super) fn maintain(&mut self, server: ServerId) {
        let name = self.names.servers.name(server.0 as usize);
        let out = self.orders.out.contains(name);
        let back = self.orders.back.get(name).copied();
        if out || back.is_some() {
            let now = self.clock.now();
            let since = back.map_or(now, |at| at.min(now)); // the other process may have had another clock
            self.handle(Event::Maintenance { server, out, since });
        }
    }

    /// Lets other processes of this node know of the orders.
    pub(super) fn publish(&mut self) {
        if !self.looked {
            return; // what an earlier process has left is still to be read, and would be written over
        }
        if let Some(shared) = &mut self.shared {
            shared.write_orders(&self.orders);
        }
    }

    /// Drains, or ends that.
    pub(super) fn stand_by(&mut self, standby: bool) -> Said {
        self.look();
        let orders = Orders { standby, ..self.orders.clone() };
        if !self.order(if standby { Command::Standby } else { Command::Active }) {
            return Said::Conflict("the node ends".to_owned());
        }
        self.orders = orders;
        self.publish();
        Said::Yes(format!("{}\n", self.life.state_name()))
    }

    /// Carries an order out, if that can still be done.
    pub(super) fn order(&mut self, order: Command) -> bool {
        let done = self.life.apply(self.clock.now(), order);
        info!(?order, done, state = self.life.state_name(), "order");
        self.live();
        done
    }

    /// Lets the front know what the node's life asks for, and sees to it when that changes next.
    pub(super) fn live(&mut self) {
        self.life.tick(self.clock.now());
        let posture = self.life.serving_state();
        self.posture.send_if_modified(|known| std::mem::replace(known, posture) != posture);
        if let Some(at) = self.life.next_change() {
            self.due.push(Reverse((at, Due::Life)));
        }
    }
}

//! Commands proposed on this node, which are sent to the leader until the local state has applied them.

use super::{Action, Notification, ReplicatedLog};
use crate::command::{Command, CommandId, Outcome, ProposalError, MAX_BODY_BYTES};
use crate::config::{Defect, Name, Nanos};
use crate::wire::Body;

/// Maximum number of commands that wait for an outcome on a node.
pub const MAX_PROPOSALS: usize = 256;

/// How often a command is forwarded at most.
const MAX_HOPS: u8 = 2;

/// A command that waits for its outcome.
#[derive(Clone, Debug)]
pub struct Proposal {
    command: Command,
    proposed: Nanos,
    /// When the command is sent again.
    pub next_send: Nanos,
}

impl ReplicatedLog {
    /// Checks whether a command can be proposed on this node now.
    pub fn check_proposal(&self, command: &Command) -> Result<(), ProposalError> {
        if command.body.len() > MAX_BODY_BYTES {
            return Err(ProposalError::TooLong(command.body.len()));
        }
        if command.id == 0 {
            return Err(ProposalError::ReservedId);
        }
        if self.proposals.len() >= MAX_PROPOSALS && !self.proposals.contains_key(&command.id) {
            return Err(ProposalError::QueueFull);
        }
        Ok(())
    }

    /// Accepts a command that was proposed on this node, or reports its outcome if it is already known.
    pub(super) fn accept_proposal(&mut self, now: Nanos, command: Command, actions: &mut Vec<Action>) {
        let id = command.id;
        if self.check_proposal(&command).is_err() {
            return actions.push(Action::Notify(Notification::ProposalTimedOut(id)));
        }
        if let Some(outcome) = self.applied.outcome(id).cloned() {
            return actions.push(Action::Notify(Notification::Outcome(id, outcome)));
        }
        if self.tuning.defect == Some(Defect::ConfirmsEarly) {
            actions.push(Action::Notify(Notification::Outcome(id, Outcome::Done(self.applied.index + 1))));
        }
        self.proposals.entry(id).or_insert(Proposal { command, proposed: now, next_send: now });
    }

    /// Resends unconfirmed commands, which is safe because commands with the same id take effect once. Gives up those
    /// that have reached [`crate::Tuning::proposal_timeout`].
    pub(super) fn resend_proposals(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        let due: Vec<CommandId> = self
            .proposals
            .iter()
            .filter(|(_, proposal)| proposal.next_send <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            let Some(proposal) = self.proposals.get_mut(&id) else { continue };
            if now.saturating_sub(proposal.proposed) >= self.tuning.proposal_timeout {
                self.proposals.remove(&id);
                actions.push(Action::Notify(Notification::ProposalTimedOut(id)));
                continue;
            }
            proposal.next_send = now + self.tuning.resend_interval;
            let command = proposal.command.clone();
            self.forward(&command, 0, actions);
        }
        self.process_ready(now, actions);
    }

    /// Proposes a command if this node is the leader; otherwise forwards it to the known leader, or to a voter that may
    /// know the leader. The limit on hops stops loops between nodes with contradictory views.
    pub(super) fn forward(&mut self, command: &Command, hops: u8, actions: &mut Vec<Action>) {
        if self.rejoin_confirmations.is_some() || hops >= MAX_HOPS {
            return self.propose_locally(command);
        }
        let replica = self.replica.as_ref().filter(|_| self.disk_failed_since.is_none());
        let leader = replica.and_then(|replica| replica.leader());
        let to = match (leader, replica.is_some()) {
            (Some(leader), _) if leader == self.voter => return self.propose_locally(command),
            (Some(leader), _) => self.node_of(leader),
            (None, true) => None,
            // Only the node that proposed the command picks a voter at random.
            (None, false) => {
                let others: Vec<Name> =
                    self.other_voter_nodes().into_iter().filter(|name| *name != self.identity.name).collect();
                (hops == 0 && !others.is_empty()).then(|| others[self.rng.usize(0..others.len())].clone())
            }
        };
        if let Some(to) = to {
            self.send(&to, Body::Propose { command: command.clone(), hops: hops + 1 }, actions);
        }
    }

    /// Proposes a command if this node is the leader. If the leader cannot take it now, the proposer resends it.
    fn propose_locally(&mut self, command: &Command) {
        if self.rejoin_confirmations.is_none() && self.disk_failed_since.is_none() {
            if let Some(replica) = &mut self.replica {
                replica.propose(command);
            }
        }
    }

    /// Reports the outcome of a command if it was proposed on this node.
    pub(super) fn confirm(&mut self, id: CommandId, outcome: Outcome, actions: &mut Vec<Action>) {
        if self.proposals.remove(&id).is_some() {
            actions.push(Action::Notify(Notification::Outcome(id, outcome)));
        }
    }
}

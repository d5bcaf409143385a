//! Commands that are proposed here, on their way to the leader until the state here has them.

use super::{Action, Notification, ReplicatedLog};
use crate::command::{Command, CommandId, Outcome, ProposalError, MAX_BODY_BYTES};
use crate::config::{Defect, Name, Nanos};
use crate::wire::Body;

/// Commands that wait here for an answer.
pub const MAX_PROPOSALS: usize = 256;

const MAX_HOPS: u8 = 2;

/// One that waits.
#[derive(Clone, Debug)]
pub struct Proposal {
    command: Command,
    proposed: Nanos,
    pub next_send: Nanos,
}

impl ReplicatedLog {
    /// Whether a command could be proposed here now.
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

    pub(super) fn accept_proposal(&mut self, now: Nanos, command: Command, out: &mut Vec<Action>) {
        let id = command.id;
        if self.check_proposal(&command).is_err() {
            return out.push(Action::Notify(Notification::ProposalTimedOut(id)));
        }
        if let Some(outcome) = self.applied.outcome(id).cloned() {
            return out.push(Action::Notify(Notification::Outcome(id, outcome)));
        }
        if self.tuning.defect == Some(Defect::ConfirmsEarly) {
            out.push(Action::Notify(Notification::Outcome(id, Outcome::Done(self.applied.index + 1))));
        }
        self.proposals.entry(id).or_insert(Proposal { command, proposed: now, next_send: now });
    }

    /// Sends what is not confirmed, again and again: its id lets it take effect once.
    pub(super) fn resend_proposals(&mut self, now: Nanos, out: &mut Vec<Action>) {
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
                out.push(Action::Notify(Notification::ProposalTimedOut(id)));
                continue;
            }
            proposal.next_send = now + self.tuning.resend_interval;
            let command = proposal.command.clone();
            self.forward(&command, 0, out);
        }
        self.process_ready(now, out);
    }

    /// Takes a command to the leader: this node, or the one that is known, or a voter who may know. It is sent on so
    /// often and no more, whatever nodes believe of each other.
    pub(super) fn forward(&mut self, command: &Command, hops: u8, out: &mut Vec<Action>) {
        if self.rejoin_confirmations.is_some() || hops >= MAX_HOPS {
            return self.propose_locally(command);
        }
        let replica = self.replica.as_ref().filter(|_| self.disk_failed_since.is_none());
        let leader = replica.and_then(|replica| replica.leader());
        let to = match (leader, replica.is_some()) {
            (Some(leader), _) if leader == self.voter => return self.propose_locally(command),
            (Some(leader), _) => self.node_of(leader),
            (None, true) => None,
            // Only who proposes it looks for a voter.
            (None, false) => {
                let others: Vec<Name> =
                    self.other_voter_nodes().into_iter().filter(|name| *name != self.identity.name).collect();
                (hops == 0 && !others.is_empty()).then(|| others[self.rng.usize(0..others.len())].clone())
            }
        };
        if let Some(to) = to {
            self.send(&to, Body::Propose { command: command.clone(), hops: hops + 1 }, out);
        }
    }

    /// Proposes it if this node leads; one that there is no room for comes again.
    fn propose_locally(&mut self, command: &Command) {
        if self.rejoin_confirmations.is_none() && self.disk_failed_since.is_none() {
            if let Some(replica) = &mut self.replica {
                replica.propose(command);
            }
        }
    }

    pub(super) fn confirm(&mut self, id: CommandId, outcome: Outcome, out: &mut Vec<Action>) {
        if self.proposals.remove(&id).is_some() {
            out.push(Action::Notify(Notification::Outcome(id, outcome)));
        }
    }
}

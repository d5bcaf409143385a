//! Claims of requests that must not run more than once: by their transaction ids, at this process and at the other one
//! during an upgrade.

use super::*;

impl Driver {
    /// Claims a request of this class for this process. Returns its transaction id if it was claimed, and an error if it
    /// may have run before; a class whose requests may be repeated needs no claim.
    pub(super) fn claim(
        &mut self, class: usize, request: &UpstreamRequest,
    ) -> Result<Option<u64>, AlreadyClaimed> {
        if !self.runs_once.get(class).copied().unwrap_or(false) {
            return Ok(None);
        }
        let Ok(id) = u64::from_str_radix(request.transaction_id(), 16) else { return Ok(None) };
        let now = self.clock.now();
        if !self.recent.insert(id, now) {
            return Err(AlreadyClaimed);
        }
        let Some(shared) = &mut self.shared_claims else { return Ok(Some(id)) };
        // Each process claims before it looks, so at least one of the two sees the other's claim.
        if let Err(error) = shared.claim(id, || self.recent.ids()) {
            warn!(txn = request.transaction_id(), %error, "cannot tell the other process of a request");
        }
        if self.read_claims_of_other().contains(&id) {
            return Err(AlreadyClaimed);
        }
        Ok(Some(id))
    }

    /// Takes over what the other process has claimed since the last call, and returns it.
    fn read_claims_of_other(&mut self) -> Vec<u64> {
        let Some(shared) = &mut self.shared_claims else { return Vec::new() };
        let claims = shared.claims_of_other().unwrap_or_else(|error| {
            warn!(%error, "cannot read the requests of the other process");
            Vec::new()
        });
        let now = self.clock.now();
        for &id in &claims {
            self.recent.insert(id, now);
        }
        claims
    }

    /// Gives up the claim of a request that certainly never ran.
    pub(super) fn release_claim(&mut self, pending: &PendingRequest) {
        if let Some(id) = pending.claim.filter(|_| !pending.may_have_run) {
            self.recent.remove(id);
        }
    }

    /// Shares claims while another process of this node runs.
    pub(super) fn share_claims(&mut self, has_companion: bool) {
        // What the other process has claimed up to its end may come here from now on.
        self.read_claims_of_other();
        let known = self.recent.ids();
        let begun = self.shared.as_ref().filter(|_| has_companion).map(|shared| shared.share_claims(&known));
        self.shared_claims = begun.and_then(|begun| {
            begun
                .inspect_err(|error| warn!(%error, "cannot share the ids of requests with the other process"))
                .ok()
        });
    }
}

/// A request with this transaction id has come before, and may have run.
#[derive(Debug)]
pub(super) struct AlreadyClaimed;

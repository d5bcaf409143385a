//! Retry tokens: the bound on the share of attempts that repeat one which may have run.

/// Tokens that each request adds. A retry after an attempt that may have run takes one token.
const TOKENS_PER_REQUEST: f64 = 0.1;

/// Tokens that may be saved up, apart from the reserved ones.
const MAX_TOKENS: f64 = 10.0;

/// A token bucket with reservations. An attempt that is to end early reserves the token of its retry: however
/// many attempts end together, each of them can be retried.
pub struct RetryTokens {
    available: f64,
    reserved: u32,
}

impl Default for RetryTokens {
    fn default() -> Self {
        RetryTokens { available: MAX_TOKENS, reserved: 0 }
    }
}

impl RetryTokens {
    /// Adds the tokens of a new request.
    pub fn add_request(&mut self) {
        self.deposit(TOKENS_PER_REQUEST);
    }

    /// Whether a token is available that is not reserved.
    pub fn has_token(&self) -> bool {
        self.available >= 1.0
    }

    /// Number of reserved tokens.
    pub fn reserved(&self) -> u32 {
        self.reserved
    }

    /// Takes an available token; false if there is none.
    pub fn take(&mut self) -> bool {
        let taken = self.has_token();
        if taken {
            self.available -= 1.0;
        }
        taken
    }

    /// Gives back a token that has been taken but not used.
    pub fn give_back(&mut self) {
        self.deposit(1.0);
    }

    /// Reserves an available token; false if there is none.
    pub fn reserve(&mut self) -> bool {
        let reserved = self.take();
        self.reserved += u32::from(reserved);
        reserved
    }

    /// Turns a reserved token into an available one.
    pub fn release(&mut self) {
        self.reserved = self.reserved.saturating_sub(1);
        self.give_back();
    }

    fn deposit(&mut self, tokens: f64) {
        self.available = (self.available + tokens).min(MAX_TOKENS);
    }
}

//! Retry budget: bounds the additional load by retries and hedged requests to a fraction of the requests.

/// Each request adds this many tokens; a retry or hedged request costs 1.
const RETRY_TOKENS_PER_REQUEST: f64 = 0.2;
/// Tokens that all proxies together may accumulate.
const RETRY_BUDGET_MAX_TOKENS: f64 = 80.0;

/// The part of the fleet's retry budget that this proxy may use.
pub(super) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// A budget that is half full.
    pub(super) fn new(proxy_count: u32) -> Self {
        RetryBudget { tokens: RETRY_BUDGET_MAX_TOKENS / 2.0 / f64::from(proxy_count) }
    }

    /// Adds the tokens that a request earns.
    pub(super) fn record_request(&mut self, proxy_count: u32) {
        let capacity = (RETRY_BUDGET_MAX_TOKENS / f64::from(proxy_count)).max(1.0);
        self.tokens = (self.tokens + RETRY_TOKENS_PER_REQUEST).min(capacity);
    }

    pub(super) fn can_spend(&self, tokens: f64) -> bool {
        self.tokens >= tokens
    }

    pub(super) fn spend(&mut self, tokens: f64) {
        self.tokens -= tokens;
    }
}

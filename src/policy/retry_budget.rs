//! Retry budget: limits the additional load from retries and hedged requests to a fraction of the requests.

/// Number of tokens that each request adds. A retry or hedged request costs 1 token.
const RETRY_TOKENS_PER_REQUEST: f64 = 0.2;
/// Maximum number of tokens, summed over all proxies.
const RETRY_BUDGET_MAX_TOKENS: f64 = 80.0;

/// This proxy's share of the fleet's retry budget.
pub(super) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// Creates a budget that is half full.
    pub(super) fn new(proxy_count: u32) -> Self {
        RetryBudget { tokens: RETRY_BUDGET_MAX_TOKENS / 2.0 / f64::from(proxy_count) }
    }

    /// Adds the tokens for a request, up to this proxy's share of the maximum, which is at least 1.
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

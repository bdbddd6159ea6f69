//! Usage caps of organisations.

/// What a cap counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Unit {
    /// Requests.
    Requests,
    /// Tokens of prompts and outputs.
    Tokens,
}

/// How much the requests of an organisation may use, over all VMs together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Cap {
    /// What is counted.
    pub unit: Unit,
    /// Units a second; finite and above 0.
    pub rate: f64,
    /// Units that may be used at once after a pause; finite, 0 or more.
    pub burst: f64,
    /// Tokens that a request counts as if it names none.
    pub default_tokens: u64,
}

impl Cap {
    /// Units that a request counts as, by the tokens that it names.
    pub fn cost(&self, tokens: Option<u64>) -> u64 {
        match self.unit {
            Unit::Requests => 1,
            Unit::Tokens => tokens.unwrap_or(self.default_tokens),
        }
    }
}

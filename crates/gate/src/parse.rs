//! Parsers for requests, responses and metrics.

use base::{ModelName, TokenCount};
use serde::Deserialize;

/// Completion tokens that are charged for a request without a limit.
const DEFAULT_MAX_TOKENS: u64 = 256;
/// Bytes of a request's body that count as one prompt token.
const BYTES_PER_TOKEN: u64 = 4;
/// Names of query parameters that clients use for keys.
const KEY_PARAMETERS: [&str; 8] =
    ["key", "api_key", "apikey", "api-key", "access_token", "token", "authorization", "auth"];

/// The fields of a model request that are needed for routing and charging.
#[derive(Debug, Deserialize)]
pub(crate) struct ModelRequest {
    pub(crate) model: ModelName,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    n: Option<u64>,
}

impl ModelRequest {
    /// Returns the maximum number of tokens that the request may use, from its limits and its size.
    pub(crate) fn cost(&self, path: &str, body_bytes: usize) -> TokenCount {
        let prompt = (body_bytes as u64).div_ceil(BYTES_PER_TOKEN);
        if path == "/v1/embeddings" {
            return TokenCount(prompt);
        }
        let limit = self.max_completion_tokens.or(self.max_tokens).unwrap_or(DEFAULT_MAX_TOKENS);
        let choices = self.n.unwrap_or(1).max(1);
        TokenCount(prompt.saturating_add(limit.saturating_mul(choices)))
    }
}

#[derive(Deserialize)]
struct UsageResponse {
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Usage {
    total_tokens: u64,
}

/// Returns the number of tokens used, if the response body reports it.
pub(crate) fn used_tokens(body: &[u8]) -> Option<TokenCount> {
    let response: UsageResponse = serde_json::from_slice(body).ok()?;
    response.usage.map(|usage| TokenCount(usage.total_tokens))
}

/// Returns whether a query string contains something that looks like a key.
pub(crate) fn has_key_parameter(query: &str) -> bool {
    query.split('&').any(|pair| {
        let name = pair.split('=').next().unwrap_or_default().to_ascii_lowercase();
        KEY_PARAMETERS.contains(&name.as_str()) || pair.contains("mk-")
    })
}

/// Returns whether `needle` occurs in `bytes`.
pub(crate) fn contains(bytes: &[u8], needle: &[u8]) -> bool {
    !needle.is_empty() && bytes.windows(needle.len()).any(|window| window == needle)
}

/// The load that a model engine reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
}

/// Parses an engine's load from metrics in the Prometheus text format. Missing values count as
/// zero; the values of several models are added.
///
/// # Example
///
/// ```
/// use mango_gate::parse_load;
/// let load = parse_load("vllm:num_requests_running{model=\"a\"} 3\nvllm:num_requests_waiting 1\n");
/// assert_eq!((load.running, load.waiting), (3, 1));
/// ```
pub fn parse_load(text: &str) -> EngineLoad {
    let mut load = EngineLoad::default();
    for line in text.lines().filter(|line| !line.starts_with('#')) {
        let Some((name, value)) = line.trim().rsplit_once(' ') else { continue };
        let name = name.split('{').next().unwrap_or_default().trim();
        let value = value.parse::<f64>().ok().filter(|value| value.is_finite() && *value >= 0.0);
        let count = value.map_or(0, |value| value.min(f64::from(u32::MAX)) as u32);
        match name.rsplit(':').next() {
            Some("num_requests_running") => load.running = load.running.saturating_add(count),
            Some("num_requests_waiting") => load.waiting = load.waiting.saturating_add(count),
            _ => {}
        }
    }
    load
}

//! Runs walks over HTTP.

use std::time::Duration;

use crate::query::{Page, Query, Reply};
use crate::walk::{End, Step, Walk};

/// Longer response bodies are rejected.
const MAX_RESPONSE_BYTES: u64 = 64 * 1024 * 1024;

/// Allowance for the network, added to the timeout of a query. A query without a timeout gets this alone.
const NETWORK_ALLOWANCE: Duration = Duration::from_secs(15);

/// A data set at an aggregation frontend.
#[derive(Debug, Clone)]
pub struct Service {
    agent: ureq::Agent,
    url: String,
}

impl Service {
    /// Creates a client of the data set `set` at `address` (`HOST:PORT`).
    pub fn new(address: &str, set: &str) -> Self {
        let config = ureq::Agent::config_builder().http_status_as_error(false).build();
        Self { agent: config.new_agent(), url: format!("http://{address}/v1/sets/{set}/query") }
    }

    /// Sends a query once, without retries.
    pub fn send(&self, query: &Query) -> Reply {
        self.exchange(query).unwrap_or_else(|error| Reply::Failed(error.to_string()))
    }

    fn exchange(&self, query: &Query) -> Result<Reply, ureq::Error> {
        let body = serde_json::to_string(query).map_err(|e| ureq::Error::Other(Box::new(e)))?;
        let timeout = Duration::from_millis(query.timeout_ms.unwrap_or(0)) + NETWORK_ALLOWANCE;
        let request = self.agent.post(&self.url).config().timeout_global(Some(timeout)).build();
        let mut response = request.header("Content-Type", "application/json").send(body)?;
        let retry_after =
            response.headers().get("retry-after").and_then(|v| v.to_str().ok()).map(str::to_string);
        let status = response.status().as_u16();
        let text = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES).read_to_string()?;
        Ok(Reply::parse(status, retry_after.as_deref(), &text))
    }
}

/// Sends one HTTP request whose response body is short text; returns the status and the body.
///
/// # Errors
/// Returns the URL and the cause if the request fails or the response cannot be read.
pub fn call(method: &str, url: &str, body: &str, timeout: Duration) -> Result<(u16, String), String> {
    let config = ureq::Agent::config_builder().http_status_as_error(false).timeout_global(Some(timeout));
    let agent = config.build().new_agent();
    let sent = match method {
        "GET" => agent.get(url).call(),
        "DELETE" => agent.delete(url).call(),
        "PUT" => agent.put(url).send(body),
        _ => agent.post(url).send(body),
    };
    let read = |mut response: ureq::http::Response<ureq::Body>| {
        Ok((
            response.status().as_u16(),
            response.body_mut().with_config().limit(MAX_RESPONSE_BYTES).read_to_string()?,
        ))
    };
    sent.and_then(read).map_err(|e| format!("{url}: {e}"))
}

/// Runs a walk to its end, and passes each page to `on_page` as it is received. Blocks the thread during waits.
pub fn run(mut walk: Walk, service: &Service, mut on_page: impl FnMut(&Page)) -> (End, Walk) {
    loop {
        match walk.step().clone() {
            Step::Request(query) => {
                if let Some(received) = walk.handle_reply(service.send(&query)) {
                    on_page(&received);
                }
            }
            Step::Wait(ms) => {
                std::thread::sleep(Duration::from_millis(ms));
                walk.wait_elapsed();
            }
            Step::End(end) => return (end, walk),
        }
    }
}

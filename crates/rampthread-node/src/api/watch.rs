//! Server-sent events about decided changes and the propagation of versions.

use super::ApiState;
use super::views::{ChangeView, SpreadView};
use rampthread_core::ids::Version;
use std::time::Duration;
use tide::Request;
use tide::sse::Sender;

/// Interval between checks for changes.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Checks without a change after which a heartbeat event keeps the connection alive.
const CHECKS_PER_HEARTBEAT: u32 = 50;

/// Sends a `decided` event for every version and a `spread` event whenever the propagation
/// changes.
pub async fn watch(request: Request<ApiState>, sender: Sender) -> tide::Result<()> {
    let control = &request.state().control;
    let mut last_sent = control.version();
    let mut last_spread = String::new();
    let mut unchanged_checks = 0;
    loop {
        let state = control.with_agent(|agent| agent.staged().clone());
        while last_sent < state.version() {
            last_sent = Version(last_sent.0 + 1);
            if let Some(recorded) = state.operation_at(last_sent) {
                let view = ChangeView::decided(
                    recorded.operation_id.clone(),
                    recorded.version,
                    &recorded.outcome,
                );
                send(&sender, "decided", &serde_json::to_string(&view)?).await?;
            }
        }
        if let Some(spread) = control.propagation_status().await {
            let text = serde_json::to_string(&SpreadView::from(&spread))?;
            if text != last_spread {
                send(&sender, "spread", &text).await?;
                last_spread = text;
                unchanged_checks = 0;
            }
        }
        unchanged_checks += 1;
        if unchanged_checks >= CHECKS_PER_HEARTBEAT {
            send(&sender, "heartbeat", "{}").await?;
            unchanged_checks = 0;
        }
        async_std::task::sleep(CHECK_INTERVAL).await;
    }
}

/// Sends one server-sent event; fails when the client has disconnected.
async fn send(sender: &Sender, name: &str, data: &str) -> tide::Result<()> {
    sender.send(name, data, None).await?;
    Ok(())
}

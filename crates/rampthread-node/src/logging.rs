//! Logs: one line an event on standard output, text for people or JSON.
//!
//! Writing never blocks: a thread of its own writes from a bounded queue. When
//! nobody reads, lines are dropped, counted, and told once lines get out again.

use crate::metrics::Metrics;
use std::io::IsTerminal;
use std::sync::Arc;
use std::time::Duration;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::util::TryInitError;

/// Lines that may wait to be written.
const QUEUE_LINES: usize = 4_096;
/// Time between two looks at the number of dropped lines.
const DROP_INTERVAL: Duration = Duration::from_secs(5);

/// Form of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
}

impl LogFormat {
    /// Text on a terminal, JSON elsewhere.
    pub fn by_terminal() -> Self {
        if std::io::stdout().is_terminal() {
            LogFormat::Text
        } else {
            LogFormat::Json
        }
    }
}

/// Why logs could not be set up.
#[derive(Debug, thiserror::Error)]
pub enum LoggingError {
    /// The filter cannot be read.
    #[error("log filter {filter:?}: {reason}")]
    Filter {
        /// What was given.
        filter: String,
        /// What is wrong.
        reason: String,
    },
    /// Logs were set up before.
    #[error(transparent)]
    Init(#[from] TryInitError),
}

/// Keeps the writer going; dropped, it writes what is left.
pub struct Logs {
    _guard: WorkerGuard,
    dropped: ErrorCounter,
}

/// Sets up logs for this process.
pub fn start_logging(format: LogFormat, filter: &str) -> Result<Logs, LoggingError> {
    use tracing_subscriber::util::SubscriberInitExt;
    let filter = EnvFilter::try_new(filter).map_err(|error| LoggingError::Filter {
        filter: filter.to_string(),
        reason: error.to_string(),
    })?;
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(QUEUE_LINES)
        .finish(std::io::stdout());
    let dropped = writer.error_counter();
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_target(false)
        .with_writer(writer);
    match format {
        LogFormat::Text => builder
            .with_ansi(std::io::stdout().is_terminal())
            .finish()
            .try_init()?,
        LogFormat::Json => builder
            .json()
            .flatten_event(true)
            .with_current_span(false)
            .with_span_list(false)
            .finish()
            .try_init()?,
    }
    Ok(Logs {
        _guard: guard,
        dropped,
    })
}

impl Logs {
    /// Tells and counts lines that were dropped, for ever.
    pub fn watch_drops(&self, metrics: Arc<Metrics>) -> impl Future<Output = ()> + Send + 'static {
        let dropped = self.dropped.clone();
        async move {
            let mut known = 0;
            loop {
                async_std::task::sleep(DROP_INTERVAL).await;
                let now = dropped.dropped_lines();
                let lines = now.saturating_sub(known) as u64;
                known = now;
                if lines > 0 {
                    metrics.log_lines_dropped.inc_by(lines);
                    tracing::warn!(lines, "log lines dropped: standard output was not read");
                }
            }
        }
    }
}

//! Logging to standard output, one line per event, as text or JSON.
//!
//! Logging does not block: a thread writes lines from a bounded queue. When standard output
//! is not read, lines are dropped and counted, and their number is logged once writing
//! succeeds again.

use crate::metrics::Metrics;
use std::io::IsTerminal;
use std::sync::Arc;
use std::time::Duration;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::util::TryInitError;

/// Maximum number of lines waiting to be written.
const MAX_QUEUED_LINES: usize = 4_096;
/// Interval between checks for dropped lines.
const DROP_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// Human-readable text.
    Text,
    /// One JSON object per line.
    Json,
}

impl LogFormat {
    /// Text if standard output is a terminal, else JSON.
    pub fn for_stdout() -> Self {
        if std::io::stdout().is_terminal() {
            LogFormat::Text
        } else {
            LogFormat::Json
        }
    }
}

/// Reason why logging could not be set up.
#[derive(Debug, thiserror::Error)]
pub enum LoggingError {
    /// The log filter is invalid.
    #[error("invalid log filter {filter:?}: {reason}")]
    Filter {
        /// The filter as given.
        filter: String,
        /// Message of the filter parser.
        reason: String,
    },
    /// Logging has already been set up in this process.
    #[error(transparent)]
    Init(#[from] TryInitError),
}

/// Handle of the writer thread. Writes the remaining lines when dropped.
pub struct Logs {
    _guard: WorkerGuard,
    dropped: ErrorCounter,
}

/// Sets up logging for this process.
pub fn start_logging(format: LogFormat, filter: &str) -> Result<Logs, LoggingError> {
    use tracing_subscriber::util::SubscriberInitExt;
    let filter = EnvFilter::try_new(filter).map_err(|error| LoggingError::Filter {
        filter: filter.to_string(),
        reason: error.to_string(),
    })?;
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_QUEUED_LINES)
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
    /// Logs and counts dropped lines; the future never completes.
    pub fn report_dropped_lines(
        &self,
        metrics: Arc<Metrics>,
    ) -> impl Future<Output = ()> + Send + 'static {
        let dropped = self.dropped.clone();
        async move {
            let mut known = 0;
            loop {
                async_std::task::sleep(DROP_CHECK_INTERVAL).await;
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

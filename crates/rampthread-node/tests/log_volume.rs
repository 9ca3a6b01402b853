//! The log volume must not grow with the size of the fleet.

use rampthread_core::fleet::{Decision, Status};
use rampthread_core::ids::NodeId;
use rampthread_node::clock::Clock;
use rampthread_node::decision_log::DecisionLog;
use std::io::Write;
use std::sync::{Arc, Mutex};
use tracing_subscriber::fmt::MakeWriter;

/// Lines that the rate limiter allows at once for each member status.
const BURST: usize = 20;

/// Log output collected in memory.
#[derive(Clone, Default)]
struct Captured(Arc<Mutex<Vec<u8>>>);

impl Write for Captured {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl MakeWriter<'_> for Captured {
    type Writer = Self;

    fn make_writer(&self) -> Self {
        self.clone()
    }
}

#[test]
fn many_simultaneous_member_changes_log_few_lines() {
    let captured = Captured::default();
    let subscriber = tracing_subscriber::fmt()
        .with_writer(captured.clone())
        .with_ansi(false)
        .finish();
    let decision_log = DecisionLog::new(Clock::start());
    tracing::subscriber::with_default(subscriber, || {
        for status in [Status::Alive, Status::Suspect] {
            for number in 0..1_000 {
                decision_log.record(Decision::MemberChanged {
                    id: NodeId::new(&format!("node-{number}")).unwrap(),
                    status,
                    incarnation: 1,
                });
            }
        }
        decision_log.report_suppressed();
    });
    let bytes = captured.0.lock().unwrap().clone();
    let text = String::from_utf8(bytes).unwrap();
    let logged = text.matches("member changed").count();
    assert!((2 * BURST..3 * BURST).contains(&logged), "{logged} lines");
    assert_eq!(text.matches("lines left out").count(), 2, "{text}");
    let suppressed: usize = text
        .lines()
        .filter(|line| line.contains("lines left out"))
        .filter_map(|line| {
            line.rsplit("lines=")
                .next()?
                .split_whitespace()
                .next()?
                .parse::<usize>()
                .ok()
        })
        .sum();
    assert_eq!(
        logged + suppressed,
        2_000,
        "every change has a line or is counted"
    );
}

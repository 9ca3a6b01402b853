//! Each store request is counted by its kind, so that operators see which kind grows.

mod control_support;

use control_support::{Documents, document, start, wait_until};

const ALL: &str = "rampthread_store_requests_total ";
const BY_KIND: &str = "rampthread_store_requests_by_kind_total{kind=\"";

/// Values of the metrics whose lines start with `begin`.
fn counts(text: &str, begin: &str) -> Vec<u64> {
    let lines = text.lines().filter(|line| line.starts_with(begin));
    let count = |line: &str| line.rsplit_once(' ')?.1.parse().ok();
    lines.filter_map(count).collect()
}

#[test]
fn store_requests_are_counted_by_kind() {
    let documents = Documents {
        old: document(1, 4),
        current: document(1, 4),
    };
    let (control, _) = start(documents, &[]);
    let kinds = ["document-read", "document-watch", "directory-read"];
    // The two counters of one request are not incremented at the same moment.
    wait_until(|| {
        let text = control.metrics.to_text();
        let by_kind: u64 = counts(&text, BY_KIND).iter().sum();
        let has = |kind: &&str| counts(&text, &format!("{BY_KIND}{kind}\"")).len() == 1;
        kinds.iter().all(has) && counts(&text, ALL) == [by_kind]
    });
}

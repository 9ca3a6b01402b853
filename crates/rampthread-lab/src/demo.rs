//! The demo: Bluebonnet of the brief on loopback, one change, one failure.

use crate::fleet::{Fleet, FleetError, FleetSpec};
use crate::load::{LoadPlan, LoadReport, Seen, run};
use http::Method;
use rampthread_core::config::{ChangeSet, Operation, Outcome, Resource, Secret};
use rampthread_core::fleet::ProposalReply;
use rampthread_core::ids::{OperationId, Version};
use rampthread_node::node::keyring;
use rampthread_node::settings::read_resource_toml;
use rampthread_wire::SecretKeeper;
use std::time::Duration;

const START_LIMIT: Duration = Duration::from_secs(20);
const CHANGE_LIMIT: Duration = Duration::from_secs(12);
const RATE: f64 = 200.0;
/// The node that is killed and started again.
const VICTIM: usize = 5;

/// What the demo showed.
#[derive(Debug)]
pub struct DemoSummary {
    /// Nodes.
    pub nodes: usize,
    /// Time from the first change to all nodes.
    pub first_change: Duration,
    /// Time from the second change to all nodes.
    pub second_change: Duration,
    /// What callers saw.
    pub report: LoadReport,
}

/// Applies a resource file through one node and returns its version.
pub async fn apply(
    fleet: &Fleet,
    index: usize,
    text: &str,
    operation: &str,
) -> Result<Version, FleetError> {
    let member = &fleet.members[index];
    let running = member.running.as_ref();
    let control = running.ok_or_else(|| FleetError::Change("the node is down".to_string()))?;
    let file = read_resource_toml("resources", text)?;
    let keys = keyring(&member.settings).map_err(rampthread_node::NodeError::from)?;
    let keys = keys.ok_or_else(|| FleetError::Change("the node has no keys".to_string()))?;
    let keeper = SecretKeeper::new(&keys);
    let secrets = file.secrets.into_iter().map(|input| {
        Resource::Secret(Secret {
            sealed: keeper.seal(&input.name, &input.value),
            name: input.name,
        })
    });
    let operations = secrets
        .chain(file.resources)
        .map(|resource| Operation::Put {
            resource: Box::new(resource),
            if_generation: None,
        })
        .collect();
    let change = ChangeSet {
        operation_id: OperationId::new(operation)?,
        operations,
    };
    let result = control.control.propose(change).await;
    match result.answer {
        ProposalReply::Decided {
            version,
            outcome: Outcome::Accepted,
            ..
        } => Ok(version),
        other => Err(FleetError::Change(format!("{other:?}"))),
    }
}

/// Runs the demo; calls are sent for `duration`.
pub async fn demo(duration: Duration, seed: u64) -> Result<DemoSummary, FleetError> {
    println!("starting 12 nodes, 12 back ends, a store and a machine list on loopback");
    let mut fleet = Fleet::start(FleetSpec::bluebonnet()).await?;
    let nodes = fleet.members.len();
    let resources = fleet.resource_file();
    let version = apply_when_ready(&fleet, &resources).await?;
    let first_change = fleet
        .wait_for_all(START_LIMIT, "first version everywhere", |control| {
            control.is_ready() && control.version() >= version
        })
        .await?;
    println!("version {version} applied through node-0, in force on all {nodes} nodes");
    let load = async_std::task::spawn(run(LoadPlan {
        entries: fleet.entries(),
        host: "bluebonnet".to_string(),
        path: "/glyphstore/manifest".to_string(),
        method: Method::GET,
        rate: RATE,
        duration,
        seed,
        patience: Duration::from_secs(5),
        headers: Vec::new(),
    }));
    async_std::task::sleep(duration / 4).await;
    let changed = resources.replace("timeout_ms = 2000", "timeout_ms = 1500");
    let version = apply(&fleet, 3, &changed, "demo-second-change").await?;
    let second_change = fleet
        .wait_for_all(CHANGE_LIMIT, "second version everywhere", |control| {
            control.version() >= version
        })
        .await?;
    println!(
        "version {version} applied through node-3 under load, everywhere after {second_change:?}"
    );
    async_std::task::sleep(duration / 8).await;
    println!("killing {} without a farewell", fleet.id(VICTIM));
    fleet.kill_member(VICTIM).await;
    async_std::task::sleep(duration / 4).await;
    fleet.start_member(VICTIM).await?;
    let back = fleet
        .wait_for_all(START_LIMIT, "the killed node back", |control| {
            control.is_ready() && control.version() >= version
        })
        .await?;
    println!(
        "{} started again and is ready at version {version} after {back:?}",
        fleet.id(VICTIM)
    );
    let report = load.await;
    fleet.stop().await;
    Ok(DemoSummary {
        nodes,
        first_change,
        second_change,
        report,
    })
}

/// The fleet finds its readers first; until then changes are not run.
pub async fn apply_when_ready(fleet: &Fleet, resources: &str) -> Result<Version, FleetError> {
    let begun = std::time::Instant::now();
    loop {
        match apply(fleet, 0, resources, "first-change").await {
            Err(FleetError::Change(reason)) if begun.elapsed() < START_LIMIT => {
                tracing::info!(%reason, "not accepted yet");
                async_std::task::sleep(Duration::from_millis(200)).await;
            }
            result => return result,
        }
    }
}

impl DemoSummary {
    /// True when every caller got its own answer or a true refusal.
    pub fn is_clean(&self) -> bool {
        self.report.count(Seen::Wrong) == 0 && self.report.count(Seen::Answer) > 0
    }

    /// Prints the summary.
    pub fn print(&self) {
        let report = &self.report;
        println!("\nsummary");
        println!("  nodes                        {}", self.nodes);
        println!("  first change in force after  {:?}", self.first_change);
        println!("  second change in force after {:?}", self.second_change);
        println!("  calls                        {}", report.sent);
        println!(
            "  answered whole               {}",
            report.count(Seen::Answer)
        );
        println!(
            "  refused, not run             {}",
            report.count(Seen::NotRun)
        );
        println!(
            "  outcome unknown              {}",
            report.count(Seen::Unknown)
        );
        println!(
            "  wrong answers                {}",
            report.count(Seen::Wrong)
        );
        println!(
            "  latency p50 / p99 / p99.9    {:.2} / {:.2} / {:.2} ms",
            report.quantile_ms(0.5),
            report.quantile_ms(0.99),
            report.quantile_ms(0.999)
        );
    }
}

//! The path of a call: what it adds, and what it does under overload and with
//! a slow back end, against plain baselines in the same run.

use super::report::{ExperimentResult, Series};
use super::resources::Reading;
use super::{ExperimentError, Options};
use crate::demo::apply_when_ready;
use crate::fleet::{Fleet, FleetSpec, ServiceSpec};
use crate::load::{LoadPlan, LoadReport, Seen, run};
use http::Method;
use rampthread_core::call::balance::BalanceMode;
use rampthread_node::calls::entry::EntryMode;
use rampthread_node::control::Control;
use std::net::SocketAddr;
use std::time::Duration;

const RATES: [f64; 3] = [500.0, 2_000.0, 6_000.0];
/// Longest wait until a fleet serves.
const START_LIMIT: Duration = Duration::from_secs(120);
const TIME: Duration = Duration::from_secs(6);
/// Direct calls beside the calls through the mesh.
const DIRECT_SHARE: f64 = 0.2;
/// A direct call's load is small against its back end's capacity.
const QUANTILES: [(&str, f64); 3] = [("median", 0.5), ("p99", 0.99), ("p99.9", 0.999)];
const MEAN_SERVICE: Duration = Duration::from_millis(10);
const SLOTS: u32 = 5;
const BACKENDS: usize = 4;
const PATIENCE: Duration = Duration::from_millis(500);
/// No limits, no budget, in turn.
const PLAIN: EntryMode = EntryMode {
    balance: BalanceMode::RoundRobin,
    limit_retries: false,
};
const PLAIN_SETTINGS: &str = "[limits]\nqueue_percent = 1000000";

fn plan(
    entries: Vec<SocketAddr>,
    path: &str,
    rate: f64,
    seed: u64,
    patience: Duration,
) -> LoadPlan {
    LoadPlan {
        entries,
        host: "bench".to_string(),
        path: path.to_string(),
        method: Method::GET,
        rate,
        duration: TIME,
        seed,
        patience,
        headers: Vec::new(),
    }
}

/// Starts a fleet and waits until its configuration is in force everywhere.
async fn start(spec: FleetSpec) -> Result<Fleet, ExperimentError> {
    let fleet = Fleet::start(spec).await?;
    let version = apply_when_ready(&fleet, &fleet.resource_file()).await?;
    let what = format!("version {version} in force everywhere");
    let ready = |control: &Control| control.is_ready() && control.version() >= version;
    fleet.wait_for_all(START_LIMIT, &what, ready).await?;
    Ok(fleet)
}

/// Time that the path adds to a direct call to the same back ends.
pub async fn added_latency(options: &Options) -> Result<ExperimentResult, ExperimentError> {
    let mut result = ExperimentResult::new("added-latency", options);
    let mut spec = FleetSpec::bluebonnet();
    for service in &mut spec.services {
        service.mean_service = Duration::ZERO;
    }
    let fleet = start(spec).await?;
    let direct: Vec<SocketAddr> = fleet
        .members
        .iter()
        .filter(|member| member.service == "embed")
        .map(|member| member.backend.address)
        .collect();
    for rate in RATES {
        let patience = Duration::from_secs(5);
        let before = Reading::now()?;
        let mesh = plan(fleet.entries(), "/embed/x", rate, options.seed, patience);
        let alone = plan(
            direct.clone(),
            "/embed/x",
            rate * DIRECT_SHARE,
            options.seed + 1,
            patience,
        );
        let mesh = async_std::task::spawn(run(mesh));
        let alone = run(alone).await;
        let mesh = mesh.await;
        let cores = before.cores_until(&Reading::now()?);
        for (name, quantile) in QUANTILES {
            let (through, past) = (mesh.quantile_ms(quantile), alone.quantile_ms(quantile));
            result.add(format!("{rate} calls/s, {name}: direct"), past, "ms");
            result.add(
                format!("{rate} calls/s, {name}: added"),
                through - past,
                "ms",
            );
        }
        result.add(
            format!("{rate} calls/s: cores in use, load tool included"),
            cores,
            "",
        );
        let answered = mesh.count(Seen::Answer) as f64 / mesh.sent.max(1) as f64;
        result.add(format!("{rate} calls/s: answered"), answered * 100.0, "%");
        result.add(
            format!("{rate} calls/s: wrong answers"),
            mesh.count(Seen::Wrong) as f64,
            "",
        );
    }
    fleet.stop().await;
    Ok(result)
}

fn busy_spec(mode: EntryMode, settings: &str) -> FleetSpec {
    FleetSpec {
        services: vec![ServiceSpec {
            name: "shop".to_string(),
            backends: BACKENDS,
            slots: SLOTS,
            connections: 100,
            mean_service: MEAN_SERVICE,
        }],
        mode,
        extra_settings: settings.to_string(),
        ..FleetSpec::bluebonnet()
    }
}

fn goodput(report: &LoadReport) -> f64 {
    report.count(Seen::Answer) as f64 / report.duration.as_secs_f64()
}

/// Goodput at half, whole and one and a half times the capacity.
pub async fn overload(options: &Options) -> Result<ExperimentResult, ExperimentError> {
    let mut result = ExperimentResult::new("overload", options);
    let capacity = BACKENDS as f64 * f64::from(SLOTS) / MEAN_SERVICE.as_secs_f64();
    result.add("capacity", capacity, "1/s");
    for (label, mode, settings) in [
        ("rampthread", EntryMode::default(), ""),
        ("plain baseline", PLAIN, PLAIN_SETTINGS),
    ] {
        let fleet = start(busy_spec(mode, settings)).await?;
        let mut points = Vec::new();
        for share in [0.5, 1.0, 1.5] {
            let plan = plan(
                fleet.entries(),
                "/shop/x",
                capacity * share,
                options.seed,
                PATIENCE,
            );
            let report = run(plan).await;
            points.push((share, goodput(&report)));
            let at = format!("{label}, {share} of capacity");
            result.add(format!("{at}: goodput"), goodput(&report), "1/s");
            result.add(
                format!("{at}: p99 of answers"),
                report.quantile_ms(0.99),
                "ms",
            );
            result.add(
                format!("{at}: refused"),
                report.count(Seen::NotRun) as f64,
                "",
            );
            async_std::task::sleep(Duration::from_secs(2)).await;
        }
        result.series.push(Series {
            label: label.to_string(),
            points,
        });
        fleet.stop().await;
    }
    Ok(result)
}

/// The tail with one back end ten times slower, and with one that is cold.
pub async fn slow_backend(options: &Options) -> Result<ExperimentResult, ExperimentError> {
    let mut result = ExperimentResult::new("slow-backend", options);
    let rate = BACKENDS as f64 * f64::from(SLOTS) / MEAN_SERVICE.as_secs_f64() * 0.4;
    for (label, mode, settings) in [
        ("rampthread", EntryMode::default(), ""),
        ("plain baseline", PLAIN, PLAIN_SETTINGS),
    ] {
        let fleet = start(busy_spec(mode, settings)).await?;
        for (name, factor) in [("all alike", 1), ("one 10 times slower", 10)] {
            slow_down(&fleet, factor);
            let plan = plan(
                fleet.entries(),
                "/shop/x",
                rate,
                options.seed,
                Duration::from_secs(5),
            );
            let report = run(plan).await;
            for (quantile_name, quantile) in QUANTILES {
                let value = report.quantile_ms(quantile);
                result.add(format!("{label}, {name}: {quantile_name}"), value, "ms");
            }
            let answered = report.count(Seen::Answer) as f64 / report.sent.max(1) as f64 * 100.0;
            result.add(format!("{label}, {name}: answered"), answered, "%");
        }
        fleet.stop().await;
    }
    Ok(result)
}

fn slow_down(fleet: &Fleet, factor: u64) {
    let backend = &fleet.members[0].backend;
    let mean = MEAN_SERVICE.as_micros() as u64 * factor;
    backend
        .standin
        .change(|behaviour| behaviour.mean_service_us = mean);
}

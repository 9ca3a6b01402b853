//! A small deployment: a store with a configuration, nodes, and a back end beside each node.

use crate::backend::{Backend, BackendSpec, Plan};
use crate::fleet::{Fleet, NodeSpec};
use crate::record::Record;
use crate::store::Store;
use crate::wire::Head;
use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

pub const HOST: &str = "fonts.example";
const START_LIMIT: Duration = Duration::from_secs(20);

pub struct Route {
    pub name: &'static str,
    pub prefix: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_ms: u64,
}

/// What the operator writes, with the limits that the bench's example shows.
pub fn document(version: u32, services: &[&str], routes: &[Route]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_connections\":130,\
             \"protocol\":\"h1\",\"tls\":false}}"
            )
        })
        .collect();
    let routes: Vec<String> = routes
        .iter()
        .map(|route| {
            format!(
                "{{\"name\":\"{}\",\"host\":\"{HOST}\",\"path_prefix\":\"{}\",\"kind\":\"{}\",\
             \"timeout_ms\":{},\"target_latency_ms\":1500,\"priority\":1,\"service\":\"{}\",\
             \"max_attempts\":2}}",
                route.name, route.prefix, route.kind, route.timeout_ms, route.service
            )
        })
        .collect();
    format!(
        "{{\"version\":\"{version:08x}\",\"routes\":[{}],\"services\":[{}],\"limits\":{{\
         \"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

pub struct Deployment {
    pub fleet: Fleet,
    pub backends: Vec<Backend>,
}

/// Starts everything and waits until each node is ready and knows all back ends.
pub fn start(
    record: &Record,
    document: &str,
    nodes: Vec<NodeSpec>,
    slots: usize,
    plan: impl Fn(&Head, usize) -> Plan + Send + Sync + Clone + 'static,
) -> Result<Deployment, String> {
    let store = Store::start(IpAddr::V4(Ipv4Addr::LOCALHOST));
    store.write("op/config", document);
    let mut fleet = Fleet::new(record, store.address, nodes);
    let backends: Vec<Backend> = (0..fleet.count())
        .map(|index| {
            let spec = BackendSpec {
                id: format!("i-{index}"),
                service: fleet.service(index),
                zone: fleet.zone(index),
                slots,
                address: fleet.app(index),
                reports: fleet.reports(index),
            };
            Backend::start(record, spec, plan.clone())
        })
        .collect();
    fleet.start_all();
    if !fleet.wait_until_known(backends.len(), START_LIMIT) {
        return Err("the nodes didn't become ready in time".to_string());
    }
    record.tell(format!(
        "{} nodes ready, each knows all back ends",
        fleet.count()
    ));
    Ok(Deployment { fleet, backends })
}

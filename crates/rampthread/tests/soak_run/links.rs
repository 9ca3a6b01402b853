//! Proxies between each node and the store, and between each node and its back end.

use crate::fault_proxy::{Fault, FaultProxy};
use crate::platform_support::PlatformFleet;
use crate::soak_history::recorder::Recorder;
use crate::soak_history::{Side, What};
use crate::soak_schedule::LinkFault;
use std::net::{IpAddr, Ipv4Addr};

/// From the third byte of a node's address to that of its proxies.
const PROXY_BLOCKS: u8 = 128;

/// A proxy and the faults that are in force on it, by the steps that brought them.
struct Link {
    proxy: FaultProxy,
    faults: Vec<(usize, LinkFault)>,
}

impl Link {
    fn new(proxy: FaultProxy) -> Self {
        Self {
            proxy,
            faults: Vec::new(),
        }
    }

    /// The newest fault is the one that strikes.
    fn apply(&self) {
        let newest = self.faults.last();
        self.proxy
            .set(newest.map_or(Fault::None, |(_, fault)| proxy_fault(*fault)));
    }
}

#[derive(Default)]
pub struct Links {
    stores: Vec<Link>,
    back_ends: Vec<Link>,
}

impl Links {
    pub fn put_between(&mut self, fleet: &mut PlatformFleet, ips: &[IpAddr]) {
        for (ip, backend) in ips.iter().zip(fleet.backends.clone()) {
            let proxy_ip = proxy_ip(*ip);
            let proxy = FaultProxy::start(proxy_ip, fleet.store.address);
            fleet.reach_store_at(proxy.address);
            self.stores.push(Link::new(proxy));
            let proxy = FaultProxy::start(proxy_ip, backend.address);
            backend.reached_at(proxy.address);
            self.back_ends.push(Link::new(proxy));
        }
    }

    /// Nodes that wait at the store for news.
    pub fn watchers(&self) -> Vec<usize> {
        (0..self.stores.len())
            .filter(|node| self.stores[*node].proxy.waits_for_an_answer())
            .collect()
    }

    fn link(&mut self, side: Side, node: usize) -> &mut Link {
        match side {
            Side::Store => &mut self.stores[node],
            Side::BackEnd => &mut self.back_ends[node],
        }
    }

    pub fn disturb(
        &mut self,
        recorder: &Recorder,
        (side, node): (Side, usize),
        step: usize,
        fault: LinkFault,
    ) {
        let disturbed = true;
        recorder.note(What::Link {
            node,
            side,
            disturbed,
        });
        let link = self.link(side, node);
        link.faults.push((step, fault));
        link.apply();
    }

    pub fn end(&mut self, recorder: &Recorder, (side, node): (Side, usize), step: usize) {
        let link = self.link(side, node);
        link.faults.retain(|(own, _)| *own != step);
        link.apply();
        if link.faults.is_empty() {
            let disturbed = false;
            recorder.note(What::Link {
                node,
                side,
                disturbed,
            });
        }
    }
}

/// Address of the proxies in front of a node's peers: another one than the node's, for
/// their connections must not take a port that the node comes back to.
pub fn proxy_ip(node: IpAddr) -> IpAddr {
    match node {
        IpAddr::V4(node) => {
            let [first, second, third, fourth] = node.octets();
            Ipv4Addr::new(first, second, third + PROXY_BLOCKS, fourth).into()
        }
        IpAddr::V6(_) => node,
    }
}

fn proxy_fault(fault: LinkFault) -> Fault {
    match fault {
        LinkFault::Delayed => Fault::Delayed,
        LinkFault::Reset => Fault::Reset,
        LinkFault::Silent => Fault::Silent,
        LinkFault::AnswersLost => Fault::AnswersLost,
        LinkFault::RequestsLost => Fault::RequestsLost,
        LinkFault::Narrow => Fault::Narrow,
        LinkFault::Forgotten => Fault::Forgotten,
    }
}

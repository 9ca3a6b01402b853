//! Encodes and decodes the loads of services and tenants.

use crate::control_capnp as schema;
use crate::decode::{DecodeError, check_length};
use rampthread_core::fleet::{LoadReport, ServiceLoad, TenantHash, TenantLoad, ZoneLoad};
use rampthread_core::ids::{ResourceName, Zone};
use std::time::Duration;

type ServicesWriter<'a> = capnp::struct_list::Builder<'a, schema::service_load::Owned>;
type ServicesReader<'a> = capnp::struct_list::Reader<'a, schema::service_load::Owned>;
type TenantsWriter<'a> = capnp::struct_list::Builder<'a, schema::tenant_load::Owned>;
type TenantsReader<'a> = capnp::struct_list::Reader<'a, schema::tenant_load::Owned>;
type ZonesWriter<'a> = capnp::struct_list::Builder<'a, schema::zone_load::Owned>;
type ZonesReader<'a> = capnp::struct_list::Reader<'a, schema::zone_load::Owned>;
type ReportWriter<'a> = schema::envelope::message::load_report::Builder<'a>;
type ReportReader<'a> = schema::envelope::message::load_report::Reader<'a>;

pub(crate) fn write_report(mut to: ReportWriter<'_>, report: &LoadReport) {
    to.set_nodes(count(report.nodes));
    to.set_period_millis(whole_millis(report.period));
    let services = report.services.len() as u32;
    write_services(to.reborrow().init_services(services), &report.services);
    let tenants = report.tenants.len() as u32;
    write_tenants(to.init_tenants(tenants), &report.tenants);
}

pub(crate) fn read_report(from: ReportReader<'_>) -> Result<LoadReport, DecodeError> {
    Ok(LoadReport {
        nodes: from.get_nodes().into(),
        period: Duration::from_millis(from.get_period_millis().into()),
        services: read_services(from.get_services()?)?,
        tenants: read_tenants(from.get_tenants()?)?,
    })
}

pub(crate) fn write_zones(mut to: ZonesWriter<'_>, zones: &[ZoneLoad]) {
    for (index, zone) in zones.iter().enumerate() {
        let mut to = to.reborrow().get(index as u32);
        to.set_zone(zone.zone.as_str());
        to.set_age_millis(whole_millis(zone.age));
        to.set_nodes(count(zone.nodes));
        let services = zone.services.len() as u32;
        write_services(to.reborrow().init_services(services), &zone.services);
        let tenants = zone.tenants.len() as u32;
        write_tenants(to.init_tenants(tenants), &zone.tenants);
    }
}

pub(crate) fn read_zones(list: ZonesReader<'_>) -> Result<Vec<ZoneLoad>, DecodeError> {
    check_length(list.len())?;
    list.iter()
        .map(|from| {
            Ok(ZoneLoad {
                zone: Zone::new(from.get_zone()?.to_str()?)?,
                age: Duration::from_millis(from.get_age_millis().into()),
                nodes: from.get_nodes().into(),
                services: read_services(from.get_services()?)?,
                tenants: read_tenants(from.get_tenants()?)?,
            })
        })
        .collect()
}

fn write_services(mut to: ServicesWriter<'_>, services: &[ServiceLoad]) {
    for (index, service) in services.iter().enumerate() {
        let mut to = to.reborrow().get(index as u32);
        to.set_service(service.service.as_str());
        to.set_capacity(service.capacity);
        to.set_busy(service.busy);
        to.set_waiting(service.waiting);
        to.set_demand(service.demand);
    }
}

fn read_services(list: ServicesReader<'_>) -> Result<Vec<ServiceLoad>, DecodeError> {
    check_length(list.len())?;
    list.iter()
        .map(|from| {
            Ok(ServiceLoad {
                service: ResourceName::new(from.get_service()?.to_str()?)?,
                capacity: from.get_capacity(),
                busy: from.get_busy(),
                waiting: from.get_waiting(),
                demand: from.get_demand(),
            })
        })
        .collect()
}

fn write_tenants(mut to: TenantsWriter<'_>, tenants: &[TenantLoad]) {
    for (index, tenant) in tenants.iter().enumerate() {
        let mut to = to.reborrow().get(index as u32);
        to.set_tenant(tenant.tenant.0);
        to.set_asked(tenant.requested_millirps);
        to.set_admitted(tenant.admitted_millirps);
    }
}

fn read_tenants(list: TenantsReader<'_>) -> Result<Vec<TenantLoad>, DecodeError> {
    check_length(list.len())?;
    let read = |from: schema::tenant_load::Reader<'_>| TenantLoad {
        tenant: TenantHash(from.get_tenant()),
        requested_millirps: from.get_asked(),
        admitted_millirps: from.get_admitted(),
    };
    Ok(list.iter().map(read).collect())
}

fn count(nodes: u32) -> u16 {
    nodes.try_into().unwrap_or(u16::MAX)
}

fn whole_millis(time: Duration) -> u32 {
    time.as_millis().try_into().unwrap_or(u32::MAX)
}

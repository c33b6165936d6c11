//! Deployments with the proportions of the fleet planned for two years from now.

use super::Result;
use crate::deployment::{Deployment, Spec};

/// Number of services in the configuration, with or without targets.
pub(super) const SERVICES: usize = 70;

/// 630 targets over 70 services.
const TARGETS_PER_SERVICE: usize = 9;

/// Number of failure domains.
const DOMAINS: usize = 7;

/// With this number each service takes about 1.5 KB of the file.
const KINDS_PER_SERVICE: usize = 15;

/// Id of a service.
pub(super) fn service_id(index: usize) -> String {
    format!("s{:03}", index + 1)
}

/// Text of a configuration with the given number of services and 15 kinds each.
fn config_text(services: usize) -> String {
    let mut text = "[basilbay]\nversion = 1\n".to_owned();
    for domain in 1..=DOMAINS {
        let region = domain % 2 + 1;
        text.push_str(&format!("\n[domain d{domain}]\nregion = r{region}\n"));
    }
    for index in 0..services {
        let name = service_id(index);
        text.push_str(&format!(
            "\n[service {name}]\nslots = 18\nconnections = 260\n"
        ));
        for kind in 1..=KINDS_PER_SERVICE {
            text.push_str(&format!(
                "\n[kind {name}/k{kind:02}]\npath = /k{kind:02}\nmethods = GET POST\nweight = 2\n\
                 idempotent = yes\ndeadline_ms = 2000\n"
            ));
        }
    }
    text
}

/// Deployment with the given numbers of daemons, nine per service, and of configured services.
pub(super) fn deployment(daemons: usize, services: usize) -> Result<Deployment> {
    let names: Vec<String> = (0..daemons.div_ceil(TARGETS_PER_SERVICE))
        .map(service_id)
        .collect();
    let kinds = [("k01", 1.0, 1)];
    let specs = names.iter().enumerate().map(|(index, name)| {
        let targets = TARGETS_PER_SERVICE.min(daemons - index * TARGETS_PER_SERVICE);
        let spec: Spec<'_> = (name.as_str(), targets, &kinds[..]);
        spec
    });
    let specs: Vec<Spec<'_>> = specs.collect();
    Deployment::new("capacity", &config_text(services), &specs)
}

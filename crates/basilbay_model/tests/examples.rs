//! The example configurations of both deployments.

use basilbay_model::config::Config;

const CARONI: &str = include_str!("../../../examples/caroni.ini");
const OZOLINI: &str = include_str!("../../../examples/ozolini.ini");

/// Guards against an example that the checker rejects or whose sizes differ from its deployment.
#[test]
fn examples_parse() {
    for (text, connections) in [(CARONI, 260), (OZOLINI, 240)] {
        let config = Config::parse("example", text).unwrap();
        assert_eq!(config.domains.len(), 4);
        assert_eq!(config.services.len(), 3);
        for service in &config.services {
            assert_eq!(service.contract.slots, 18);
            assert_eq!(service.contract.connections, connections);
        }
    }
}

/// Guards against a write that is treated as idempotent, so that a retry could run it twice.
#[test]
fn writes_not_idempotent() {
    let caroni = Config::parse("caroni.ini", CARONI).unwrap();
    let ozolini = Config::parse("ozolini.ini", OZOLINI).unwrap();
    let writes = [
        (&caroni, "slotdesk", "/bookings"),
        (&caroni, "paydesk", "/payments"),
        (&ozolini, "orders-house", "/orders"),
        (&ozolini, "press-room", "/batches"),
    ];
    for (config, service, path) in writes {
        let service = config.service(service).unwrap();
        assert!(!service.kind("POST", path).unwrap().idempotent);
        let read = service.kind("GET", path);
        assert!(read.is_none_or(|kind| kind.idempotent));
    }
    let fit = caroni.service("fitfinder").unwrap().kind("GET", "/fit");
    assert!(fit.unwrap().idempotent);
}

/// Guards against a routes example that the checker rejects or that changes when it is printed.
#[test]
fn routes_parse() {
    let text = include_str!("../../../examples/routes.ini");
    let config = Config::parse("routes.ini", text).unwrap();
    let route = config.route("parts.example", "/fit/22").unwrap();
    assert_eq!(&*route.choose(0).unwrap().clone(), "fitfinder");
    assert_eq!(&*route.choose(u64::MAX).unwrap().clone(), "fitfinder-next");
    assert_eq!(
        Config::parse("printed", &config.to_string()).unwrap(),
        config
    );
}

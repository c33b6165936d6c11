//! HTTP handlers of a proxy's control listener.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};

use super::fault::{Command, Status};
use super::find;
use super::link::Link;
use crate::web::{self, Response, Result};

pub(super) async fn handle(
    links: Arc<[Arc<Link>]>,
    request: Request<Incoming>,
) -> Result<Response> {
    if request.uri().path() != "/fake/proxy" {
        return Ok(web::empty(StatusCode::NOT_FOUND));
    }
    Ok(match *request.method() {
        Method::GET => {
            let status: Vec<Status> = links.iter().map(|link| link.status()).collect();
            web::json(StatusCode::OK, &status)
        }
        Method::PUT => match web::read_json::<Command>(request.into_body()).await {
            Ok(command) => execute(&links, &command),
            Err(error) => web::text(StatusCode::BAD_REQUEST, format!("{error:#}\n")),
        },
        _ => web::empty(StatusCode::METHOD_NOT_ALLOWED),
    })
}

fn execute(links: &[Arc<Link>], command: &Command) -> Response {
    let Some(name) = &command.route else {
        links.iter().for_each(|link| apply(link, command));
        return web::empty(StatusCode::NO_CONTENT);
    };
    match find(links, name) {
        Some(link) => {
            apply(link, command);
            web::empty(StatusCode::NO_CONTENT)
        }
        None => web::text(StatusCode::NOT_FOUND, format!("unknown route {name}\n")),
    }
}

fn apply(link: &Link, command: &Command) {
    if let Some(faults) = command.faults {
        link.set_faults(faults);
    }
    if command.cut {
        link.reset_connections();
    }
}

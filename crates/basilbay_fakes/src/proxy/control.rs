//! The control listener of a proxy.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};

use super::fault::{Order, Status};
use super::find;
use super::link::Link;
use crate::web::{self, Answer, Result};

/// Answers one request.
pub(super) async fn answer(links: Arc<[Arc<Link>]>, request: Request<Incoming>) -> Result<Answer> {
    if request.uri().path() != "/fake/proxy" {
        return Ok(web::empty(StatusCode::NOT_FOUND));
    }
    Ok(match *request.method() {
        Method::GET => {
            let status: Vec<Status> = links.iter().map(|link| link.status()).collect();
            web::json(StatusCode::OK, &status)
        }
        Method::PUT => match web::read_json::<Order>(request.into_body()).await {
            Ok(order) => obey(&links, &order),
            Err(error) => web::text(StatusCode::BAD_REQUEST, format!("{error:#}\n")),
        },
        _ => web::empty(StatusCode::METHOD_NOT_ALLOWED),
    })
}

fn obey(links: &[Arc<Link>], order: &Order) -> Answer {
    let Some(name) = &order.route else {
        links.iter().for_each(|link| apply(link, order));
        return web::empty(StatusCode::NO_CONTENT);
    };
    match find(links, name) {
        Some(link) => {
            apply(link, order);
            web::empty(StatusCode::NO_CONTENT)
        }
        None => web::text(StatusCode::NOT_FOUND, format!("unknown route {name}\n")),
    }
}

fn apply(link: &Link, order: &Order) {
    if let Some(faults) = order.faults {
        link.set_faults(faults);
    }
    if order.cut {
        link.cut();
    }
}

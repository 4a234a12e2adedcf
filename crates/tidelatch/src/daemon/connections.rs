//! Connections of users and workers: HTTP requests in, the core's answers out.

use super::inbox::REPORT_PATH;
use super::{Event, TICK_INTERVAL};
use crate::admission::{Admission, AdmittedConnection};
use crate::http::{Connection, HttpError, Request};
use smol::channel::Sender;
use smol::future::FutureExt;
use smol::net::TcpListener;
use smol::{Executor, Timer};
use std::sync::Arc;
use std::time::Instant;
use tidelatch_core::{Answer, Method};

/// Body of the answer to what is no request.
const UNREADABLE: &[u8] = br#"{"error":"malformed or too large"}"#;
/// Body of the answer to a worker beyond those that the socket budget allows.
const TOO_MANY_WORKERS: &[u8] = br#"{"error":"too many workers report here"}"#;
/// Body of the answer to a method that the service does not know.
const METHOD_NOT_ALLOWED: &[u8] = br#"{"error":"method not allowed"}"#;

/// Accepts connections for as long as the process runs.
pub(super) async fn accept(
    executor: Arc<Executor<'static>>,
    listener: TcpListener,
    events: Sender<Event>,
    admission: Arc<Admission>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Out of sockets, most likely: some will close soon.
            Timer::after(TICK_INTERVAL).await;
            continue;
        };
        let Some(admitted) = admission.admit(Instant::now()) else {
            drop(stream);
            continue;
        };
        let events = events.clone();
        executor
            .spawn(async move {
                let ended = async {
                    admitted.wait_for_eviction().await;
                    Ok(())
                };
                let served = serve_connection(Connection::new(stream), events, &admitted)
                    .or(ended)
                    .await;
                if let Err(error) = served {
                    tracing::debug!("a connection ended: {error}");
                }
            })
            .detach();
    }
}

/// Serves one connection, request after request.
async fn serve_connection(
    mut connection: Connection,
    events: Sender<Event>,
    admitted: &AdmittedConnection,
) -> Result<(), HttpError> {
    loop {
        admitted.set_idle();
        match connection.wait_for_request().await {
            Err(HttpError::Closed) => return Ok(()),
            other => other?,
        }
        admitted.set_reading();
        let request = match connection.read_request().await {
            Ok(request) => request,
            Err(error) => return reject_unreadable(&mut connection, error).await,
        };
        if !admitted.set_answering(request.path == REPORT_PATH) {
            return connection.write_response(503, Some(1), TOO_MANY_WORKERS, false).await;
        }
        let keep_alive = request.keep_alive;
        let Some(method) = parse_method(&request.method) else {
            connection
                .write_response(405, None, METHOD_NOT_ALLOWED, keep_alive)
                .await?;
            continue;
        };
        let Some(answer) = ask_core(&events, method, request).await else {
            return Ok(());
        };
        connection
            .write_response(answer.status, answer.retry_after_s, answer.body.as_bytes(), keep_alive)
            .await?;
        if !keep_alive {
            return Ok(());
        }
    }
}

/// Answers what could not be read as a request, if the connection still can be written to.
async fn reject_unreadable(connection: &mut Connection, error: HttpError) -> Result<(), HttpError> {
    let status = match error {
        HttpError::Malformed => 400,
        HttpError::BodyTooLarge => 413,
        HttpError::HeadTooLarge => 431,
        HttpError::Closed | HttpError::Io(_) => return Err(error),
    };
    connection.write_response(status, None, UNREADABLE, false).await
}

fn parse_method(name: &str) -> Option<Method> {
    match name {
        "GET" => Some(Method::Get),
        "POST" => Some(Method::Post),
        "DELETE" => Some(Method::Delete),
        _ => None,
    }
}

/// Hands a request to the core and waits for its answer; none if the daemon is ending.
async fn ask_core(events: &Sender<Event>, method: Method, request: Request) -> Option<Answer> {
    let (reply, answer) = smol::channel::bounded(1);
    let event = Event::Request {
        method,
        path: request.path,
        body: request.body,
        reply,
    };
    events.send(event).await.ok()?;
    answer.recv().await.ok()
}

//! Serves the HTTP connections of users and workers: passes each request to the core and writes back its answer.

use super::inbox::REPORT_PATH;
use super::{IncomingEvent, TICK_INTERVAL};
use crate::admission::{Admission, AdmittedConnection};
use crate::http::{Connection, HttpError, Request};
use smol::channel::Sender;
use smol::future::FutureExt;
use smol::net::TcpListener;
use smol::{Executor, Timer};
use std::sync::Arc;
use std::time::Instant;
use tidelatch_core::{Answer, Method};

/// Response body for input that cannot be read as an HTTP request.
const MALFORMED_REQUEST_BODY: &[u8] = br#"{"error":"malformed or too large"}"#;
/// Response body for a worker that exceeds the number of worker connections in the socket budget.
const TOO_MANY_WORKERS_BODY: &[u8] = br#"{"error":"too many workers report here"}"#;
/// Response body for an unsupported HTTP method.
const METHOD_NOT_ALLOWED_BODY: &[u8] = br#"{"error":"method not allowed"}"#;

/// Accepts connections until the process ends, and spawns a task to serve each admitted one.
pub(super) async fn accept_connections(
    executor: Arc<Executor<'static>>,
    listener: TcpListener,
    events: Sender<IncomingEvent>,
    admission: Arc<Admission>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Most likely the process is out of sockets: wait until some are closed, then retry.
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
                let evicted = async {
                    admitted.wait_for_eviction().await;
                    Ok(())
                };
                let result = serve_connection(Connection::new(stream), events, &admitted)
                    .or(evicted)
                    .await;
                if let Err(error) = result {
                    tracing::debug!("incoming connection closed: {error}");
                }
            })
            .detach();
    }
}

/// Serves the requests of one connection in sequence until it is closed.
async fn serve_connection(
    mut connection: Connection,
    events: Sender<IncomingEvent>,
    admitted: &AdmittedConnection,
) -> Result<(), HttpError> {
    loop {
        admitted.set_idle();
        match connection.wait_for_request().await {
            Err(HttpError::Closed) => return Ok(()),
            result => result?,
        }
        admitted.set_reading();
        let request = match connection.read_request().await {
            Ok(request) => request,
            Err(error) => return reject_malformed_request(&mut connection, error).await,
        };
        if !admitted.try_set_answering(request.path == REPORT_PATH) {
            return connection
                .write_response(503, Some(1), TOO_MANY_WORKERS_BODY, false)
                .await;
        }
        let keep_alive = request.keep_alive;
        let Some(method) = parse_method(&request.method) else {
            connection
                .write_response(405, None, METHOD_NOT_ALLOWED_BODY, keep_alive)
                .await?;
            continue;
        };
        let Some(answer) = send_to_core(&events, method, request).await else {
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

/// Responds to a request that could not be read, or returns the error if the connection cannot be written to.
async fn reject_malformed_request(connection: &mut Connection, error: HttpError) -> Result<(), HttpError> {
    let status = match error {
        HttpError::Malformed => 400,
        HttpError::BodyTooLarge => 413,
        HttpError::HeadTooLarge => 431,
        HttpError::Closed | HttpError::Io(_) => return Err(error),
    };
    connection
        .write_response(status, None, MALFORMED_REQUEST_BODY, false)
        .await
}

/// Parses the HTTP method; `None` if it is unsupported.
fn parse_method(name: &str) -> Option<Method> {
    match name {
        "GET" => Some(Method::Get),
        "POST" => Some(Method::Post),
        "DELETE" => Some(Method::Delete),
        _ => None,
    }
}

/// Sends a request to the core and waits for its answer; `None` if the daemon is stopping.
async fn send_to_core(events: &Sender<IncomingEvent>, method: Method, request: Request) -> Option<Answer> {
    let (answer_sender, answer) = smol::channel::bounded(1);
    let event = IncomingEvent::HttpRequest {
        method,
        path: request.path,
        body: request.body,
        answer_sender,
    };
    events.send(event).await.ok()?;
    answer.recv().await.ok()
}

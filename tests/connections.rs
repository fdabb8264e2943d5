//! Connections to targets: what is sent to a target that departs.

use bytes::Bytes;
use guavacove::{
    control::directory::TargetEntry,
    gateway::connections::{CallError, ConnectionKind::KeptOrNew, ConnectionPool},
    request_limit::RequestLimit,
    units::TargetVersion,
    verdict::{Reason, Verdict},
};
use http_body_util::{BodyExt, Full};
use hyper::Request;
use std::{
    io::{ErrorKind, Read, Write},
    net::SocketAddr,
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    time::timeout,
};

fn target(address: SocketAddr) -> TargetEntry {
    TargetEntry {
        name: "t".into(),
        started_unix_ms: 5,
        service: "plain".into(),
        address,
        failure_domain: "a".into(),
        slots: 1,
        leaving: false,
        warming_up: false,
        limit: RequestLimit::default(),
        version: TargetVersion::default(),
    }
}

fn request() -> Request<Full<Bytes>> {
    let request = Request::builder().uri("/x").header("host", "h");
    request.body(Full::default()).unwrap()
}

fn assert_not_sent(error: &CallError) {
    let found = (error.verdict, &error.reason);
    assert_eq!(found, (Verdict::NotRun, &Reason::Leaving), "{error}");
}

/// Guards against a request that is sent to a target that departed while the connection to it was
/// being opened.
#[tokio::test]
async fn nothing_is_sent_to_a_target_that_departed_before_the_connection_stood() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let target = target(listener.local_addr().unwrap());
    let pool = ConnectionPool::default();
    let error = pool
        .call(&target, KeptOrNew, request(), || true)
        .await
        .err();
    assert_not_sent(&error.unwrap());
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut received = Vec::new();
    stream.read_to_end(&mut received).await.unwrap();
    assert_eq!(received, b"");
}

/// Guards against a request that is sent on a second connection, as the target closed the kept one,
/// after the target has departed.
#[tokio::test]
async fn nothing_is_sent_again_to_a_target_that_departed_meanwhile() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let target = target(listener.local_addr().unwrap());
    let serving = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut head = [0; 1024];
        let _ = stream.read(&mut head).await.unwrap();
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
        stream.write_all(answer).await.unwrap();
        (listener, stream)
    });
    let pool = ConnectionPool::default();
    let (response, connection) = pool
        .call(&target, KeptOrNew, request(), || false)
        .await
        .unwrap();
    drop(response);
    tokio::time::sleep(Duration::from_millis(20)).await;
    pool.release(&target, connection);
    let (listener, mut stream) = serving.await.unwrap();
    let connection = pool.connect(&target, KeptOrNew).await.unwrap();
    assert!(connection.is_reused(), "the kept one");
    stream.shutdown().await.unwrap();
    drop(stream);
    // The connection finds out before the request is sent.
    tokio::time::sleep(Duration::from_millis(50)).await;
    let checks = AtomicUsize::new(0);
    let has_departed = || checks.fetch_add(1, Ordering::Relaxed) > 0;
    let call = pool.call_on(&target, connection, request(), has_departed);
    let error = call.await.err().expect("the target closed its connection");
    assert_not_sent(&error);
    assert_eq!(
        checks.load(Ordering::Relaxed),
        2,
        "once for each connection"
    );
    drop(listener);
}

/// Reads a request head and writes an answer with this body.
fn answer_one(stream: &mut std::net::TcpStream, body: &str) {
    let mut head = [0; 1024];
    assert!(stream.read(&mut head).unwrap() > 0, "a request");
    let length = body.len();
    let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}");
    stream.write_all(answer.as_bytes()).unwrap();
}

/// Guards against passing on, as the answer to a request, bytes that were there before the request
/// was sent: the runtime had not been told of them.
#[tokio::test]
async fn bytes_that_arrive_before_a_request_are_not_its_response() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let target = target(listener.local_addr().unwrap());
    let serving = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        answer_one(&mut stream, "first");
        (listener, stream)
    });
    let pool = ConnectionPool::default();
    let called = pool.call(&target, KeptOrNew, request(), || false).await;
    let (response, connection) = called.unwrap();
    let body = response.into_body().collect().await.unwrap().to_bytes();
    assert_eq!(body, "first");
    tokio::time::sleep(Duration::from_millis(20)).await;
    pool.release(&target, connection);
    let (listener, mut first_stream) = serving.join().unwrap();
    let serving = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        answer_one(&mut stream, "second");
        stream
    });
    // The runtime's only thread does not wait for input between this write and the request.
    let additional = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nextra";
    first_stream.write_all(additional).unwrap();
    let called = pool.call(&target, KeptOrNew, request(), || false).await;
    let (response, _connection) = called.unwrap();
    let body = response.into_body().collect().await.unwrap().to_bytes();
    assert_eq!(body, "second");
    let mut received = Vec::new();
    let _ = first_stream.read_to_end(&mut received);
    assert_eq!(
        received, b"",
        "the request was sent on a new connection only"
    );
    serving.join().unwrap();
}

/// Guards against a request that was given up and reaches its target later: an orderly close goes on
/// to deliver what the operating system holds, and a cut link holds it for seconds.
#[tokio::test]
async fn a_request_that_is_given_up_is_not_delivered_later() {
    const BODY_BYTES: usize = 1 << 20;
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let target = target(listener.local_addr().unwrap());
    let pool = ConnectionPool::default();
    let request = Request::builder().method("POST").uri("/x");
    let request = request.header("host", "h");
    let body = Full::new(Bytes::from(vec![b'x'; BODY_BYTES]));
    let call = pool.call(&target, KeptOrNew, request.body(body).unwrap(), || false);
    // The target does not read, so a part of the request stays on the gateway's side.
    let given_up = timeout(Duration::from_millis(200), call).await;
    assert!(given_up.is_err(), "no answer");
    tokio::time::sleep(Duration::from_millis(100)).await;
    let (mut stream, _) = listener.accept().unwrap();
    let mut received = Vec::new();
    let end = stream
        .read_to_end(&mut received)
        .map_err(|error| error.kind());
    let received = received.len();
    assert_eq!(end, Err(ErrorKind::ConnectionReset), "{received} bytes");
    assert!(received < BODY_BYTES, "{received} bytes");
}

/// Guards against a reset in place of an orderly close after a whole response.
#[tokio::test]
async fn a_connection_is_closed_in_order_after_a_whole_response() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let target = target(listener.local_addr().unwrap());
    let serving = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        answer_one(&mut stream, "whole");
        let mut rest = Vec::new();
        stream.read_to_end(&mut rest).map_err(|error| error.kind())
    });
    let pool = ConnectionPool::default();
    let called = pool.call(&target, KeptOrNew, request(), || false).await;
    let (response, connection) = called.unwrap();
    let body = response.into_body().collect().await.unwrap().to_bytes();
    assert_eq!(body, "whole");
    pool.release(&target, connection);
    drop(pool);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(serving.join().unwrap(), Ok(0));
}

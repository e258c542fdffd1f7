//! Spans reach the collector, and an unreachable collector costs only spans.

use std::io::{Read as _, Write as _};
use std::{net, sync::mpsc, thread, time};

use pier_node::telemetry;

/// Time-out that ends a hanging test.
const HANG_GUARD: time::Duration = time::Duration::from_mins(1);

/// Answers requests one at a time and sends their request lines to the channel.
fn collect(listener: &net::TcpListener, lines: &mpsc::Sender<String>) {
    for stream in listener.incoming() {
        let mut stream = stream.unwrap();
        let mut buffer = [0; 16_384];
        let length = stream.read(&mut buffer).unwrap();
        let text = String::from_utf8_lossy(&buffer[..length]).into_owned();
        let line = text.lines().next().unwrap_or_default().to_owned();
        let reply = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
        stream.write_all(reply).unwrap();
        if lines.send(line).is_err() {
            return;
        }
    }
}

#[test]
fn a_span_that_ended_reaches_the_collector() {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let (sender, lines) = mpsc::channel();
    thread::spawn(move || collect(&listener, &sender));
    let sink = telemetry::TraceSink::open(Some(&url)).unwrap();
    drop(telemetry::HopSpan::start(&sink, "entry", None));
    let line = lines.recv_timeout(HANG_GUARD).unwrap();
    assert_eq!(line, "POST /v1/traces HTTP/1.1");
}

#[test]
fn an_unreachable_collector_delays_no_span() {
    let held_port = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", held_port.local_addr().unwrap());
    let sink = telemetry::TraceSink::open(Some(&url)).unwrap();
    // The collector never answers; more spans than fit its queue must still end without blocking.
    for _number in 0..10_000 {
        drop(telemetry::HopSpan::start(&sink, "entry", None));
    }
}

#[test]
fn a_hop_continues_the_trace_of_the_one_before() {
    let sink = telemetry::TraceSink::open(None).unwrap();
    let entry = telemetry::HopSpan::start(&sink, "entry", None).parent();
    let attempt = telemetry::HopSpan::start(&sink, "attempt", Some(&entry)).parent();
    assert_eq!(entry.context().trace_id(), attempt.context().trace_id());
    assert_ne!(entry.context().span_id(), attempt.context().span_id());
}

//! What another target answers when it is asked for the rest of a stream is no part of the stream,
//! unless it is that rest.

mod support;

use support::{GROUP_MODEL, KEY, RawAnswer, RawCaller, Script, TestNode, node_with};

/// The event in which the first target breaks off.
const CUT_IN: u32 = 5;

/// Greatest number of requests sent until both targets have been asked in turn.
const TRIES: u32 = 60;

/// A text that must not reach a caller within a stream.
const ERROR_TEXT: &str = "id: 9\ndata: internal error\n\n";

async fn ask(node: &TestNode) -> RawAnswer {
    let mut caller = RawCaller::connect(node.callers).await;
    let request = format!(
        "GET /talk/x HTTP/1.1\r\nhost: a.example\r\nx-attempt: a1\r\nx-key: {KEY}\r\n\
         x-model: {GROUP_MODEL}\r\nx-timeout-ms: 4000\r\n\r\n"
    );
    caller.send(&request).await;
    caller.answer().await
}

/// Asks for streams that the first target breaks off, until the second was asked for the rest and
/// answered by this script.
async fn assert_not_in_stream(script: Script) {
    let name = format!("{script:?}");
    let breaking = Script::Events {
        last: 12,
        pause_ms: 1,
        cut_in: Some(CUT_IN),
        silent_from: None,
    };
    let (node, targets) = node_with([breaking, script]).await;
    for _ in 0..TRIES {
        let before = targets[0].requests().len();
        let answer = ask(&node).await;
        let has_begun = targets[0].requests().len() > before && answer.body.contains("part 1\n");
        if !has_begun {
            continue;
        }
        assert!(!answer.is_complete, "{name}: {answer:?}");
        assert!(!answer.body.contains("internal"), "{name}: {answer:?}");
        assert!(!answer.body.contains("HTTP/1.1 "), "{name}: {answer:?}");
        let asked = targets[1].requests();
        if asked.iter().any(|request| request.contains("x-after: 4")) {
            return;
        }
    }
    panic!("{name}: no stream was to be resumed");
}

/// Guards against the text, or the head, of another target's error within a caller's stream.
#[tokio::test(flavor = "multi_thread")]
async fn errors_of_the_next_target_stay_out_of_the_stream() {
    for status in [
        "400 Bad",
        "404 None",
        "409 Odd",
        "429 Many",
        "500 Failed",
        "503 Full",
    ] {
        assert_not_in_stream(Script::Answer {
            status,
            headers: "content-type: text/event-stream\r\n",
            body: ERROR_TEXT,
        })
        .await;
    }
}

/// Guards against a stream that ends as complete because the next target's success is no stream: its
/// text follows the events, or nothing does.
#[tokio::test(flavor = "multi_thread")]
async fn a_success_that_is_no_stream_does_not_complete_it() {
    for (status, headers, body) in [
        ("200 OK", "content-type: text/plain\r\n", ERROR_TEXT),
        ("202 Later", "content-type: application/json\r\n", "{}"),
        ("204 Nothing", "", ""),
        (
            "206 Part",
            "content-type: text/event-stream\r\n",
            ERROR_TEXT,
        ),
    ] {
        assert_not_in_stream(Script::Answer {
            status,
            headers,
            body,
        })
        .await;
    }
}

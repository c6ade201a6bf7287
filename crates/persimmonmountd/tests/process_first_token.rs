//! Tests that each token reaches the caller as soon as the engine sends it.

use persimmon_standins::fleet::{ChatRequest, Fleet};
use persimmon_standins::{Engine, EngineSwitch, expected_answer};

const MODEL: &str = "chat-large";

#[test]
fn stream_delivers_token_before_engine_sends_next() {
    let fleet = Fleet::builder(env!("CARGO_BIN_EXE_persimmonmountd"))
        .with_router("router-1", "zone-a")
        .with_engine("engine-1", "zone-a", Engine::builder(MODEL))
        .start()
        .unwrap();
    let engine = fleet.engine("engine-1");
    engine.switch(EngineSwitch::HoldAfter { tokens: 1 });
    let request = ChatRequest::new(MODEL, "a week on the coast");
    let mut stream = fleet.caller("router-1").unwrap().stream(&request).unwrap();
    let mut text = String::new();
    for tokens in 1..=3 {
        engine.switch(EngineSwitch::HoldAfter { tokens });
        let expected = expected_answer(request.messages(), tokens);
        // Reading times out if the router or the sidecar delays the token.
        while text != expected {
            let event = stream.next_event().unwrap().expect("the stream ended early");
            text.push_str(&event.text());
            assert!(expected.starts_with(&text), "{text:?} isn't how {expected:?} starts");
        }
        assert_eq!(engine.counts().finished, 0);
    }
    engine.switch(EngineSwitch::Up);
    let rest = stream.read_rest();
    assert!(rest.done);
    assert_eq!(text + &rest.text, request.expected_answer());
    fleet.close();
}

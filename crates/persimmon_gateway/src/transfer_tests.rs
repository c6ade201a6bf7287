//! Tests of what the gateway reads from the store and from peers.

use std::time::Duration;

use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

use crate::http::{self, GetError};
use crate::transfer::{self, Limits};

const TIMEOUT: Duration = Duration::from_secs(5);
const LIMITS: Limits = Limits { bytes: 1_000, head: TIMEOUT, piece: TIMEOUT };

/// Gets a page from a listener that sends `answer`.
async fn get(answer: String) -> Result<Vec<u8>, GetError> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::task::spawn_local(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        assert!(stream.read(&mut [0; 1_024]).await.unwrap() > 0);
        stream.write_all(answer.as_bytes()).await.unwrap();
    });
    let (mut sender, _driver) =
        http::client_handshake(http::connect(address, TIMEOUT).await?).await?;
    let page = transfer::get_over(&mut sender, "/", &LIMITS, |_| {}).await?;
    Ok(page.body.to_vec())
}

/// Guards against a status that passes for a refusal by the store or a peer although no answer has it.
#[rstest]
#[case::none_below("000", None)]
#[case::switching_protocols("101", Some(101))]
#[case::above_all("600", Some(600))]
#[case::highest("999", Some(999))]
fn get_over_invalid_status(#[case] status: &str, #[case] expected: Option<u16>) {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    let answer = format!("HTTP/1.1 {status} x\r\nContent-Length: 4\r\n\r\npage");
    let result = LocalSet::new().block_on(&runtime, get(answer));
    let Err(GetError::InvalidStatus(found)) = result else { panic!("{result:?}") };
    assert_eq!(found.map(|it| it.as_u16()), expected);
}

//! Tests of the HTTP client with answers that break off, in each framing.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

use persimmon_standins::reset_on_close;
use rstest::rstest;

use super::http_client::{HttpError, HttpRequest};

const TIMEOUT: Duration = Duration::from_secs(5);
const MAX_BYTES: usize = 1_000;

/// Sends `answer` to one request, then closes the connection in order or resets it.
fn serve(answer: &'static str, is_reset: bool) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 1_024]).unwrap();
        stream.write_all(answer.as_bytes()).unwrap();
        if is_reset {
            reset_on_close(&stream).unwrap();
        }
    });
    address
}

fn get(address: SocketAddr) -> Result<Vec<u8>, HttpError> {
    HttpRequest::get(address, "/", TIMEOUT).send()?.read_complete(MAX_BYTES)
}

#[rstest]
#[case::nothing("", false)]
#[case::status_line_cut("HTTP/1.1 40", false)]
#[case::headers_cut("HTTP/1.1 200 OK\r\nContent-Le", false)]
#[case::headers_without_end("HTTP/1.1 200 OK\r\nX: y\r\n", false)]
#[case::length("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", false)]
#[case::length_reset("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", true)]
#[case::within_chunk("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nhalf", false)]
#[case::between_chunks("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", false)]
#[case::last_chunk_cut(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n",
    false
)]
#[case::until_close_reset("HTTP/1.1 200 OK\r\n\r\nhalf", true)]
#[case::http_1_0_reset("HTTP/1.0 200 OK\r\n\r\nhalf", true)]
fn truncated_answer_is_an_error(#[case] answer: &'static str, #[case] is_reset: bool) {
    let result = get(serve(answer, is_reset));
    assert!(matches!(result, Err(HttpError::Broken(_))), "{result:?}");
}

/// Guards against a status that HTTP doesn't define and that passes for an answer's.
#[rstest]
#[case::below_all("000")]
#[case::switching_protocols("101")]
#[case::last_interim("199")]
#[case::above_all("600")]
#[case::highest("999")]
fn invalid_status_is_an_error(#[case] status: &str) {
    let answer = format!("HTTP/1.1 {status} x\r\nContent-Length: 5\r\n\r\nwhole");
    let result = get(serve(answer.leak(), false));
    assert!(
        matches!(result, Err(HttpError::InvalidStatus(_) | HttpError::Broken(_))),
        "{result:?}"
    );
}

#[rstest]
#[case::length("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")]
#[case::chunks("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n")]
#[case::until_close("HTTP/1.1 200 OK\r\n\r\nwhole")]
#[case::http_1_0("HTTP/1.0 200 OK\r\n\r\nwhole")]
fn complete_answer_is_read(#[case] answer: &'static str) {
    assert_eq!(get(serve(answer, false)).unwrap(), b"whole");
}

#[test]
fn refused_connection_is_known_not_to_be_sent() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    assert!(get(address).unwrap_err().is_refused());
}

#[test]
fn long_answer_is_an_error() {
    let address = serve("HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n", false);
    let result = HttpRequest::get(address, "/", TIMEOUT).send().unwrap().read_complete(10);
    assert!(result.is_err());
}

//! RPC between hosts: transfers, authentication, limits and timeouts.

use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use assert_matches::assert_matches;
use waxwingusher_core::{CancelToken, ContentDigest, HostList};
use waxwingusher_protocol::rpc::{ClientSettings, MAX_PACK_BYTES, ServerSettings};
use waxwingusher_protocol::{FleetSecret, PeerClient, PeerServer, PeerService, RpcError};

use crate::samples::{OTHER_SECRET, host, secret, secret_rotation_steps};

/// The connection timeout in tests that wait until a connection is closed.
const SHORT_CONNECTION: Duration = Duration::from_millis(500);

const SMALL: &[u8] = b"\x00content\xff";

struct Packs;

fn digest(content: &[u8]) -> ContentDigest {
    ContentDigest::of(content)
}

impl PeerService for Packs {
    fn pack(&self, wanted: &ContentDigest) -> Option<Arc<[u8]>> {
        if *wanted == digest(b"altered") {
            return Some(Arc::from(SMALL));
        }
        let packs = [
            SMALL.to_vec(),
            vec![7; MAX_PACK_BYTES],
            vec![7; MAX_PACK_BYTES + 1],
        ];
        let found = packs.into_iter().find(|pack| digest(pack) == *wanted);
        found.map(Arc::from)
    }

    fn host_list(&self) -> Option<HostList> {
        Some(HostList {
            version: 5,
            hosts: Vec::new(),
        })
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn server(settings: &ServerSettings) -> PeerServer {
    PeerServer::start(settings, Arc::new(Packs), &CancelToken::new()).expect("starts")
}

fn server_settings() -> ServerSettings {
    ServerSettings::new(host("host-b"), loopback(), secret())
}

fn client_with(change: impl FnOnce(&mut ClientSettings)) -> PeerClient {
    let mut settings = ClientSettings::new(host("host-a"), secret());
    // Long, so that a busy machine does not fail a test.
    settings.timeout = Duration::from_secs(30);
    change(&mut settings);
    PeerClient::start(settings, &CancelToken::new()).expect("starts")
}

fn client() -> PeerClient {
    client_with(|_| {})
}

#[test]
fn packs_and_the_host_list_are_fetched() {
    let server = server(&server_settings());
    let (client, peer, addr) = (client(), host("host-b"), server.local_addr());
    client.ping(&peer, addr).expect("answers");
    for content in [SMALL.to_vec(), vec![7; MAX_PACK_BYTES]] {
        let pack = client.fetch_pack(&peer, addr, &digest(&content));
        assert!(pack.expect("is there") == content);
    }
    let altered = client.fetch_pack(&peer, addr, &digest(b"altered"));
    assert_matches!(altered, Err(RpcError::WrongContent));
    let list = client.fetch_host_list(&peer, addr).expect("is there");
    assert_eq!(list.version, 5);
}

#[test]
fn packs_that_are_absent_or_too_large_are_not_found() {
    let server = server(&server_settings());
    let (client, peer, addr) = (client(), host("host-b"), server.local_addr());
    for content in [b"absent".to_vec(), vec![7; MAX_PACK_BYTES + 1]] {
        let pack = client.fetch_pack(&peer, addr, &digest(&content));
        assert_matches!(pack, Err(RpcError::NotFound));
    }
}

#[test]
fn another_secret_or_another_receiver_is_refused() {
    let server = server(&server_settings());
    let addr = server.local_addr();
    let other = FleetSecret::new(OTHER_SECRET).expect("long enough");
    let other_fleet = client_with(|settings| settings.secret = other);
    let pack = other_fleet.fetch_pack(&host("host-b"), addr, &digest(SMALL));
    assert_matches!(pack, Err(RpcError::Unauthenticated));
    let wrong_receiver = client().fetch_pack(&host("host-c"), addr, &digest(SMALL));
    assert_matches!(wrong_receiver, Err(RpcError::Unauthenticated));
}

#[test]
fn an_answer_without_the_secret_is_refused() {
    let listener = TcpListener::bind(loopback()).expect("is bound");
    let addr = listener.local_addr().expect("is bound");
    let forger = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a call");
        let mut request = [0; 4_096];
        let _ = stream.read(&mut request).expect("a request");
        let body = "{\"jsonrpc\":\"2.0\",\"id\":0,\"result\":{\"content\":\"AAAA\",\
                    \"tag\":\"AAAAAAAAAAAAAAAAAAAAAA==\"}}";
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let answer = head + body;
        stream.write_all(answer.as_bytes()).expect("is sent");
    });
    let pack = client().fetch_pack(&host("host-b"), addr, &digest(SMALL));
    assert_matches!(pack, Err(RpcError::Unauthenticated));
    forger.join().expect("the forger ends");
}

#[test]
fn a_silent_peer_ends_in_a_timeout_and_calls_are_bounded() {
    let listener = TcpListener::bind(loopback()).expect("is bound");
    let addr = listener.local_addr().expect("is bound");
    let short_timeout = client_with(|settings| settings.timeout = Duration::from_millis(50));
    let silent = short_timeout.ping(&host("host-b"), addr);
    assert_matches!(silent, Err(RpcError::Timeout));
    let full = client_with(|settings| settings.max_calls = 0);
    assert_matches!(full.ping(&host("host-b"), addr), Err(RpcError::Busy));
    assert_matches!(full.ping(&host("host-b"), addr), Err(RpcError::Busy));
}

#[test]
fn a_port_without_a_listener_is_a_transport_error() {
    let listener = TcpListener::bind(loopback()).expect("is bound");
    let addr = listener.local_addr().expect("is bound");
    drop(listener);
    let refused = client().ping(&host("host-b"), addr);
    assert_matches!(refused, Err(RpcError::Transport(_)));
}

#[test]
fn silent_connections_are_closed_so_that_calls_succeed() {
    let mut settings = server_settings();
    settings.max_connections = 4;
    settings.connection_timeout = SHORT_CONNECTION;
    let server = server(&settings);
    let silent: Vec<_> = (0..4)
        .map(|_| TcpStream::connect(server.local_addr()).expect("connects"))
        .collect();
    expect_closed(silent);
    ping_until_answered(server.local_addr());
}

/// Waits until the server has closed all connections.
fn expect_closed(streams: Vec<TcpStream>) {
    for mut stream in streams {
        stream
            .set_read_timeout(Some(Duration::from_secs(60)))
            .expect("a timeout");
        let mut rest = Vec::new();
        if let Err(e) = stream.read_to_end(&mut rest) {
            assert_eq!(e.kind(), ErrorKind::ConnectionReset, "is closed in time");
        }
    }
}

/// Repeats the call, as on a busy machine it may take longer than the short
/// timeout of a connection.
fn ping_until_answered(addr: SocketAddr) {
    let client = client();
    let mut pongs = (0..60).map(|_| client.ping(&host("host-b"), addr));
    assert!(pongs.any(|pong| pong.is_ok()));
}

#[test]
fn slow_bodies_and_idle_connections_are_closed_so_that_calls_succeed() {
    let mut settings = server_settings();
    settings.max_connections = 4;
    settings.connection_timeout = SHORT_CONNECTION;
    let server = server(&settings);
    let slow = "POST / HTTP/1.1\r\nHost: b\r\nContent-Type: application/json\r\n\
                Content-Length: 4000\r\n\r\n{";
    let idle = "POST / HTTP/1.1\r\nHost: b\r\nContent-Type: application/json\r\n\
                Content-Length: 2\r\n\r\n{}";
    for request in [slow, idle] {
        let open = |_| {
            let mut stream = TcpStream::connect(server.local_addr()).expect("connects");
            stream.write_all(request.as_bytes()).expect("is sent");
            stream
        };
        let streams: Vec<_> = (0..4).map(open).collect();
        expect_closed(streams);
        ping_until_answered(server.local_addr());
    }
}

#[test]
fn hosts_accept_calls_of_each_other_at_each_step_of_a_secret_rotation() {
    for [from, to] in secret_rotation_steps() {
        let mut settings = server_settings();
        settings.secret = to;
        let server = server(&settings);
        let client = client_with(|settings| settings.secret = from);
        let pack = client.fetch_pack(&host("host-b"), server.local_addr(), &digest(SMALL));
        assert_eq!(pack.expect("is authentic"), SMALL);
    }
}

#[test]
fn a_request_that_is_too_large_is_refused() {
    let server = server(&server_settings());
    let mut stream = TcpStream::connect(server.local_addr()).expect("connects");
    let body = "x".repeat(5_000);
    let request = format!(
        "POST / HTTP/1.1\r\nHost: b\r\nConnection: close\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).expect("is sent");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
}

#[test]
fn a_stopped_client_and_a_stopped_server_end_calls() {
    let token = CancelToken::new();
    let settings = ClientSettings::new(host("host-a"), secret());
    let client = PeerClient::start(settings, &token).expect("starts");
    let server = PeerServer::start(&server_settings(), Arc::new(Packs), &token).expect("starts");
    let addr = server.local_addr();
    client.ping(&host("host-b"), addr).expect("answers");
    token.cancel();
    drop(server);
    assert!(TcpStream::connect(addr).is_err());
    let stopped = client.ping(&host("host-b"), addr);
    assert_matches!(stopped, Err(RpcError::Stopped | RpcError::Transport(_)));
}

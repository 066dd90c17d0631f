//! Tests of the configuration service: values, revisions, watches and failures.

use std::net::TcpStream;
use std::time::Duration;

use assert_matches::assert_matches;
use waxwingusher_core::{CancelToken, HostList};
use waxwingusher_standins::config_service::{HOSTS_KEY, MAX_VALUE_BYTES};
use waxwingusher_standins::{ConfigService, HostListLag, ServiceMode, StandinError};

use crate::client;

fn start() -> ConfigService {
    ConfigService::start(&CancelToken::new()).expect("the service starts")
}

fn watch(service: &ConfigService, key: &str, after: u64, wait: Duration) -> TcpStream {
    let target = format!(
        "/v1/values/{key}?after={after}&wait-ms={}",
        wait.as_millis()
    );
    client::send(service.addr(), "GET", &target, "", b"")
}

fn wait_for_watches(service: &ConfigService, count: u64) {
    while service.calls().watches < count {
        std::thread::yield_now();
    }
}

#[test]
fn a_value_is_read_with_its_revision() {
    let service = start();
    service.put("config/pack/ab", b"first").expect("small");
    let revision = service.put("config/pack/ab", b"second").expect("small");
    let answer = client::get(service.addr(), "/v1/values/config/pack/ab");
    assert_eq!(answer.status(), 200);
    assert_eq!(answer.body, b"second");
    assert_eq!(
        answer.header("x-revision"),
        Some(revision.to_string().as_str())
    );
    assert_eq!(
        client::get(service.addr(), "/v1/values/other").status(),
        404
    );
}

#[test]
fn nothing_can_be_written_over_http_and_large_values_are_refused() {
    let service = start();
    let answer = client::receive(client::send(
        service.addr(),
        "PUT",
        "/v1/values/a",
        "",
        b"x",
    ))
    .unwrap();
    assert_eq!(answer.status(), 405);
    service
        .put("a", &vec![0; MAX_VALUE_BYTES])
        .expect("at the limit");
    assert_matches!(
        service.put("a", &vec![0; MAX_VALUE_BYTES + 1]),
        Err(StandinError::TooLarge { .. })
    );
}

#[test]
fn a_watch_ends_with_a_newer_value_and_counts_once() {
    let service = start();
    let revision = service.put("key", b"old").expect("small");
    let waiting = watch(&service, "key", revision, Duration::from_secs(60));
    wait_for_watches(&service, 1);
    service.put("other", b"unrelated").expect("small");
    service.put("key", b"new").expect("small");
    assert_eq!(client::receive(waiting).expect("an answer").body, b"new");
    assert_eq!(service.calls().watches, 1);
    assert_eq!(service.calls().reads, 0);
}

#[test]
fn a_watch_without_a_newer_value_ends_with_304_or_404() {
    let service = start();
    let revision = service.put("key", b"old").expect("small");
    let waiting = watch(&service, "key", revision, Duration::from_millis(20));
    let ended = client::receive(waiting).expect("an answer");
    assert_eq!(ended.status(), 304);
    assert_eq!(ended.header("x-revision"), Some(&*revision.to_string()));
    let waiting = watch(&service, "absent", 0, Duration::from_millis(20));
    assert_eq!(client::receive(waiting).expect("an answer").status(), 404);
}

#[test]
fn a_stale_service_keeps_serving_old_values() {
    let service = start();
    let revision = service.put("key", b"old").expect("small");
    service.set_mode(ServiceMode::Stale);
    service.put("key", b"new").expect("small");
    assert_eq!(client::get(service.addr(), "/v1/values/key").body, b"old");
    let waiting = watch(&service, "key", revision, Duration::from_millis(20));
    assert_eq!(client::receive(waiting).expect("an answer").status(), 304);
    service.set_mode(ServiceMode::Current);
    assert_eq!(client::get(service.addr(), "/v1/values/key").body, b"new");
}

#[test]
fn an_unavailable_service_refuses_connections_and_ends_watches_until_it_recovers() {
    let service = start();
    let revision = service.put("key", b"old").expect("small");
    let addr = service.addr();
    for round in 1..=20 {
        let waiting = watch(&service, "key", revision, Duration::from_secs(60));
        wait_for_watches(&service, round);
        service.set_mode(ServiceMode::Unavailable);
        assert_eq!(client::receive(waiting), None);
        assert!(TcpStream::connect(addr).is_err());
        service.set_mode(ServiceMode::Current);
        assert_eq!(client::get(addr, "/v1/values/key").body, b"old");
    }
}

#[test]
fn a_held_host_list_stays_until_the_lag_ends() {
    let service = start();
    let mut list = HostList {
        version: 1,
        hosts: Vec::new(),
    };
    service.put_hosts(&list).expect("small");
    service.set_host_list_lag(HostListLag::Held);
    list.version = 2;
    service.put_hosts(&list).expect("small");
    let served = |service: &ConfigService| -> u64 {
        let answer = client::get(service.addr(), &format!("/v1/values/{HOSTS_KEY}"));
        let list: HostList = serde_json::from_slice(&answer.body).expect("JSON");
        list.version
    };
    assert_eq!(served(&service), 1);
    service.set_host_list_lag(HostListLag::None);
    assert_eq!(served(&service), 2);
}

#[test]
fn cancelling_the_token_stops_the_service() {
    let token = CancelToken::new();
    let service = ConfigService::start(&token).expect("the service starts");
    let addr = service.addr();
    let waiting = watch(&service, "key", 0, Duration::from_secs(60));
    wait_for_watches(&service, 1);
    token.cancel();
    assert_eq!(client::receive(waiting), None);
    drop(service);
    assert!(TcpStream::connect(addr).is_err());
}

#[test]
fn many_watches_do_not_delay_a_read() {
    let service = start();
    let waiting: Vec<_> = (0..100)
        .map(|_| watch(&service, "key", 0, Duration::from_secs(60)))
        .collect();
    wait_for_watches(&service, 100);
    service.put("other", b"value").expect("small");
    assert_eq!(
        client::get(service.addr(), "/v1/values/other").body,
        b"value"
    );
    service.put("key", b"value").expect("small");
    for stream in waiting {
        assert_eq!(client::receive(stream).expect("an answer").status(), 200);
    }
}

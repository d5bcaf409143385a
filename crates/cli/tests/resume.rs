//! How a node that asks for the list begins.

mod common;

use common::{answer, config, Discovery, Running, Server, Then};

/// Guards drains: a small discovery that a whole fleet asks at once has to answer one call a node. The node goes on from
/// the list that it was started with, in one watch; a whole list and a watch after it would be two calls.
#[test]
fn a_node_that_asks_goes_on_from_the_list_it_was_started_with() {
    let server = Server::start(|_| Then::Write(answer(200, "", "pong")));
    let (_held, discovery) = Discovery::start(&[("s", server.address)]);
    let mut config = config(discovery.address, &[("s", server.address)]);
    config["settings"]["Discovery"] = "ask".into();
    let node = Running::start(&config);
    assert_eq!(discovery.next_request().start, "GET /registry/instances?index=1&wait=0 HTTP/1.1");
    assert_eq!(discovery.next_request().start, "GET /registry/instances?index=1&wait=2000 HTTP/1.1");
    assert_eq!(node.ask("read").body, b"pong");
}

/// Guards the list: a node that was started with none asks for all of it.
#[test]
fn a_node_that_was_started_without_a_list_asks_for_the_whole() {
    let server = Server::start(|_| Then::Write(answer(200, "", "pong")));
    let (_held, discovery) = Discovery::start(&[("s", server.address)]);
    let mut config = config(discovery.address, &[]);
    config["settings"]["Discovery"] = "ask".into();
    config.as_object_mut().expect("an object").remove("known");
    let node = Running::start(&config);
    assert_eq!(discovery.next_request().start, "GET /registry/instances HTTP/1.1");
    assert_eq!(discovery.next_request().start, "GET /registry/instances?index=1&wait=2000 HTTP/1.1");
    assert_eq!(node.ask("read").body, b"pong");
}

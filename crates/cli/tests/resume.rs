//! The first calls to discovery of a node that polls for the list.

mod common;

use common::{config, response, Discovery, Reply, RunningNode, Server};

/// When a whole fleet starts at once, a small discovery must only have to answer one call per node. The node therefore
/// continues from the list in its configuration with one watch; a whole list and a watch after it would be two calls.
#[test]
fn a_polling_node_continues_from_the_list_in_its_configuration() {
    let server = Server::start(|_| Reply::Write(response(200, "", "pong")));
    let (_list_source, discovery) = Discovery::start(&[("s", server.address)]);
    let mut config = config(discovery.address, &[("s", server.address)]);
    config["settings"]["Discovery"] = "ask".into();
    let node = RunningNode::start(&config);
    assert_eq!(discovery.next_request().start_line, "GET /registry/instances?index=1&wait=0 HTTP/1.1");
    assert_eq!(discovery.next_request().start_line, "GET /registry/instances?index=1&wait=2000 HTTP/1.1");
    assert_eq!(node.request("read").body, b"pong");
}

#[test]
fn a_node_without_a_list_in_its_configuration_requests_the_whole_list() {
    let server = Server::start(|_| Reply::Write(response(200, "", "pong")));
    let (_list_source, discovery) = Discovery::start(&[("s", server.address)]);
    let mut config = config(discovery.address, &[]);
    config["settings"]["Discovery"] = "ask".into();
    config.as_object_mut().expect("an object").remove("known");
    let node = RunningNode::start(&config);
    assert_eq!(discovery.next_request().start_line, "GET /registry/instances HTTP/1.1");
    assert_eq!(discovery.next_request().start_line, "GET /registry/instances?index=1&wait=2000 HTTP/1.1");
    assert_eq!(node.request("read").body, b"pong");
}
